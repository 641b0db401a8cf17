#include "gateway/gatewaystate.h"

#include "eelgrasslift/logging.h"
#include "gateway/clock.h"
#include "gateway/streamsession.h"
#include "gateway/task.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace eelgrasslift {

namespace asio = boost::asio;

namespace {

// Time between two log lines about pauses; a fleet that is overloaded asks for hundreds within a second.
constexpr Duration PauseLogInterval = std::chrono::milliseconds{100};

// A runner that lives accepts a connection within a few milliseconds; a lost SYN is not sent again in time,
// so that a runner behind a lossy link may pass for one that has ended.
constexpr Duration RunnerCheckTimeout = std::chrono::milliseconds{250};
// A process that ends closes its connections before its listener, which still accepts meanwhile.
constexpr Duration RunnerCheckDelay = std::chrono::milliseconds{100};
constexpr int MaxRunnerChecks = 3;

constexpr Duration CopyReleaseTimeout = std::chrono::milliseconds{400};

std::string fingerprintTexts(std::span<const Sha256> fingerprints)
{
    std::string text;
    for (const Sha256 &fingerprint : fingerprints)
        text += (text.empty() ? "" : ",") + fingerprintText(fingerprint);
    return text.empty() ? "none" : text;
}

} // namespace

GatewayState::GatewayState(asio::io_context &context, const NodeSettings &nodeSettings,
                           const WireFormat &wireFormat)
    : io(context)
    , settings(nodeSettings)
    , format(wireFormat)
    , connections(context.get_executor())
    , retryBudget(
              {nodeSettings.retryBudgetRatio, nodeSettings.retryBudgetExtra, nodeSettings.retryBudgetWindow})
    , capacitySignal(context)
{
    this->capacitySignal.expires_at(std::chrono::steady_clock::time_point::max());
}

bool GatewayState::applyConfig(std::string_view body)
{
    auto decoded = this->format.decodeConfig(body);
    if (const auto *error = std::get_if<ConfigError>(&decoded)) {
        logError("configuration-unreadable", {{"cause", describe(*error)}});
        return false;
    }
    auto &config = std::get<ServingConfig>(decoded);
    if (this->currentRoutes && config.version <= this->currentRoutes->version())
        return false;
    const uint64_t version = config.version;
    this->currentRoutes = std::make_shared<const RouteTable>(std::move(config));
    this->metrics.configVersion.Set(static_cast<double>(version));
    logInfo("configuration-in-force", {{"version", std::to_string(version)}});
    this->notifyCapacityFreed();
    return true;
}

void GatewayState::recordAnswer(const RunnerEntry &runner, unsigned status, const ResponseMetadata &metadata,
                                std::string_view requestId)
{
    if (metadata.hasUnknownLeavingValue) {
        if (const auto count = this->malformedLeavingLimiter.record(steadyNow()))
            logWarning("leaving-malformed", {{"runner", runner.id},
                                             {"request", std::string(requestId)},
                                             {"count", std::to_string(*count)}});
    }
    if (!metadata.isRunnerLeaving)
        return;
    const auto added = this->runners.recordLeavingAnswer(runner, senderOf(status, metadata, runner.id));
    for (const RunnerIncarnation &leaving : added) {
        logInfo("runner-leaving", {{"runner", leaving.id},
                                   {"source", "answer"},
                                   {"address", leaving.address},
                                   {"request", std::string(requestId)}});
    }
    if (!added.empty())
        this->handleFleetUpdate();
}

void GatewayState::applyFleet(std::span<const RunnerEntry> entries)
{
    this->runners.setFleet(entries, steadyNow());
    this->handleFleetUpdate();
}

void GatewayState::recordLostRun(const RunnerEntry &runner, LostRun run)
{
    if (runner.isExpectedToLeave())
        return;
    const RunnerIncarnation incarnation = run.runner;
    this->lostRuns.add(std::move(run));
    if (this->checkedRunners.insert(incarnation).second)
        spawnTask(this->io, "runner-check", this->checkRunner(incarnation));
    this->recordUnlistedRunners();
}

