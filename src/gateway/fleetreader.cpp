#include "gateway/fleetreader.h"

#include "eelgrasslift/logging.h"
#include "gateway/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace eelgrasslift {

namespace asio = boost::asio;

namespace {

constexpr Duration ListTimeout = std::chrono::milliseconds{1500};
constexpr Duration ReportTimeout = std::chrono::milliseconds{400};
constexpr Duration HealthTimeout = std::chrono::milliseconds{400};

// A single answer may be lost with its connection.
constexpr uint32_t UnansweredBeforeSilent = 2;

// A list longer than this many pages is taken as an error of the other side.
constexpr int MaxPages = 100;

} // namespace

FleetReader::FleetReader(asio::io_context &context, const WireFormat &wireFormat, ConnectionPool &pool,
                         FleetReaderSettings readerSettings)
    : io(context)
    , format(wireFormat)
    , connections(pool)
    , settings(std::move(readerSettings))
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
        asio::co_spawn(this->io, this->readLists(), asio::detached);
        asio::co_spawn(this->io, this->readReports(), asio::detached);
        if (this->settings.healthInterval > Duration::zero())
            asio::co_spawn(this->io, this->checkHealths(), asio::detached);
    }
}

void FleetReader::useKnown(std::vector<RunnerEntry> entries)
{
    this->current = std::move(entries);
    this->unanswered.clear();
    this->detectors.clear();
}

asio::awaitable<void> FleetReader::readLists()
{
    boost::system::error_code ignored;
    for (;;) {
        if (this->active) {
            std::vector<RunnerEntry> entries;
            const bool isRead = co_await this->readPages(entries);
            if (isRead && this->active)
                this->adopt(std::move(entries));
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
        std::string address = this->settings.list.toString();
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
        auto &part = std::get<FleetPage>(decoded);
        if (part.skippedEntries > 0)
            logWarning("fleet-entries-skipped", {{"count", std::to_string(part.skippedEntries)}});
        std::move(part.entries.begin(), part.entries.end(), std::back_inserter(entries));
        token = part.nextToken;
        if (!token)
            co_return true;
    }
    co_return false;
}

void FleetReader::adopt(std::vector<RunnerEntry> entries)
{
    ++this->listCount;
    bool isUrgent = entries.size() != this->current.size();
    for (RunnerEntry &entry : entries) {
        const auto known = std::find_if(this->current.begin(), this->current.end(),
                                        [&](const RunnerEntry &other) { return other.id == entry.id; });
        if (known == this->current.end()) {
            isUrgent = true;
            logInfo("runner-listed",
                    {{"runner", entry.id}, {"service", entry.service}, {"address", entry.address}});
            continue;
        }
        if (entry.isLeaving && !known->isLeaving) {
            isUrgent = true;
            logInfo("runner-leaving", {{"runner", entry.id}, {"source", "list"}});
        }
        if (known->startedAtMs == entry.startedAtMs) {
            entry.report = known->report;
            entry.isUnresponsive = known->isUnresponsive;
            entry.seemsLeaving = known->seemsLeaving;
        } else {
            this->detectors.erase(entry.id);
        }
    }
    this->current = std::move(entries);
    const auto isGone = [this](const auto &item) { return this->find(item.first) == nullptr; };
    std::erase_if(this->unanswered, isGone);
    std::erase_if(this->detectors, isGone);
    if (this->updated)
        this->updated(isUrgent);
}

asio::awaitable<void> FleetReader::readReports()
{
    boost::system::error_code ignored;
    for (;;) {
        this->reportTimer.expires_after(this->settings.reportInterval);
        co_await this->reportTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (!this->active)
            continue;
        for (const RunnerEntry &entry : this->current) {
            if (this->engineServices.contains(entry.service))
                asio::co_spawn(this->io, this->readReport(entry.id, entry.address), asio::detached);
        }
    }
}

asio::awaitable<void> FleetReader::readReport(std::string id, std::string address)
{
    OutgoingCall call = this->format.reportCall();
    auto result = co_await this->connections.call(std::move(address), std::move(call), ReportTimeout);
    const auto *response = std::get_if<HttpResponse>(&result);
    RunnerEntry *entry = this->find(id);
    if (entry == nullptr)
        co_return;
    if (response == nullptr) {
        this->noteSilence(*entry);
        co_return;
    }
    this->unanswered.erase(id);
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
    this->followDetector(*entry);
    const bool isUrgent = report.isLeaving && !wasLeaving;
    if (isUrgent)
        logInfo("runner-leaving",
                {{"runner", id},
                 {"source", "report"},
                 {"leaves_ms",
                  report.timeUntilStop ? std::to_string(toMilliseconds(*report.timeUntilStop)) : "unknown"}});
    if (this->updated && isUrgent)
        this->updated(true);
}

asio::awaitable<void> FleetReader::checkHealths()
{
    boost::system::error_code ignored;
    for (;;) {
        this->healthTimer.expires_after(this->settings.healthInterval);
        co_await this->healthTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (!this->active)
            continue;
        for (const RunnerEntry &entry : this->current) {
            const auto service = this->engineServices.find(entry.service);
            if (service == this->engineServices.end() || service->second.empty() || entry.isLeaving)
                continue;
            asio::co_spawn(this->io, this->checkHealth(entry.id, entry.address, service->second),
                           asio::detached);
        }
    }
}

asio::awaitable<void> FleetReader::checkHealth(std::string id, std::string address, std::string path)
{
    OutgoingCall call{"GET", std::move(path), {}};
    auto result = co_await this->connections.call(std::move(address), std::move(call), HealthTimeout);
    const auto *response = std::get_if<HttpResponse>(&result);
    RunnerEntry *entry = this->find(id);
    // A runner that does not answer is noticed by the questions for its report.
    if (entry == nullptr || response == nullptr)
        co_return;
    const std::optional<bool> isHealthy = this->format.decodeHealth(response->base(), id);
    if (!isHealthy)
        co_return;
    this->detectors[id].recordHealth(*isHealthy, steadyNow());
    this->followDetector(*entry);
}

void FleetReader::followDetector(RunnerEntry &entry)
{
    const bool seemsLeaving = this->detectors[entry.id].seemsLeaving();
    if (entry.seemsLeaving == seemsLeaving)
        return;
    entry.seemsLeaving = seemsLeaving;
    logInfo(seemsLeaving ? "runner-seems-leaving" : "runner-seems-staying",
            {{"runner", entry.id}, {"source", "health"}, {"leaving", entry.isLeaving ? "yes" : "unknown"}});
    if (this->updated)
        this->updated(true);
}

void FleetReader::noteSilence(RunnerEntry &entry)
{
    if (++this->unanswered[entry.id] < UnansweredBeforeSilent || entry.isUnresponsive)
        return;
    entry.isUnresponsive = true;
    logWarning("runner-silent", {{"runner", entry.id}, {"address", entry.address}});
    if (this->updated)
        this->updated(false);
}

RunnerEntry *FleetReader::find(std::string_view id)
{
    const auto found =
            std::ranges::find_if(this->current, [&](const RunnerEntry &entry) { return entry.id == id; });
    return found == this->current.end() ? nullptr : &*found;
}

} // namespace eelgrasslift
