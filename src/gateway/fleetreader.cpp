#include "gateway/fleetreader.h"

#include "eelgrasslift/logging.h"
#include "gateway/clock.h"
#include "gateway/task.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace eelgrasslift {

namespace asio = boost::asio;

namespace {

constexpr Duration ListTimeout = std::chrono::milliseconds{1500};
constexpr Duration ReportTimeout = std::chrono::milliseconds{400};
constexpr Duration HealthTimeout = std::chrono::milliseconds{400};

// A single response may be lost with its connection.
constexpr uint32_t MissedReportsBeforeUnresponsive = 2;

// A list of more pages is treated as an error of the platform, such as a page token that repeats.
constexpr int MaxPages = 100;

} // namespace

FleetReader::FleetReader(asio::io_context &context, const WireFormat &wireFormat, ConnectionPool &pool,
                         LeavingRunners &leaving, FleetReaderSettings readerSettings)
    : io(context)
    , format(wireFormat)
    , connections(pool)
    , settings(std::move(readerSettings))
    , leavingRunners(leaving)
    , listTimer(context)
    , reportTimer(context)
    , healthTimer(context)
{}

void FleetReader::setActive(bool isActive)
{
    if (this->active == isActive)
        return;
    this->active = isActive;
    logInfo(isActive ? "fleet-reading-started" : "fleet-reading-stopped");
    if (!isActive) {
        this->listCount = 0;
        return;
    }
    this->listTimer.cancel();
    if (!this->isStarted) {
        this->isStarted = true;
        spawnLoop(this->io, "list", [this] { return this->pollLists(); });
        spawnLoop(this->io, "reports", [this] { return this->pollReports(); });
        if (this->settings.healthInterval > Duration::zero())
            spawnLoop(this->io, "health", [this] { return this->pollHealth(); });
    }
}

void FleetReader::setKnownRunners(std::vector<RunnerEntry> entries)
{
    this->knownEntries = std::move(entries);
    this->missedReports.clear();
    this->detectors.clear();
}

