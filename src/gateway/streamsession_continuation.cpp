#include "gateway/streamsession.h"

#include "eelgrasslift/logging.h"
#include "gateway/clock.h"
#include "gateway/task.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

// Backups, migrations and other continuations of a stream whose runner stops.

namespace eelgrasslift {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// Backups are made only while all runners together, and the one that keeps the backup, have plenty of free
// memory.
constexpr double BackupFleetMemoryLimit = 0.4;
constexpr double BackupMemoryLimit = 0.7;

// A backup occupies memory and link bandwidth for as long as the generation lasts; one with fewer remaining
// tokens completes before a crash is likely.
constexpr double MinRemainingTokensForBackup = 100;

// A copy to another failure domain takes twice as long on the link. The penalty is compared with the wait at
// a busier runner.
constexpr double CopyCrossDomainSeconds = 1.0;

// A copy takes some hundred milliseconds on the link, and the destination may queue it behind others.
constexpr Duration CopyTimeout = std::chrono::milliseconds{2500};

// Memory for a copy becomes free when another generation ends; trying at each event would not find it sooner.
constexpr Duration MigrationRetryDelay = std::chrono::milliseconds{80};

// A runner that stalls a resumable stream may go on in the meantime; another one becomes free when a
// generation ends there.
constexpr Duration ResumeRetryDelay = std::chrono::milliseconds{500};

// A copy whose source has stopped is complete after this time or never will be.
constexpr Duration CopyingWait = std::chrono::milliseconds{150};

constexpr Duration ContinuationRetryDelay = std::chrono::milliseconds{40};

// Bounds the switches of a stream that fail, each of which holds up its events for a moment.
constexpr int MaxFailedSwitches = 6;

} // namespace

RunnerLoadReservation StreamSession::chooseBackup(const RunnerPool::Runner &primary) const
{
    const EngineTraits *engine = this->context.engine();
    const bool isWorthwhile = engine != nullptr && engine->supportsBackup &&
                              !this->context.route->isResumable &&
                              this->remainingTokens() >= MinRemainingTokensForBackup;
    if (!isWorthwhile ||
        this->gateway.runners.memoryUtilization(this->context.service, *engine) > BackupFleetMemoryLimit)
        return {};
    // A backup in the gateway's own failure domain stays reachable when the runner's domain does not.
    const RunnerPool::RunnerPointer runner =
            this->chooseCopyDestination(primary, this->gateway.settings.domain, BackupMemoryLimit);
    if (!runner)
        return {};
    return {runner, RunnerLoad{0, this->expectedMemory(), 0}};
}

bool StreamSession::isBackupReachable() const
{
    const RunnerPool::RunnerPointer &backupRunner = this->backup.runner();
    return backupRunner && !backupRunner->entry.isUnresponsive &&
           this->gateway.runners.acceptsMoves(*backupRunner, steadyNow());
}

std::optional<StreamSession::Destination> StreamSession::backupDestination() const
{
    const RunnerPool::RunnerPointer runner = this->backup.runner();
    if (!runner)
        return std::nullopt;
    // The runner may have restarted under the same id and lost the backup.
    if (this->gateway.runners.find(runner->entry.id) != runner || this->gateway.runners.isEvacuated(*runner))
        return std::nullopt;
    return Destination{runner,
                       this->gateway.format.copyReference(runner->entry.address, this->context.metadata.id),
                       "backup", false, true};
}

