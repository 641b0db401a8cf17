#include "gateway/streamsession.h"

#include "eelgrasslift/logging.h"
#include "gateway/clock.h"
#include "gateway/task.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

// How the runs of a stream end: calls that end them, and what their responses and the replies tell.

namespace eelgrasslift {

namespace asio = boost::asio;

namespace {

// A runner that ends a run with its connection has done so after this time. Two runners may work on one
// request for 400 ms, as specified by the users; this and MaxRunnerOverlap leave time for the call.
constexpr Duration RunEndDelay = std::chrono::milliseconds{80};
// A call that was lost is repeated so often that the run ends within the 400 ms if the runner takes calls
// again by then. After that the repetitions become rare: the delay is this share of the time since the stream
// has left.
constexpr Duration RunEndRetryDelay = std::chrono::milliseconds{50};
constexpr double RunEndRetryShare = 0.125;
constexpr Duration MaxRunEndRetryDelay = std::chrono::milliseconds{1000};
constexpr int MaxRunEndChecks = 3;
// A request whose deadline has passed, or is brought forward by a shutdown, still leaves time for the call.
constexpr Duration MinRunEndTime = std::chrono::milliseconds{1000};
// A runner that stands still answers when it goes on.
constexpr Duration RunEndTimeout = std::chrono::milliseconds{2500};

// Before a stream leaves a runner, the connection for the call is opened. A runner that can be reached
// accepts it, or resets it, within two round trips; the pause limit leaves no time for more.
constexpr Duration RunEndConnectTimeout = std::chrono::milliseconds{10};
constexpr Duration ConnectionResetDelay = std::chrono::milliseconds{10};

// A runner replies within a round trip that it has no such run. One that has stopped the run replies after
// the copy; most of the pause limit is left then to continue elsewhere.
constexpr Duration StopReplyWait = std::chrono::milliseconds{50};

// The end of a response that seems complete waits for the reply to a check at most for this time: longer than
// a copy takes on a busy link, and shorter than the time after which callers disconnect, which is two
// seconds.
constexpr Duration CheckTimeout = std::chrono::milliseconds{1000};

// How long a generation that is refused elsewhere waits for the name under which its runner keeps it, if a
// name is known from the first copy: longer than a copy takes on a busy link.
constexpr Duration KeptCopyWait = std::chrono::milliseconds{500};

// How long the end of a stream waits for the reply to the call that follows a check without a statement:
// that call is sent after RunEndDelay, and a runner replies within a round trip that it has no such run.
constexpr Duration FurtherCallWait = std::chrono::milliseconds{300};

/// What the reply that there is no such run tells about a run at the called runner. The list shows another
/// runner under its id after a restart, and nullptr stands for none.
RunStopReply statementOfRunner(NoSuchRun reply, const RunnerPool::RunnerPointer &listed,
                               const RunnerPool::Runner &called)
{
    const int64_t startedAtMs = called.entry.startedAtMs;
    if (startedAtMs != 0 && reply.startedAtMs.value_or(startedAtMs) != startedAtMs)
        return NoRunStatement{};
    if (listed.get() == &called)
        return reply;
    // A runner that is listed no more may still reply itself.
    if (!listed)
        return CallNotExecuted{};
    return NoRunStatement{};
}

/// Whether the runner that has given the reply has ended: another one is listed under its id, or it is listed
/// no more and cannot be reached.
bool isRunnerGone(const RunnerPool &runners, const RunnerPool::Runner &runner, const RunStopReply &reply)
{
    const RunnerPool::RunnerPointer listed = runners.find(runner.entry.id);
    const auto *notExecuted = std::get_if<CallNotExecuted>(&reply);
    return listed ? listed.get() != &runner : notExecuted != nullptr && notExecuted->isUnreachable;
}

/// Time until the next call to end a run after the reply to one that has not ended it.
Duration runEndRetryDelay(const RunStopReply &reply, Duration sinceLeft)
{
    // A runner that cannot be reached has probably ended, and one that is silent will read the call later.
    const auto *notExecuted = std::get_if<CallNotExecuted>(&reply);
    const auto *unknown = std::get_if<NoRunStatement>(&reply);
    const bool isUrgent = !(notExecuted != nullptr && notExecuted->isUnreachable) &&
                          !(unknown != nullptr && unknown->mayTakeEffect);
    const auto share = std::chrono::duration_cast<Duration>(sinceLeft * RunEndRetryShare);
    return std::clamp<Duration>(isUrgent ? share : sinceLeft, RunEndRetryDelay, MaxRunEndRetryDelay);
}

} // namespace

asio::awaitable<bool> StreamSession::prepareRunEnd()
{
    const EngineTraits *engine = this->context.engine();
    // Other engines end a run with its connection only.
    if (engine == nullptr || !engine->supportsMigration)
        co_return true;
    const RunnerPool::RunnerPointer runner = this->load.runner();
    auto calls = this->gateway.runners.reserveCalls(*runner, steadyNow());
    if (!calls)
        co_return false;
    std::string address = runner->entry.address;
    RunnerConnectionPointer connection =
            co_await this->gateway.connections.connect(std::move(address), RunEndConnectTimeout);
    if (connection) {
        boost::system::error_code ignored;
        asio::steady_timer delay(this->gateway.io, ConnectionResetDelay);
        co_await delay.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        // A runner that resets new connections lives and goes on with the run, but no call reaches it.
        if (!ConnectionPool::isReusable(*connection))
            co_return false;
        connection->stream.expires_never();
    }
    this->runEndMeans.calls = std::move(*calls);
    this->runEndMeans.connection = std::move(connection);
    co_return true;
}

void StreamSession::endRun(const RunnerPool::RunnerPointer &runner, const RunnerPool::Runner *nextRunner,
                           TimePoint sentAt, RunEndMeans means)
{
    const EngineTraits *engine = this->context.engine();
    if (engine == nullptr || !engine->supportsMigration)
        return;
    // The protocol ends a run only together with a copy of its KV cache, which is freed at once. The runner
    // that continues the generation keeps most of it already.
    const RunnerPool::RunnerPointer other =
            nextRunner ? nullptr
                       : this->chooseCopyDestination(*runner, runner->entry.domain, CopyMemoryLimit);
    const RunnerPool::Runner &destination = nextRunner ? *nextRunner : other ? *other : *runner;
    LeftRun run;
    run.runner = runner;
    run.sentAt = sentAt;
    run.deadline = std::max<TimePoint>(this->context.deadline, steadyNow() + MinRunEndTime);
    run.request = CopyRequest{this->context.metadata.id, destination.entry.address, true};
    if (this->copy)
        run.keptHandle = this->copy->handle;
    run.means = std::move(means);
    spawnTask(this->gateway.io, "run-end",
              requestRunEnd(this->gateway, this->weak_from_this(), std::move(run)));
}

void StreamSession::stopRun(StopPurpose purpose)
{
    const RunnerPool::RunnerPointer source = this->load.runner();
    this->calledRunner = source;
    const std::string &address =
            this->copy ? this->copy->destination.runner->entry.address : source->entry.address;
    const size_t call = this->stopCalls.begin(source->entry.id, steadyNow());
    spawnTask(this->gateway.io, "run-end",
              [&state = this->gateway, stream = this->weak_from_this(), source, call, purpose,
               request = CopyRequest{this->context.metadata.id, address, true}]() -> asio::awaitable<void> {
                  RunStopResult result = co_await callRunStop(state, source, request, purpose);
                  if (const auto session = stream.lock())
                      session->recordStopReply(call, std::move(result.reply));
              });
}

void StreamSession::recordStopReply(size_t call, RunStopReply reply)
{
    this->stopCalls.finish(call, std::move(reply), steadyNow());
    this->stopReplied.cancel();
}

asio::awaitable<StreamSession::RunStopResult>
StreamSession::callRunStop(GatewayState &gateway, RunnerPool::RunnerPointer runner, CopyRequest request,
                           StopPurpose purpose, RunnerConnectionPointer opened)
{
    const TimePoint calledAt = steadyNow();
    const Duration timeout = purpose == StopPurpose::Check ? CheckTimeout : RunEndTimeout;
    const auto result = co_await gateway.requestCopy(runner, request, timeout, std::move(opened));
    const auto *response = std::get_if<HttpResponse>(&result);
    RunStopReply reply;
    if (response != nullptr)
        reply = gateway.format.decodeRunStopReply(*response, response->body());
    else if (std::get<HttpFailure>(result) == HttpFailure::NotConnected)
        reply = CallNotExecuted{true};
    else
        reply = NoRunStatement{std::get<HttpFailure>(result) == HttpFailure::TimedOut};
    const bool isRunOver =
            std::holds_alternative<RunStopped>(reply) || std::holds_alternative<NoSuchRun>(reply);
    // A successor at the address knows nothing of how the run has ended.
    if (const auto *noRun = std::get_if<NoSuchRun>(&reply))
        reply = statementOfRunner(*noRun, gateway.runners.find(runner->entry.id), *runner);
    logInfo("run-ended-by-call", {{"request", request.requestId},
                                  {"runner", runner->entry.id},
                                  {"status", std::to_string(response ? response->result_int() : 0)},
                                  {"reply", std::string(eelgrasslift::toString(reply))},
                                  {"purpose", std::string(toString(purpose))},
                                  {"ms", std::to_string(toMilliseconds(steadyNow() - calledAt))}});
    co_return RunStopResult{std::move(reply), isRunOver};
}

asio::awaitable<void> StreamSession::requestRunEnd(GatewayState &gateway, std::weak_ptr<StreamSession> stream,
                                                   LeftRun run)
{
    const RunnerPool::RunnerPointer runner = run.runner;
    const std::string &runnerId = runner->entry.id;
    const auto hasReturned = [&] {
        const auto session = stream.lock();
        return session && session->activeConnection && session->lastRunnerId == runnerId;
    };
    boost::system::error_code ignored;
    asio::steady_timer delay(gateway.io);
    const TimePoint leftAt = steadyNow();
    TimePoint nextCallAt = leftAt + RunEndDelay;
    RunStopReply reply;
    for (bool isConfirmed = false; !isConfirmed;) {
        delay.expires_after(nextCallAt - steadyNow());
        co_await delay.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        nextCallAt = steadyNow() + RunEndRetryDelay;
        if (hasReturned() || steadyNow() >= run.deadline || isRunnerGone(gateway.runners, *runner, reply))
            co_return;
        auto session = stream.lock();
        if (session && session->stopCalls.isPending(runnerId, run.sentAt))
            continue;
        if (session && !session->stopCalls.needsCall(runnerId, run.sentAt))
            co_return;
        if (!gateway.runners.useCall(*runner, run.means.calls, steadyNow())) {
            nextCallAt = gateway.runners.pausedUntil(*runner, steadyNow()).value_or(nextCallAt);
            if (nextCallAt >= run.deadline)
                co_return;
            continue;
        }
        const size_t call = session ? session->stopCalls.begin(runnerId, steadyNow()) : 0;
        session.reset();
        RunStopResult result = co_await callRunStop(gateway, runner, run.request, StopPurpose::StreamLeft,
                                                    std::exchange(run.means.connection, nullptr));
        reply = std::move(result.reply);
        session = stream.lock();
        // The copy is freed below.
        const bool isStopped = std::holds_alternative<RunStopped>(reply);
        if (session)
            session->recordStopReply(call, isStopped ? RunStopReply(RunStopped{}) : reply);
        isConfirmed = result.isRunOver;
        nextCallAt = steadyNow() + runEndRetryDelay(reply, steadyNow() - leftAt);
    }
    const auto *stopped = std::get_if<RunStopped>(&reply);
    if (stopped != nullptr && !stopped->handle.empty() && stopped->handle != run.keptHandle)
        co_await gateway.releaseCopy(runner, stopped->handle);
}

asio::awaitable<RunEnd> StreamSession::judgeRunEnd(const RunnerStream &stream)
{
    const RunnerPool::RunnerPointer runner = this->load.runner();
    const StopForecast stop = runner->stopForecast(steadyNow());
    const ReceivedEnd end{.runnerId = runner->entry.id,
                          .sentAt = this->runSentAt,
                          .endedAt = steadyNow(),
                          .isUnframed = stream.parser->need_eof(),
                          .hasEvent = this->runFirstEventAt.has_value(),
                          .hasPartialEvent = this->splitter.hasPartialEvent(),
                          .lastEventAwaitedAt = this->lastEventAwaitedAt,
                          .isStopDue = stop.latest && stop.earliest <= Duration::zero(),
                          .canBeStopped = this->canStopRuns(*runner)};
    this->isUnframed = end.isUnframed;
    const auto isPending = [&] { return this->stopCalls.judge(end) == RunEnd::Pending; };
    Duration wait = StopReplyWait;
    // A runner that is leaving also closes its streams when it stops; its reply to a call tells.
    if (this->stopCalls.needsCheck(end)) {
        if (!this->hasCopy() && !this->backup.runner()) {
            wait = CheckTimeout;
            co_await this->waitForEndOfPause(*runner, end.endedAt + CheckTimeout);
        }
        if (!this->gateway.runners.isPaused(*runner, steadyNow()))
            this->stopRun(StopPurpose::Check);
    }
    const TimePoint limit = std::min(end.endedAt + wait, this->context.deadline);
    co_await this->waitForStopReplies(isPending, limit);
    // A runner that is busy, or copies the run for another call, may tell a moment later.
    boost::system::error_code ignored;
    asio::steady_timer delay(this->gateway.io);
    for (int checks = 1; checks < MaxRunEndChecks && this->stopCalls.needsRepeatedCheck(end) &&
                         steadyNow() + RunEndRetryDelay < limit;
         ++checks) {
        delay.expires_after(RunEndRetryDelay);
        co_await delay.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (this->isAbandoned || this->gateway.runners.isPaused(*runner, steadyNow()))
            break;
        this->stopRun(StopPurpose::Check);
        co_await this->waitForStopReplies(isPending, limit);
    }
    const RunEnd result = this->stopCalls.judge(end);
    if (this->isUnframed && (this->calledRunner || result != RunEnd::Complete))
        logInfo("run-end-judged", {{"request", this->context.metadata.id},
                                   {"runner", runner->entry.id},
                                   {"events", std::to_string(this->splitter.eventCount())},
                                   {"end", std::string(eelgrasslift::toString(result))}});
    if (this->isUnframed && result == RunEnd::CutShort)
        this->recordLostRun(runner->entry, this->runStage(), RunLoss::BrokenOff);
    else if (this->isUnframed && result != RunEnd::Stopped)
        this->recordLostRun(runner->entry, this->runStage(), RunLoss::EndedUnframed);
    else if (result == RunEnd::Complete)
        this->recordServedParts();
    if (result != RunEnd::Complete && result != RunEnd::CutShort)
        this->doubtfulEnd = end;
    co_return result;
}

asio::awaitable<void> StreamSession::waitForEndOfPause(const RunnerPool::Runner &runner, TimePoint limit)
{
    for (bool isWaiting = true; isWaiting && !this->isAbandoned;) {
        const auto nextSend = this->gateway.runners.nextSend(runner, steadyNow());
        isWaiting = nextSend && co_await this->gateway.waitForPausedRunner(*nextSend, limit);
    }
}

bool StreamSession::canStopRuns(const RunnerPool::Runner &runner) const
{
    const EngineTraits *engine = this->context.engine();
    return engine != nullptr && engine->supportsMigration && runner.entry.isExpectedToLeave();
}

bool StreamSession::isKnownComplete() const
{
    return this->doubtfulEnd && this->stopCalls.judge(*this->doubtfulEnd) == RunEnd::Complete;
}

bool StreamSession::mayBeInTransit(const Destination &destination) const
{
    if (destination.continueFrom.empty() || destination.isBackup)
        return destination.isBackup;
    // The last part of a copy is sent when the run is stopped.
    const RunnerPool::RunnerPointer &source = this->stoppedSource  ? this->stoppedSource->runner
                                              : this->calledRunner ? this->calledRunner
                                                                   : destination.runner;
    return this->stopCalls.mayBeCopying(source->entry.id, this->runSentAt);
}

asio::awaitable<bool> StreamSession::isDoubtfulEndComplete()
{
    if (!this->doubtfulEnd)
        co_return false;
    // The call of endRun() may tell what the check did not.
    const bool isUnconfirmed = this->stopCalls.judge(*this->doubtfulEnd) == RunEnd::Unconfirmed;
    const auto mayBeTold = [this] {
        const RunEnd end = this->stopCalls.judge(*this->doubtfulEnd);
        return end == RunEnd::Pending ||
               (end == RunEnd::Unconfirmed && this->stopCalls.checkCount(*this->doubtfulEnd) < 2);
    };
    co_await this->waitForStopReplies(mayBeTold,
                                      isUnconfirmed ? steadyNow() + FurtherCallWait : this->context.deadline);
    const RunEnd end = this->stopCalls.judge(*this->doubtfulEnd);
    co_return end == RunEnd::Complete || end == RunEnd::Unconfirmed ||
            (end == RunEnd::Pending && isUnconfirmed);
}

asio::awaitable<std::optional<StreamSession::Destination>> StreamSession::takeStoppedSource()
{
    std::optional<Destination> source = std::exchange(this->stoppedSource, std::nullopt);
    if (!source)
        co_return std::nullopt;
    const std::string &runnerId = source->runner->entry.id;
    const TimePoint limit =
            source->continueFrom.empty() ? this->context.deadline : steadyNow() + KeptCopyWait;
    const auto isPending = [&] { return this->stopCalls.isPending(runnerId, this->runSentAt); };
    co_await this->waitForStopReplies(isPending, limit);
    if (this->isKnownComplete())
        co_return std::nullopt;
    if (const auto kept = this->stopCalls.keptCopy(runnerId, this->runSentAt))
        source->continueFrom = this->gateway.format.copyReference(source->runner->entry.address, *kept);
    if (source->continueFrom.empty())
        co_return std::nullopt;
    co_return source;
}

void StreamSession::recordServedParts()
{
    if (!std::exchange(this->arePartsServed, true))
        this->gateway.recordServedParts(this->promptParts(), this->context.metadata.id);
}

asio::awaitable<void> StreamSession::waitForStopReplies(std::function<bool()> isWaiting, TimePoint limit)
{
    boost::system::error_code ignored;
    for (TimePoint now = steadyNow();
         now < std::min(limit, this->context.deadline) && !this->isAbandoned && isWaiting();
         now = steadyNow()) {
        // Short, since the session may be abandoned meanwhile.
        this->stopReplied.expires_after(std::min<Duration>(limit - now, StopReplyWait));
        co_await this->stopReplied.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

std::string_view StreamSession::toString(StopPurpose purpose)
{
    switch (purpose) {
    case StopPurpose::Copy:
        return "copy";
    case StopPurpose::Check:
        return "check";
    case StopPurpose::StreamLeft:
        return "stream-left";
    }
    return "unknown";
}

asio::awaitable<StreamSession::RelayOutcome> StreamSession::completeResponse()
{
    const bool isEnded = co_await this->writer.endStream();
    co_return isEnded ? RelayOutcome::Complete : RelayOutcome::CallerDisconnected;
}

std::vector<LogField> StreamSession::endLogFields() const
{
    const auto sinceArrival = [this](const std::optional<TimePoint> &at) {
        return at ? std::to_string(toMilliseconds(*at - this->context.arrived)) : std::string("none");
    };
    const GenerationSize size = this->size();
    return {{"events", std::to_string(this->splitter.eventCount())},
            {"framing", this->isUnframed ? "none" : "length-or-chunks"},
            {"prompt_tokens", std::to_string(std::lround(size.promptTokens))},
            {"estimated_tokens", std::to_string(std::lround(size.outputTokens))},
            {"max_tokens", std::to_string(std::lround(size.maxOutputTokens))},
            {"sent_ms", sinceArrival(this->firstSentAt)},
            {"first_event_ms", sinceArrival(this->firstEventAt)},
            {"longest_pause_ms", std::to_string(toMilliseconds(this->longestPause))},
            {"disconnected_from", this->lastSwitch ? this->lastSwitch->first : "none"},
            {"disconnected_for",
             std::string(this->lastSwitch ? toString(this->lastSwitch->second) : "none")}};
}

} // namespace eelgrasslift