asio::awaitable<void> GatewayState::checkRunner(RunnerIncarnation runner)
{
    boost::system::error_code ignored;
    asio::steady_timer delay(this->io);
    bool hasEnded = false;
    for (int check = 0; check < MaxRunnerChecks; ++check) {
        std::string address = runner.address;
        const RunnerConnectionPointer connection =
                co_await this->connections.connect(std::move(address), RunnerCheckTimeout);
        hasEnded = !connection;
        if (hasEnded)
            break;
        delay.expires_after(RunnerCheckDelay);
        co_await delay.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (ConnectionPool::isReusable(*connection))
            break;
    }
    this->checkedRunners.erase(runner);
    if (hasEnded) {
        this->recordEndedRuns(this->lostRuns.takeEnded(runner, steadyNow()), "unreachable");
        co_return;
    }
    for (const LostRun &run : this->lostRuns.takeCompleted(runner)) {
        this->recordCompletion(run.fingerprint, run.requestId);
        this->recordServedParts(run.promptParts, run.requestId);
    }
}

void GatewayState::recordUnlistedRunners()
{
    if (this->lostRuns.isEmpty())
        return;
    this->lostRuns.dropExpired(steadyNow());
    const auto isUnlisted = [this](const RunnerIncarnation &runner) {
        const RunnerPool::RunnerPointer listed = this->runners.find(runner.id);
        return !listed || RunnerIncarnation::of(listed->entry) != runner;
    };
    this->recordEndedRuns(this->lostRuns.takeEnded(isUnlisted), "list");
}

void GatewayState::recordEndedRuns(std::span<const LostRun> runs, std::string_view evidence)
{
    for (const LostRun &run : runs) {
        const CrashRecords::Change change =
                this->crashRecords.recordCrash(run.fingerprint, run.runner, steadyNow());
        this->metrics.endedRuns.Increment();
        logWarning(
                "runner-ended",
                {{"request", run.requestId},
                 {"runner", run.runner.id},
                 {"started_at", std::to_string(run.runner.startedAtMs)},
                 {"fingerprint", fingerprintText(run.fingerprint)},
                 {"prompt_parts", fingerprintTexts(run.promptParts)},
                 {"stage", std::string(toString(run.stage))},
                 {"loss", std::string(toString(run.loss))},
                 {"evidence", std::string(evidence)},
                 {"lost_for_ms", std::to_string(toMilliseconds(steadyNow() - run.lostAt))},
                 {"crashes", std::to_string(this->crashRecords.crashCount(run.fingerprint, steadyNow()))}});
        this->logCrashChange(change, CrashSubject::Request, run.fingerprint, "own");
        this->recordPromptPartCrashes(run);
    }
}

void GatewayState::recordPromptPartCrashes(const LostRun &run)
{
    // A runner that ends because of a part does so as it begins to respond, and may lose the head of its
    // response with it. A runner that is silent has not reached that point.
    const bool isAnswered = run.stage == RunStage::Beginning;
    if (!isAnswered && (run.stage == RunStage::Running || run.loss == RunLoss::Silent))
        return;
    for (uint32_t position = 0; position < run.promptParts.size(); ++position) {
        const Sha256 &part = run.promptParts[position];
        const CrashRecords::Change change = this->crashRecords.recordPromptPartCrash(
                part, position, run.fingerprint, run.runner, steadyNow(), isAnswered);
        this->logCrashChange(change, CrashSubject::PromptPart, part, "own");
    }
}

void GatewayState::settleCrashRecords()
{
    for (const Sha256 &part : this->crashRecords.settle(steadyNow()))
        this->logCrashChange(CrashRecords::Change::Quarantined, CrashSubject::PromptPart, part, "settled");
}

size_t GatewayState::possibleCrashes(const Sha256 &fingerprint) const
{
    return this->crashRecords.crashCount(fingerprint, steadyNow()) + this->lostRuns.runnerCount(fingerprint);
}