asio::awaitable<std::optional<StreamSession::Destination>>
StreamSession::planContinuation(const RelayResult &failed, Destination previous)
{
    boost::system::error_code ignored;
    if (this->isQuarantined() || (!isCertainlyNotRun(failed.outcome) && !this->mayRepeatAfterLoss()))
        co_return std::nullopt;
    if (this->isKnownComplete())
        co_return std::nullopt;
    if (this->isCopying && !this->hasCopy()) {
        this->copyingDone.expires_after(CopyingWait);
        co_await this->copyingDone.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (!previous.continueFrom.empty() && failed.outcome == SendOutcome::RefusedByRunner) {
        const FailedSwitch failedSwitch{failed.outcome, this->isCopyInTransit, ++this->refusedContinuations,
                                        false};
        if (planFailedSwitch(failedSwitch) != SwitchStep::Retry) {
            // If the stream returns to its own runner, it is not copied to this one again.
            this->fullRunners.insert(previous.runner->entry.id);
            co_return co_await this->takeStoppedSource();
        }
        asio::steady_timer retryDelay(this->gateway.io, ContinuationRetryDelay);
        co_await retryDelay.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (this->isKnownComplete())
            co_return std::nullopt;
        co_return previous;
    }
    this->refusedContinuations = 0;
    if (this->stoppedSource && isCertainlyNotRun(failed.outcome))
        co_return co_await this->takeStoppedSource();
    if (RunnerPool::RunnerPointer called = std::exchange(this->calledRunner, nullptr)) {
        std::string reference = this->copy ? this->copy->destination.continueFrom : std::string{};
        this->stoppedSource = Destination{std::move(called), std::move(reference), "source", true};
    }
    if (this->hasCopy()) {
        const Destination destination = this->copy->destination;
        this->copy.reset();
        this->gateway.metrics.countContinuation(std::string(destination.method), true);
        co_return destination;
    }
    this->copy.reset();
    // A runner that refused the request has produced nothing to continue from.
    const bool isResponseStarted = this->writer.isResponseStarted();
    if (!isResponseStarted && isCertainlyNotRun(failed.outcome)) {
        this->triedRunners.insert(this->lastRunnerId);
        co_return std::nullopt;
    }
    if (!this->context.route->isResumable) {
        auto destination = this->backupDestination();
        this->backup.release();
        this->gateway.metrics.countContinuation("backup", destination.has_value());
        if (!destination)
            co_return co_await this->takeStoppedSource();
        co_return destination;
    }
    if (!isResponseStarted) {
        this->triedRunners.insert(this->lastRunnerId);
        co_return std::nullopt;
    }
    this->triedRunners.insert(this->lastRunnerId);
    if (!this->retryController.allowsNextRunner())
        co_return std::nullopt;
    if (!this->gateway.retryBudget.tryAcquireRetry(this->context.service, steadyNow()))
        co_return std::nullopt;
    const RunnerPool::RunnerPointer runner = co_await this->place();
    this->gateway.metrics.countContinuation("resume", runner != nullptr);
    if (!runner)
        co_return std::nullopt;
    co_return Destination{runner, {}, "resume"};
}

bool StreamSession::hasCopy() const
{
    if (!this->copy)
        return false;
    const RunnerPool::RunnerPointer &runner = this->copy->destination.runner;
    // A runner that was restarted has lost the copy.
    return this->gateway.runners.find(runner->entry.id) == runner;
}

bool StreamSession::isCopyUsable() const
{
    return this->hasCopy() &&
           this->gateway.runners.acceptsMoves(*this->copy->destination.runner, steadyNow());
}

void StreamSession::handleRunnerLeaving(const StopForecast &stop)
{
    const EngineTraits *engine = this->context.engine();
    if (this->isCopying || this->isSwitching || this->requestedSwitch || !this->load.runner() ||
        !this->forwardedConnection || engine == nullptr || this->failedSwitches >= MaxFailedSwitches ||
        steadyNow() < this->nextMigrationAt)
        return;
    const bool hasBackup =
            this->backup.runner() && this->gateway.runners.acceptsMoves(*this->backup.runner(), steadyNow());
    const Duration age = this->runFirstEventAt ? steadyNow() - *this->runFirstEventAt : Duration::zero();
    LeavingGeneration generation{this->remainingTokens(), this->generatedTokens(),
                                 this->runFirstEventAt.has_value(), age, hasBackup,
                                 engine->supportsMigration && !this->context.route->isResumable, std::nullopt,
                                 this->load.runner()->entry.isLeaving,
                                 // Where others have refused the generation, another call would only hold it
                                 // up.
                                 this->calledRunner || this->current.isStoppedSource ||
                                         this->gateway.runners.isPaused(*this->load.runner(), steadyNow())};
    if (this->isCopyUsable())
        generation.copyAge = steadyNow() - this->copy->madeAt;
    const MigrationAction action = planMigration(generation, stop);
    if (action == MigrationAction::Stay)
        return;
    logInfo("runner-leaving-during-generation",
            {{"request", this->context.metadata.id},
             {"runner", this->load.runner()->entry.id},
             {"until_gone_ms", std::to_string(toMilliseconds(stop.earliest))},
             {"until_gone_at_most_ms",
              stop.latest ? std::to_string(toMilliseconds(*stop.latest)) : "unknown"},
             {"events", std::to_string(this->splitter.eventCount())},
             {"backup", hasBackup ? this->backup.runner()->entry.id : "none"},
             {"copy", generation.copyAge ? this->copy->destination.runner->entry.id : "none"},
             {"action", std::string(eelgrasslift::toString(action))}});
    if (action == MigrationAction::Leave) {
        this->requestSwitch(SwitchReason::Leaving);
        return;
    }
    if (action == MigrationAction::EndRun) {
        this->stopRun(StopPurpose::Copy);
        return;
    }
    this->isCopying = true;
    spawnTask(this->gateway.io, "migration", this->copyToAnotherRunner());
}

asio::awaitable<void> StreamSession::copyToAnotherRunner()
{
    const auto self = this->shared_from_this();
    const RunnerPool::RunnerPointer source = this->load.runner();
    TransferRequest transferRequest;
    transferRequest.sourceId = source->entry.id;
    transferRequest.service = this->context.service;
    transferRequest.size = this->size();
    transferRequest.generatedTokens = this->generatedTokens();
    transferRequest.value = generationValue(
            {transferRequest.size.promptTokens, transferRequest.generatedTokens + this->remainingTokens()});
    transferRequest.excluded.assign(this->fullRunners.begin(), this->fullRunners.end());
    std::ranges::copy(this->triedRunners, std::back_inserter(transferRequest.excluded));
    std::ranges::move(this->gateway.runners.pausedIds(this->context.service, steadyNow()),
                      std::back_inserter(transferRequest.excluded));
    const std::optional<TransferPermit> permit =
            co_await this->gateway.fleetScheduler->requestTransfer(std::move(transferRequest));
    RunnerPool::RunnerPointer destination =
            permit ? this->gateway.runners.find(permit->destinationId) : nullptr;
    // A renewed copy goes where the earlier one is, which it completes.
    if (this->isCopyUsable())
        destination = this->copy->destination.runner;
    if (!destination || this->gateway.runners.hasStatedLeaving(destination->entry) ||
        this->gateway.runners.isPaused(*destination, steadyNow()))
        destination = this->chooseCopyDestination(*source, source->entry.domain, CopyMemoryLimit);
    // The source sends the copy on request; one that pauses wants none.
    if (this->gateway.runners.isPaused(*source, steadyNow()))
        destination.reset();
    bool isCopied = false;
    const auto isStillOnSource = [&] {
        return this->load.runner() == source && this->forwardedConnection && !this->isAbandoned;
    };
    if (destination && isStillOnSource()) {
        RunnerLoadReservation reservation(destination, this->expectedLoad());
        const std::optional<std::string> handle = co_await this->copyMemory(source, destination);
        isCopied = handle.has_value();
        // Another runner may have taken the stream over meanwhile.
        if (isCopied && this->current.runner == source)
            this->copy = Copy{
                    {destination, this->gateway.format.copyReference(source->entry.address, *handle), "move"},
                    source,
                    *handle,
                    steadyNow(),
                    std::move(reservation)};
        if (isCopied && isStillOnSource())
            this->startStallWatch();
    }
    if (permit)
        this->gateway.fleetScheduler->finishTransfer(permit->ticket);
    if (!isCopied)
        this->nextMigrationAt = steadyNow() + MigrationRetryDelay;
    this->isCopying = false;
    this->copyingDone.cancel();
}

void StreamSession::requestSwitch(SwitchReason reason)
{
    const TimePoint earliest = reason == SwitchReason::Stall ? this->nextResumeAt : this->nextMigrationAt;
    if (this->isSwitching || this->requestedSwitch || this->failedSwitches >= MaxFailedSwitches ||
        steadyNow() < earliest)
        return;
    this->requestedSwitch = reason;
    this->forwardedConnection->stream.cancel();
}

asio::awaitable<std::optional<StreamSession::Destination>>
StreamSession::chooseSwitchDestination(SwitchReason reason)
{
    if (this->isCopyUsable())
        co_return this->copy->destination;
    if (reason == SwitchReason::Leaving || !this->context.route->isResumable)
        co_return this->backupDestination();
    if (!this->retryController.allowsAnotherRunner())
        co_return std::nullopt;
    this->triedRunners.insert(this->load.runner()->entry.id);
    const RunnerPool::RunnerPointer runner = co_await this->place();
    if (!runner || !this->gateway.retryBudget.tryAcquireRetry(this->context.service, steadyNow()))
        co_return std::nullopt;
    co_return Destination{runner, {}, "resume"};
}

asio::awaitable<std::optional<StreamSession::RelayResult>> StreamSession::switchRunner(RunnerStream &stream)
{
    const SwitchReason reason = *std::exchange(this->requestedSwitch, std::nullopt);
    const auto isConnected = [&] { return stream.connection->stream.socket().is_open(); };
    this->isSwitching = true;
    RelayResult failure{RelayOutcome::Withheld, SendOutcome::NotConnected, "no-runner", std::nullopt};
    std::optional<Destination> destination;
    if (co_await this->prepareRunEnd())
        destination = co_await this->chooseSwitchDestination(reason);
    else
        failure.cause = "run-end-not-possible";
    // A stalled runner may have gone on meanwhile.
    if (reason == SwitchReason::Stall && stream.connection->hasUnreadBytes())
        destination.reset();
    SwitchStep step = destination ? SwitchStep::Retry : SwitchStep::Stay;
    for (uint32_t refusals = 1; step == SwitchStep::Retry && !this->isAbandoned; ++refusals) {
        auto opened = co_await this->open(*destination, stream.connection);
        if (auto *next = std::get_if<RunnerStream>(&opened)) {
            this->moveStream(stream, *next, *destination, reason);
            this->isSwitching = false;
            co_return std::nullopt;
        }
        failure = std::move(std::get<RelayResult>(opened));
        this->retryController.recordOutcome(failure.outcome);
        step = planFailedSwitch({failure.outcome, this->isCopyInTransit, refusals, isConnected()});
        if (step != SwitchStep::Retry)
            break;
        boost::system::error_code ignored;
        asio::steady_timer retryDelay(this->gateway.io, ContinuationRetryDelay);
        co_await retryDelay.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    this->isSwitching = false;
    if (this->isAbandoned)
        co_return RelayResult{RelayOutcome::CallerDisconnected, SendOutcome::Unknown, "caller-gone",
                              std::nullopt};
    const RunnerPool::RunnerPointer source = this->load.runner();
    logInfo("continuation-failed", {{"request", this->context.metadata.id},
                                    {"runner", source->entry.id},
                                    {"to", destination ? destination->runner->entry.id : "none"},
                                    {"way", std::string(toString(reason))},
                                    {"cause", std::string(failure.cause)},
                                    {"stays", isConnected() ? "yes" : "no"}});
    if (destination)
        this->recordFailedSwitch(*destination, failure);
    if (reason == SwitchReason::Stall)
        this->nextResumeAt = steadyNow() + ResumeRetryDelay;
    else
        this->nextMigrationAt = steadyNow() + MigrationRetryDelay;
    if (isConnected()) {
        this->runEndMeans = {};
        this->activeConnection = stream.connection;
        this->lastRunnerId = source->entry.id;
        co_return std::nullopt;
    }
    this->lastSwitch.emplace(source->entry.id, reason);
    if (destination)
        this->current = *destination;
    co_return failure;
}

void StreamSession::moveStream(RunnerStream &stream, RunnerStream &next, const Destination &destination,
                               SwitchReason reason)
{
    boost::system::error_code ignored;
    stream.connection->stream.socket().close(ignored);
    const RunnerPool::RunnerPointer source = this->load.runner();
    this->endRun(source, destination.runner.get(), stream.sentAt, std::exchange(this->runEndMeans, {}));
    // A call that ends the earlier run must not meet a new one.
    this->triedRunners.insert(source->entry.id);
    this->lastSwitch.emplace(source->entry.id, reason);
    RunnerPool::recordSend(*source, reason == SwitchReason::Stall ? SendHealth::Failed : SendHealth::Good,
                           steadyNow() - stream.sentAt, steadyNow());
    if (reason == SwitchReason::Stall)
        this->recordLostRun(source->entry, this->runStage(), RunLoss::Silent);
    this->retryController.recordOutcome(SendOutcome::Unknown);
    this->gateway.metrics.countContinuation(std::string(destination.method), true);
    logInfo("generation-continues", {{"request", this->context.metadata.id},
                                     {"from", source->entry.id},
                                     {"to", destination.runner->entry.id},
                                     {"cause", std::string(toString(reason))},
                                     {"way", std::string(destination.method)},
                                     {"events", std::to_string(this->splitter.eventCount())}});
    this->splitter.discardPartialEvent();
    stream = std::move(next);
    this->current = destination;
    this->copy.reset();
    this->adopt(stream);
    this->gateway.notifyCapacityFreed();
}

void StreamSession::recordFailedSwitch(const Destination &destination, const RelayResult &failure)
{
    ++this->failedSwitches;
    this->gateway.metrics.countContinuation(std::string(destination.method), false);
    if (failure.outcome != SendOutcome::RefusedByRunner && failure.relayOutcome != RelayOutcome::Withheld)
        RunnerPool::recordSend(*destination.runner, SendHealth::Failed, Duration::zero(), steadyNow());
    // What the runner has never seen is still there.
    if (failure.outcome == SendOutcome::NotConnected)
        return;
    if (destination.continueFrom.empty()) {
        this->triedRunners.insert(destination.runner->entry.id);
        return;
    }
    this->fullRunners.insert(destination.runner->entry.id);
    if (this->copy && this->copy->destination.continueFrom == destination.continueFrom)
        this->copy.reset();
    else if (this->backup.runner() == destination.runner)
        this->backup.release();
}

std::string_view StreamSession::toString(SwitchReason reason)
{
    switch (reason) {
    case SwitchReason::Leaving:
        return "leaving";
    case SwitchReason::Stall:
        return "stall";
    }
    return "unknown";
}

RunnerPool::RunnerPointer StreamSession::chooseCopyDestination(const RunnerPool::Runner &source,
                                                               std::string_view domain,
                                                               double memoryLimit) const
{
    std::set<std::string> excluded = this->fullRunners;
    excluded.insert(this->triedRunners.begin(), this->triedRunners.end());
    excluded.insert(source.entry.id);
    RunnerCriteria criteria{
            this->context.service, domain, this->context.metadata.size, &excluded, memoryLimit,
            CopyCrossDomainSeconds};
    criteria.generatedTokens = this->generatedTokens();
    auto placed =
            this->gateway.runners.choose(criteria, this->context.engine(), steadyNow(), this->gateway.random);
    const auto *runner = std::get_if<RunnerPool::RunnerPointer>(&placed);
    return runner == nullptr ? nullptr : *runner;
}

asio::awaitable<std::optional<std::string>> StreamSession::copyMemory(RunnerPool::RunnerPointer source,
                                                                      RunnerPool::RunnerPointer destination)
{
    const TimePoint started = steadyNow();
    CopyRequest copyRequest{this->context.metadata.id, destination->entry.address};
    const auto result = co_await this->gateway.requestCopy(source, std::move(copyRequest), CopyTimeout);
    const auto *response = std::get_if<HttpResponse>(&result);
    const unsigned status = response ? response->result_int() : 0;
    logInfo("generation-copied", {{"request", this->context.metadata.id},
                                  {"from", source->entry.id},
                                  {"to", destination->entry.id},
                                  {"status", std::to_string(status)},
                                  {"ms", std::to_string(toMilliseconds(steadyNow() - started))}});
    if (status == 503)
        this->fullRunners.insert(destination->entry.id);
    if (status != 200)
        co_return std::nullopt;
    const auto copyResult = this->gateway.format.decodeCopyResult(response->body());
    if (std::holds_alternative<DecodeError>(copyResult))
        co_return std::nullopt;
    co_return std::get<CopyResult>(copyResult).handle;
}

} // namespace eelgrasslift