asio::awaitable<void> FleetReader::pollLists()
{
    boost::system::error_code ignored;
    for (;;) {
        if (this->active) {
            std::vector<RunnerEntry> entries;
            const bool isRead = co_await this->readPages(entries);
            if (isRead && this->active)
                this->applyList(std::move(entries));
        }
        this->listTimer.expires_after(this->settings.listInterval);
        co_await this->listTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<bool> FleetReader::readPages(std::vector<RunnerEntry> &entries)
{
    std::optional<std::string> token;
    for (int page = 0; page < MaxPages; ++page) {
        OutgoingCall call = this->format.fleetCall(token);
        std::string address = this->settings.listEndpoint.toString();
        auto result = co_await this->connections.call(std::move(address), std::move(call), ListTimeout);
        const auto *response = std::get_if<HttpResponse>(&result);
        if (response == nullptr || response->result_int() != 200) {
            logWarning("fleet-list-failed",
                       {{"cause", response == nullptr ? std::string(toString(std::get<HttpFailure>(result)))
                                                      : std::to_string(response->result_int())}});
            co_return false;
        }
        auto decoded = this->format.decodeFleet(response->body());
        if (const auto *error = std::get_if<DecodeError>(&decoded)) {
            logWarning("fleet-list-unreadable", {{"subject", error->subject}});
            co_return false;
        }
        auto &fleetPage = std::get<FleetPage>(decoded);
        if (fleetPage.skippedEntries > 0)
            logWarning("fleet-entries-skipped", {{"count", std::to_string(fleetPage.skippedEntries)}});
        std::move(fleetPage.entries.begin(), fleetPage.entries.end(), std::back_inserter(entries));
        token = fleetPage.nextToken;
        if (!token)
            co_return true;
    }
    co_return false;
}

void FleetReader::applyList(std::vector<RunnerEntry> entries)
{
    ++this->listCount;
    for (RunnerEntry &entry : entries) {
        if (this->leavingRunners.contains(entry))
            entry.isLeaving = true;
        const auto previous = std::find_if(this->knownEntries.begin(), this->knownEntries.end(),
                                           [&](const RunnerEntry &other) { return other.id == entry.id; });
        if (previous == this->knownEntries.end()) {
            logInfo("runner-listed",
                    {{"runner", entry.id}, {"service", entry.service}, {"address", entry.address}});
            continue;
        }
        if (entry.isLeaving && !previous->isLeaving) {
            logInfo("runner-leaving", {{"runner", entry.id}, {"source", "list"}});
        }
        if (previous->startedAtMs == entry.startedAtMs) {
            entry.report = previous->report;
            entry.isUnresponsive = previous->isUnresponsive;
            entry.seemsLeaving = previous->seemsLeaving;
        } else {
            this->detectors.erase(entry.id);
        }
    }
    this->knownEntries = std::move(entries);
    const auto isUnlisted = [this](const auto &item) { return this->find(item.first) == nullptr; };
    std::erase_if(this->missedReports, isUnlisted);
    std::erase_if(this->detectors, isUnlisted);
    this->pauses.removeReplaced(
            [this](const std::string &id, const std::string &address, int64_t startedAtMs) {
                const RunnerEntry *entry = this->find(id);
                return entry != nullptr && (entry->address != address || entry->startedAtMs != startedAtMs);
            },
            steadyNow());
    if (this->updateCallback)
        this->updateCallback();
}

asio::awaitable<void> FleetReader::pollReports()
{
    boost::system::error_code ignored;
    for (;;) {
        this->reportTimer.expires_after(this->settings.reportInterval);
        co_await this->reportTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (!this->active)
            continue;
        for (const RunnerEntry &entry : this->knownEntries) {
            if (this->engineServices.contains(entry.service) &&
                (!this->reportFilter || this->reportFilter(entry)) &&
                !this->pauses.isPaused(entry, steadyNow()))
                spawnTask(this->io, "report", this->readReport(entry));
        }
    }
}

asio::awaitable<void> FleetReader::readReport(RunnerEntry asked)
{
    OutgoingCall call = this->format.reportCall();
    const std::string &id = asked.id;
    auto result = co_await this->connections.call(asked.address, std::move(call), ReportTimeout,
                                                  MaxRunnerStatementBytes);
    const auto *response = std::get_if<HttpResponse>(&result);
    if (response != nullptr)
        this->recordAnswer(asked, *response);
    RunnerEntry *entry = this->find(id);
    if (entry == nullptr)
        co_return;
    if (response == nullptr) {
        this->recordMissedReport(*entry);
        co_return;
    }
    this->missedReports.erase(id);
    if (entry->isUnresponsive) {
        entry->isUnresponsive = false;
        logInfo("runner-answers-again", {{"runner", id}});
    }
    if (response->result_int() != 200)
        co_return;
    auto decoded = this->format.decodeReport(response->body());
    if (const auto *error = std::get_if<DecodeError>(&decoded)) {
        logWarning("runner-report-unreadable", {{"runner", id}, {"subject", error->subject}});
        co_return;
    }
    const auto &report = std::get<RunnerReport>(decoded);
    const bool wasLeaving = entry->isLeaving || (entry->report && entry->report->isLeaving);
    entry->report = report;
    this->detectors[id].recordReport(report.isLeaving, steadyNow());
    this->updateSeemsLeaving(*entry);
    if (!report.isLeaving || wasLeaving)
        co_return;
    logInfo("runner-leaving",
            {{"runner", id},
             {"source", "report"},
             {"leaves_ms",
              report.timeUntilStop ? std::to_string(toMilliseconds(*report.timeUntilStop)) : "unknown"}});
    if (this->updateCallback)
        this->updateCallback();
}

asio::awaitable<void> FleetReader::pollHealth()
{
    boost::system::error_code ignored;
    for (;;) {
        this->healthTimer.expires_after(this->settings.healthInterval);
        co_await this->healthTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (!this->active)
            continue;
        for (const RunnerEntry &entry : this->knownEntries) {
            const auto service = this->engineServices.find(entry.service);
            if (service == this->engineServices.end() || service->second.empty() || entry.isLeaving ||
                this->pauses.isPaused(entry, steadyNow()))
                continue;
            spawnTask(this->io, "health-check", this->checkHealth(entry, service->second));
        }
    }
}

asio::awaitable<void> FleetReader::checkHealth(RunnerEntry asked, std::string path)
{
    OutgoingCall call{"GET", std::move(path), {}};
    const std::string &id = asked.id;
    auto result = co_await this->connections.call(asked.address, std::move(call), HealthTimeout,
                                                  MaxRunnerStatementBytes);
    const auto *response = std::get_if<HttpResponse>(&result);
    if (response != nullptr)
        this->recordAnswer(asked, *response);
    RunnerEntry *entry = this->find(id);
    // A runner that does not respond is detected by its report requests.
    if (entry == nullptr || response == nullptr)
        co_return;
    const std::optional<bool> isHealthy = this->format.decodeHealth(response->base(), id);
    if (!isHealthy)
        co_return;
    this->detectors[id].recordHealth(*isHealthy, steadyNow());
    this->updateSeemsLeaving(*entry);
}

void FleetReader::recordAnswer(const RunnerEntry &asked, const HttpResponse &response)
{
    const ResponseMetadata metadata = this->format.decodeResponse(response.base());
    if (metadata.pause)
        this->pauses.record(asked, *metadata.pause, ReturnRate{}, steadyNow(), this->random);
    if (this->responseCallback)
        this->responseCallback(asked, metadata);
    const RunnerIncarnation runner = RunnerIncarnation::of(asked);
    if (metadata.hasUnknownLeavingValue) {
        if (const auto count = this->malformedLeavingLimiter.record(steadyNow()))
            logWarning("leaving-malformed", {{"runner", runner.id}, {"count", std::to_string(*count)}});
    }
    if (!metadata.isRunnerLeaving)
        return;
    const AnswerSender sender = senderOf(response.result_int(), metadata, runner.id);
    const auto added = this->leavingRunners.addSender(runner, sender, this->knownEntries);
    for (const RunnerIncarnation &leaving : added)
        logInfo("runner-leaving",
                {{"runner", leaving.id}, {"source", "answer"}, {"address", leaving.address}});
    this->markLeaving(added);
}

void FleetReader::recordLeaving(std::string_view gateway, std::span<const RunnerIncarnation> runners)
{
    std::vector<RunnerIncarnation> added;
    for (const RunnerIncarnation &runner : runners) {
        if (!this->leavingRunners.add(runner))
            continue;
        logInfo("runner-leaving",
                {{"runner", runner.id}, {"source", "gateway"}, {"gateway", std::string(gateway)}});
        added.push_back(runner);
    }
    this->markLeaving(added);
}

void FleetReader::markLeaving(std::span<const RunnerIncarnation> runners)
{
    if (runners.empty())
        return;
    for (RunnerEntry &entry : this->knownEntries)
        entry.isLeaving = entry.isLeaving || this->leavingRunners.contains(entry);
    if (this->updateCallback)
        this->updateCallback();
}

void FleetReader::updateSeemsLeaving(RunnerEntry &entry)
{
    const bool seemsLeaving = this->detectors[entry.id].seemsLeaving();
    if (entry.seemsLeaving == seemsLeaving)
        return;
    entry.seemsLeaving = seemsLeaving;
    logInfo(seemsLeaving ? "runner-seems-leaving" : "runner-seems-staying",
            {{"runner", entry.id}, {"source", "health"}, {"leaving", entry.isLeaving ? "yes" : "unknown"}});
    if (this->updateCallback)
        this->updateCallback();
}

void FleetReader::recordMissedReport(RunnerEntry &entry)
{
    if (++this->missedReports[entry.id] < MissedReportsBeforeUnresponsive || entry.isUnresponsive)
        return;
    entry.isUnresponsive = true;
    logWarning("runner-silent", {{"runner", entry.id}, {"address", entry.address}});
    if (this->updateCallback)
        this->updateCallback();
}

RunnerEntry *FleetReader::find(std::string_view id)
{
    const auto found = std::ranges::find_if(this->knownEntries,
                                            [&](const RunnerEntry &entry) { return entry.id == id; });
    return found == this->knownEntries.end() ? nullptr : &*found;
}

} // namespace eelgrasslift