void GatewayState::mergeCrashReports(std::span<const CrashReport> reports)
{
    for (const CrashReport &report : reports)
        this->logCrashChange(this->crashRecords.merge(report, steadyNow()), report.subject,
                             report.fingerprint, "coordinator");
}

void GatewayState::recordCompletion(const Sha256 &fingerprint, std::string_view requestId)
{
    const CrashRecords::Change change = this->crashRecords.recordCompletion(fingerprint, steadyNow());
    this->logCrashChange(change, CrashSubject::Request, fingerprint, requestId);
}

void GatewayState::recordServedParts(std::span<const Sha256> promptParts, std::string_view requestId)
{
    for (const Sha256 &part : promptParts) {
        const CrashRecords::Change change = this->crashRecords.recordCompletion(part, steadyNow());
        this->logCrashChange(change, CrashSubject::PromptPart, part, requestId);
    }
}

void GatewayState::logCrashChange(CrashRecords::Change change, CrashSubject subject,
                                  const Sha256 &fingerprint, std::string_view source)
{
    if (change == CrashRecords::Change::Quarantined)
        logWarning("request-quarantined", {{"subject", std::string(toString(subject))},
                                           {"fingerprint", fingerprintText(fingerprint)},
                                           {"source", std::string(source)},
                                           {"runners", this->crashRecords.crashedRunners(fingerprint)}});
    if (change == CrashRecords::Change::Cleared)
        logInfo("request-cleared", {{"subject", std::string(toString(subject))},
                                    {"fingerprint", fingerprintText(fingerprint)},
                                    {"source", std::string(source)}});
}

void GatewayState::handleFleetUpdate()
{
    this->recordUnlistedRunners();
    for (const RunnerPauses::Cut &cut : this->runners.removeCutPauses(steadyNow())) {
        logInfo("runner-pause-cut",
                {{"runner", cut.runnerId}, {"remaining_ms", std::to_string(toMilliseconds(cut.remaining))}});
    }
    this->notifyCapacityFreed();
    this->checkStreamsOnLeavingRunners();
}

void GatewayState::recordPause(const RunnerPool::Runner &runner, const ResponseMetadata &metadata,
                               std::string_view requestId)
{
    if (!metadata.pause)
        return;
    const RunnerPauses::Change change =
            this->runners.recordPause(runner, *metadata.pause, this->gatewayCount, steadyNow(), this->random);
    if (change == RunnerPauses::Change::Begun)
        this->logPause(runner, *metadata.pause, requestId);
}

void GatewayState::logPause(const RunnerPool::Runner &runner, Duration pause, std::string_view requestId)
{
    const TimePoint now = steadyNow();
    if (now < this->nextPauseLogAt) {
        ++this->suppressedPauseLogs;
        return;
    }
    this->nextPauseLogAt = now + PauseLogInterval;
    logInfo("runner-pause", {{"runner", runner.entry.id},
                             {"started_at", std::to_string(runner.entry.startedAtMs)},
                             {"seconds", std::to_string(toSeconds(pause))},
                             {"request", requestId.empty() ? "none" : std::string(requestId)},
                             {"suppressed", std::to_string(std::exchange(this->suppressedPauseLogs, 0))}});
}

asio::awaitable<Result<HttpResponse, HttpFailure>> GatewayState::requestCopy(RunnerPool::RunnerPointer runner,
                                                                             CopyRequest request,
                                                                             Duration timeout,
                                                                             RunnerConnectionPointer opened)
{
    OutgoingCall call = this->format.copyCall(request);
    CallConnection use;
    // The reply to such a call decides whether a response was complete.
    use.isNew = request.endsRun || !runner->namesRequests;
    use.opened = std::move(opened);
    // The reply does not name the request that it belongs to.
    use.isLastUse = true;
    use.isStray = [this, id = request.requestId, runner](const ResponseHeader &header) {
        const ResponseMetadata metadata = this->format.decodeResponse(header);
        return (!metadata.requestId.empty() && metadata.requestId != id) ||
               (!metadata.runnerId.empty() && metadata.runnerId != runner->entry.id);
    };
    auto result = co_await this->connections.call(runner->entry.address, std::move(call), timeout,
                                                  MaxRunnerStatementBytes, std::move(use));
    if (const auto *response = std::get_if<HttpResponse>(&result)) {
        const ResponseMetadata metadata = this->format.decodeResponse(response->base());
        this->recordAnswer(runner->entry, response->result_int(), metadata, request.requestId);
        this->recordPause(*runner, metadata, request.requestId);
    }
    co_return result;
}

asio::awaitable<void> GatewayState::releaseCopy(RunnerPool::RunnerPointer source, std::string handle)
{
    // A copy that is not released is freed by its runners some seconds later.
    if (this->runners.isPaused(*source, steadyNow()))
        co_return;
    OutgoingCall call = this->format.releaseCopyCall(handle);
    CallConnection use;
    use.isLastUse = true;
    co_await this->connections.call(source->entry.address, std::move(call), CopyReleaseTimeout,
                                    MaxRunnerStatementBytes, std::move(use));
}

asio::awaitable<bool> GatewayState::waitForPausedRunner(TimePoint nextSend, TimePoint limit)
{
    const TimePoint now = steadyNow();
    if (nextSend > limit)
        co_return false;
    if (nextSend > now)
        co_await this->waitForCapacity(nextSend - now);
    co_return true;
}

void GatewayState::checkStreamsOnLeavingRunners()
{
    const TimePoint now = steadyNow();
    const std::set<StreamSession *> current = this->streams;
    for (StreamSession *session : current) {
        const RunnerPool::RunnerPointer runner = session->runner();
        if (!runner || !runner->entry.isExpectedToLeave())
            continue;
        session->handleRunnerLeaving(runner->stopForecast(now));
    }
}

RunnerLoads GatewayState::ownLoads() const
{
    RunnerLoads loads;
    for (const auto &[id, runner] : this->runners.runners()) {
        if (runner->ownLoad.activeRequests > 0 || runner->ownLoad.memory.peak() > 0)
            loads.emplace(id, runner->ownLoad);
    }
    return loads;
}

asio::awaitable<void> GatewayState::waitForCapacity(Duration maxWait)
{
    boost::system::error_code ignored;
    asio::steady_timer timeout(this->io, maxWait);
    timeout.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            this->capacitySignal.cancel();
    });
    co_await this->capacitySignal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    timeout.cancel();
}

RunnerLoadReservation::RunnerLoadReservation(RunnerPool::RunnerPointer runner, RunnerLoad amount)
    : reservedRunner(std::move(runner))
    , load(amount)
{
    this->reservedRunner->ownLoad += this->load;
}

RunnerLoadReservation::RunnerLoadReservation(RunnerLoadReservation &&other) noexcept
    : reservedRunner(std::exchange(other.reservedRunner, nullptr))
    , load(other.load)
{}

RunnerLoadReservation &RunnerLoadReservation::operator=(RunnerLoadReservation &&other) noexcept
{
    if (this != &other) {
        this->release();
        this->reservedRunner = std::exchange(other.reservedRunner, nullptr);
        this->load = other.load;
    }
    return *this;
}

void RunnerLoadReservation::release()
{
    if (!this->reservedRunner)
        return;
    this->reservedRunner->ownLoad.activeRequests -= this->load.activeRequests;
    this->reservedRunner->ownLoad.memory -= this->load.memory;
    this->reservedRunner->ownLoad.prefillTokens -= this->load.prefillTokens;
    this->reservedRunner.reset();
}

void RunnerLoadReservation::setMemory(const MemoryForecast &memory)
{
    if (!this->reservedRunner)
        return;
    this->reservedRunner->ownLoad.memory -= this->load.memory;
    this->reservedRunner->ownLoad.memory += memory;
    this->load.memory = memory;
}

void RunnerLoadReservation::endPrefill()
{
    if (!this->reservedRunner)
        return;
    this->reservedRunner->ownLoad.prefillTokens -= this->load.prefillTokens;
    this->load.prefillTokens = 0;
}

} // namespace eelgrasslift
