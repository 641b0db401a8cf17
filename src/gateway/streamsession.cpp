#include "gateway/streamsession.h"

#include "eelgrasslift/logging.h"
#include "gateway/clock.h"
#include "gateway/httpservice.h"
#include "gateway/task.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <utility>

namespace eelgrasslift {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr Duration ConnectTimeout = std::chrono::milliseconds{250};

// Delay before a generation that found all runners full tries again; finished generations are reported to the
// coordinators about as often.
constexpr Duration PlacementRetryDelay = std::chrono::milliseconds{100};

// How long a stream that has begun waits for the end of a pause if no other runner can continue it.
constexpr Duration MaxPauseInStream = std::chrono::seconds{1};

// Share of a runner's memory that its generations may be expected to occupy at once. The remainder is for
// generations that last longer than expected.
constexpr double MemoryLimit = 0.95;

// Penalty for a runner in another failure domain, since the stream stalls if the domains are partitioned.
// Equals the prefill of two prompts, a wait that the latency objective still allows.
constexpr double GenerationCrossDomainSeconds = 0.6;

// The same for all generations. Runners preempt others for more urgent ones: short urgent generations then
// delay the prefill of long ones repeatedly, and gain no more than the wait for one prompt. The operator's
// priorities order the generations that wait for a runner instead.
constexpr uint32_t RunnerPriority = 1;

// Bounds the continuations of a generation, which could otherwise alternate endlessly between failing
// runners.
constexpr int MaxContinuations = 12;

// How long the runner that a stream leaves stays connected after the request was sent to the next one. A
// refusal arrives within a round trip; two runners may work on the same request for 400 ms, as specified by
// the users.
constexpr Duration MaxRunnerOverlap = std::chrono::milliseconds{250};

constexpr size_t ReadBufferBytes = 8192;
constexpr size_t MaxErrorResponseBytes = 65536;

} // namespace

StreamSession::StreamSession(GatewayState &state, ResponseWriter &writer, RequestContext requestContext)
    : RequestSession(state, writer, std::move(requestContext))
    , retryController(this->context.route->isIdempotent(), this->context.route->maxAttempts,
                      this->context.deadline)
    , stallDetector(stallTimeout(*this->context.route))
    , stopReplied(state.io)
    , copyingDone(state.io)
{
    this->copyingDone.expires_at(std::chrono::steady_clock::time_point::max());
    this->gateway.addStream(*this);
}

StreamSession::~StreamSession()
{
    this->gateway.removeStream(*this);
    if (this->copy)
        spawnTask(this->gateway.io, "copy-release",
                  this->gateway.releaseCopy(this->copy->source, this->copy->handle));
}

double StreamSession::generatedTokens() const
{
    const EngineTraits *engine = this->context.engine();
    return static_cast<double>(this->splitter.eventCount()) * (engine ? engine->tokensPerEvent : 1);
}

double StreamSession::remainingTokens() const
{
    if (!this->context.metadata.size)
        return 0;
    return OutputLengthDistribution(this->size()).expectedRemaining(this->generatedTokens());
}

MemoryForecast StreamSession::expectedMemory() const
{
    if (!this->context.metadata.size)
        return {};
    return MemoryForecast::forGeneration(this->size(), this->generatedTokens());
}

RunnerLoad StreamSession::expectedLoad() const
{
    if (!this->context.metadata.size)
        return RunnerLoad{1, 0, 0};
    const bool hasStarted = this->splitter.eventCount() > 0;
    return RunnerLoad{1, this->expectedMemory(), hasStarted ? 0 : this->context.metadata.size->promptTokens};
}

asio::awaitable<RunnerPool::RunnerPointer> StreamSession::place()
{
    const Route &route = *this->context.route;
    // A generation that cannot meet its objective any more leaves free memory to those that can.
    const Duration maxPlacementWait =
            std::max(route.latencyObjective - timeToFirstEvent(this->size()), Duration::zero());
    const TimePoint placementDeadline =
            std::min(this->context.deadline, this->context.arrived + maxPlacementWait);
    TimePoint pauseLimit = placementDeadline;
    if (this->isSwitching)
        pauseLimit = steadyNow(); // A wait would hold up the events of the current runner.
    else if (this->writer.isResponseStarted())
        pauseLimit = std::min(this->context.deadline, steadyNow() + MaxPauseInStream);
    for (;;) {
        const RunnerCriteria criteria{this->context.service,
                                      this->gateway.settings.domain,
                                      this->context.metadata.size,
                                      &this->triedRunners,
                                      MemoryLimit,
                                      GenerationCrossDomainSeconds};
        if (const auto nextSend = this->gateway.runners.nextSendToPaused(criteria, steadyNow())) {
            if (this->isAbandoned || !co_await this->gateway.waitForPausedRunner(*nextSend, pauseLimit))
                co_return nullptr;
            continue;
        }
        const bool isLocalChoice = !this->context.metadata.size || this->context.engine() == nullptr;
        std::optional<PlacementResult> placement;
        if (!isLocalChoice) {
            FleetPlacementRequest placementRequest{{},
                                                   this->context.service,
                                                   this->gateway.settings.domain,
                                                   *this->context.metadata.size,
                                                   criteria.memoryLimit,
                                                   criteria.crossDomainSeconds,
                                                   {this->triedRunners.begin(), this->triedRunners.end()},
                                                   this->context.accountPriority.value_or(route.priority),
                                                   route.priority,
                                                   steadyNow() - this->context.arrived};
            std::ranges::move(this->gateway.runners.pausedIds(this->context.service, steadyNow()),
                              std::back_inserter(placementRequest.excluded));
            placement = co_await this->gateway.fleetScheduler->place(std::move(placementRequest));
        }
        RunnerPool::RunnerPointer runner =
                placement ? this->gateway.runners.find(placement->runnerId) : nullptr;
        if (runner && this->gateway.runners.acceptsMoves(*runner, steadyNow()) &&
            !this->gateway.runners.nextSend(*runner, steadyNow()))
            co_return runner;
        bool isFull = placement && placement->runnerId.empty();
        if (!isFull) {
            auto placed = this->gateway.runners.choose(criteria, this->context.engine(), steadyNow(),
                                                       this->gateway.random);
            if (const auto *chosen = std::get_if<RunnerPool::RunnerPointer>(&placed))
                co_return *chosen;
            const NoRunner::Reason reason = std::get<NoRunner>(placed).reason;
            if (reason == NoRunner::Reason::AllPaused)
                continue;
            isFull = reason == NoRunner::Reason::AllFull;
        }
        const Duration remaining = placementDeadline - steadyNow();
        if (!isFull || remaining <= Duration::zero() || this->isAbandoned)
            co_return nullptr;
        // No generation that ends would make one of them usable.
        if (this->gateway.runners.areAllLeaving(this->context.service))
            co_return nullptr;
        // The coordinator has already waited before it responded.
        if (!placement)
            co_await this->gateway.waitForCapacity(std::min(remaining, PlacementRetryDelay));
    }
}

asio::awaitable<void> StreamSession::run()
{
    const auto self = this->shared_from_this();
    this->gateway.retryBudget.countRequest(this->context.service, this->context.arrived);
    std::optional<Destination> next;
    for (;;) {
        if (!next) {
            if (this->isQuarantined()) {
                co_await this->sendErrorFor(this->retryController.stepWithoutRunner(steadyNow()),
                                            "quarantined");
                co_return;
            }
            RunnerPool::RunnerPointer runner = co_await this->place();
            if (this->isAbandoned) {
                this->recordEnd(499, "caller-gone");
                co_return;
            }
            if (!runner) {
                const RunnerCriteria criteria{this->context.service, this->gateway.settings.domain,
                                              std::nullopt, &this->triedRunners};
                const bool isPaused =
                        this->gateway.runners.nextSendToPaused(criteria, steadyNow()).has_value();
                co_await this->sendErrorFor(this->retryController.stepWithoutRunner(steadyNow()),
                                            isPaused ? "runners-paused" : "no-runner");
                co_return;
            }
            next = Destination{runner, {}, "placed"};
        }
        this->current = *next;
        next.reset();
        const TimePoint sentAt = steadyNow();
        RelayResult result = co_await this->relay();
        const bool isHealthy = result.relayOutcome == RelayOutcome::Complete ||
                               result.relayOutcome == RelayOutcome::CallerDisconnected ||
                               result.relayOutcome == RelayOutcome::Stopped ||
                               this->current.runner->entry.isExpectedToLeave() || this->copy.has_value() ||
                               this->isCopying;
        // A runner that asks for a pause is sound.
        const bool isRefusedForPause = isCertainlyNotRun(result.outcome) &&
                                       this->gateway.runners.isPaused(*this->current.runner, steadyNow());
        if (!isRefusedForPause && result.relayOutcome != RelayOutcome::Withheld)
            RunnerPool::recordSend(*this->current.runner, isHealthy ? SendHealth::Good : SendHealth::Failed,
                                   steadyNow() - sentAt, steadyNow());
        this->retryController.recordOutcome(result.outcome);
        if (result.relayOutcome == RelayOutcome::Complete) {
            if (!this->isUnframed)
                this->gateway.recordCompletion(this->fingerprint(), this->context.metadata.id);
            this->recordEnd(200, "complete");
            co_return;
        }
        if (result.relayOutcome == RelayOutcome::CallerDisconnected || this->isAbandoned) {
            this->recordEnd(499, "caller-gone");
            this->writer.abort();
            co_return;
        }
        const bool canContinue =
                ++this->continuationCount <= MaxContinuations && this->remainingTime() > Duration::zero();
        if (canContinue)
            next = co_await this->planContinuation(result, this->current);
        if (this->isAbandoned) {
            this->recordEnd(499, "caller-gone");
            this->writer.abort();
            co_return;
        }
        if (next) {
            logInfo("generation-continues", {{"request", this->context.metadata.id},
                                             {"from", this->current.runner->entry.id},
                                             {"to", next->runner->entry.id},
                                             {"cause", std::string(result.cause)},
                                             {"way", std::string(next->method)},
                                             {"events", std::to_string(this->splitter.eventCount())}});
            continue;
        }
        if (this->writer.isResponseStarted()) {
            const bool isComplete = co_await this->isDoubtfulEndComplete();
            if (isComplete && co_await this->completeResponse() == RelayOutcome::Complete) {
                this->lastRunnerId = this->doubtfulEnd->runnerId;
                this->recordEnd(200, "complete");
                co_return;
            }
            this->recordEnd(0, this->failureCause(result.cause));
            this->writer.abort();
            co_return;
        }
        const NextStep step = this->retryController.nextStep(result.outcome, steadyNow(), [&] {
            return canContinue && this->mayRepeatAfterLoss() &&
                   this->gateway.retryBudget.tryAcquireRetry(this->context.service, steadyNow());
        });
        if (step == NextStep::Retry) {
            this->gateway.metrics.retries.Increment();
            logInfo("request-repeated", {{"request", this->context.metadata.id},
                                         {"runner", this->current.runner->entry.id},
                                         {"cause", std::string(result.cause)}});
            continue;
        }
        if (step == NextStep::Deliver && result.response) {
            this->recordEnd(result.response->result_int(), result.cause);
            co_await this->writer.send(std::move(*result.response));
            co_return;
        }
        co_await this->sendErrorFor(step, result.cause);
        co_return;
    }
}

asio::awaitable<StreamSession::RelayResult> StreamSession::relay()
{
    this->requestedSwitch.reset();
    auto opened = co_await this->open(this->current, nullptr);
    auto *stream = std::get_if<RunnerStream>(&opened);
    RelayResult result;
    if (stream == nullptr) {
        result = std::move(std::get<RelayResult>(opened));
    } else {
        this->adopt(*stream);
        result = co_await this->forwardEvents(*stream);
        const RunnerPool::RunnerPointer lastRunner = this->load.runner();
        this->forwardedConnection.reset();
        this->load.release();
        // Without a first event the backup is empty.
        if (!this->runFirstEventAt)
            this->backup.release();
        if (result.relayOutcome != RelayOutcome::Complete) {
            this->splitter.discardPartialEvent();
            this->eventBuffer.resize(0);
            boost::system::error_code ignored;
            stream->connection->stream.socket().close(ignored);
            this->endRun(lastRunner, nullptr, this->runSentAt, std::exchange(this->runEndMeans, {}));
        }
    }
    this->activeConnection.reset();
    this->gateway.notifyCapacityFreed();
    if (result.relayOutcome == RelayOutcome::Stalled)
        this->gateway.connections.dropIdle(this->current.runner->entry.address);
    co_return result;
}

asio::awaitable<Result<StreamSession::RunnerStream, StreamSession::RelayResult>>
StreamSession::open(Destination destination, RunnerConnectionPointer previous)
{
    const RunnerPool::Runner &runner = *destination.runner;
    const bool isContinuation = !destination.continueFrom.empty();
    RunnerStream stream;
    const RelayResult paused{RelayOutcome::Withheld, SendOutcome::NotConnected, "runner-paused",
                             std::nullopt};
    if (!co_await this->waitForPause(destination, previous))
        co_return paused;
    this->gateway.runners.countSendAfterPause(runner, steadyNow());
    stream.load = RunnerLoadReservation(destination.runner, this->expectedLoad());
    stream.backup = this->chooseBackup(runner);
    stream.connection = co_await this->gateway.connections.acquire(
            runner.entry.address, std::min(ConnectTimeout, this->remainingTime()));
    this->lastRunnerId = runner.entry.id;
    if (!stream.connection || this->isAbandoned)
        co_return RelayResult{RelayOutcome::Refused, SendOutcome::NotConnected, "not-connected",
                              std::nullopt};
    if (this->remainingTime() <= Duration::zero())
        co_return RelayResult{RelayOutcome::Withheld, SendOutcome::NotConnected, "no-time-left",
                              std::nullopt};
    if (this->gateway.runners.hasStatedLeaving(runner.entry) && !destination.isStoppedSource)
        co_return RelayResult{RelayOutcome::Withheld, SendOutcome::NotConnected, "runner-leaving",
                              std::nullopt};
    if (stream.backup.runner() && this->gateway.runners.hasStatedLeaving(stream.backup.runner()->entry))
        stream.backup.release();
    // The pause may have begun while the connection was established.
    if (this->gateway.runners.isPaused(runner, steadyNow()))
        co_return paused;
    if (this->isQuarantined())
        co_return RelayResult{RelayOutcome::Withheld, SendOutcome::NotConnected, "quarantined", std::nullopt};
    ++this->sendCount;
    this->isCopyInTransit = this->mayBeInTransit(destination);
    stream.sentAt = steadyNow();
    if (!this->firstSentAt)
        this->firstSentAt = stream.sentAt;
    this->activeConnection = stream.connection;
    AttemptHeaders attempt;
    attempt.priority = RunnerPriority;
    if (stream.backup.runner())
        attempt.backupAddress = stream.backup.runner()->entry.address;
    attempt.continueFrom = destination.continueFrom;
    if (this->splitter.lastId())
        attempt.lastEventId = *this->splitter.lastId();
    else if (this->context.metadata.lastEventId)
        attempt.lastEventId = *this->context.metadata.lastEventId;
    const RunnerRequest request = this->makeRunnerRequest(runner, attempt);
    // A handler that was queued before its timer is destroyed still runs.
    const auto isWaiting = std::make_shared<bool>(true);
    asio::steady_timer overlapTimer(this->gateway.io, MaxRunnerOverlap);
    if (previous) {
        overlapTimer.async_wait([previous, next = stream.connection, source = this->load.runner(),
                                 isWaiting](const boost::system::error_code &timerError) {
            if (timerError || !*isWaiting)
                return;
            boost::system::error_code ignored;
            // Health checks alone may be wrong about a runner that goes on.
            const bool stays = !source->entry.isLeaving && previous->hasUnreadBytes();
            (stays ? next : previous)->stream.socket().close(ignored);
        });
    }
    stream.connection->stream.expires_after(std::max(this->remainingTime(), Duration{1}));
    co_await writeRequest(*stream.connection, request);
    std::optional<RelayResult> failure = co_await this->receiveHeader(stream, isContinuation);
    *isWaiting = false;
    if (failure) {
        boost::system::error_code ignored;
        stream.connection->stream.socket().close(ignored);
        if (failure->outcome == SendOutcome::Unknown)
            this->endRun(destination.runner, nullptr, stream.sentAt);
        co_return std::move(*failure);
    }
    co_return std::move(stream);
}

asio::awaitable<bool> StreamSession::waitForPause(Destination destination, RunnerConnectionPointer previous)
{
    const TimePoint limit = std::min(this->context.deadline, steadyNow() + MaxPauseInStream);
    // Only the runner that holds the copy can continue the stream after its own has stopped.
    const bool mayWait =
            !destination.continueFrom.empty() && (!previous || !previous->stream.socket().is_open());
    for (;;) {
        const auto nextSend = this->gateway.runners.nextSend(*destination.runner, steadyNow());
        if (!nextSend)
            co_return true;
        if (!mayWait || this->isAbandoned || *nextSend > limit)
            co_return false;
        co_await this->gateway.waitForPausedRunner(*nextSend, limit);
    }
}

asio::awaitable<std::optional<StreamSession::RelayResult>> StreamSession::receiveHeader(RunnerStream &stream,
                                                                                        bool isContinuation)
{
    boost::system::error_code error;
    const Route &route = *this->context.route;
    // Once the response has begun, a runner that is given up leaves the caller without its end.
    const bool canGiveUp = route.isResumable && !this->writer.isResponseStarted();
    const Duration headerTimeout =
            firstEventTimeout(canGiveUp, route.latencyObjective, this->remainingTime());
    stream.connection->stream.expires_after(std::max(headerTimeout, Duration{1}));
    int interimCount = 0;
    int strayCount = 0;
    for (bool isFinal = false; !isFinal;) {
        if (interimCount > MaxInterimResponses)
            co_return RelayResult{RelayOutcome::Broken, SendOutcome::Unknown, "interim-answers",
                                  std::nullopt};
        stream.parser = std::make_unique<Parser>();
        stream.parser->body_limit(boost::none);
        co_await http::async_read_header(stream.connection->stream, stream.connection->buffer, *stream.parser,
                                         asio::redirect_error(asio::use_awaitable, error));
        if (error)
            this->recordFailedReceive(stream.load.runner()->entry, error, RunStage::Unanswered);
        if (error == beast::error::timeout)
            co_return RelayResult{RelayOutcome::Stalled, SendOutcome::Unknown, "runner-silent", std::nullopt};
        if (error)
            co_return RelayResult{RelayOutcome::Broken, SendOutcome::Unknown, "runner-broke-off",
                                  std::nullopt};
        if (this->hasInvalidStatus(stream.parser->get(), stream.load.runner()->entry))
            co_return RelayResult{RelayOutcome::Broken, SendOutcome::Unknown, "invalid-status", std::nullopt};
        stream.metadata = this->gateway.format.decodeResponse(stream.parser->get());
        this->gateway.recordAnswer(stream.load.runner()->entry, stream.parser->get().result_int(),
                                   stream.metadata, this->context.metadata.id);
        if (isInterim(stream.parser->get())) {
            ++interimCount;
        } else if (this->isStray(stream.metadata, *stream.connection, *stream.load.runner())) {
            logWarning("stray-answer",
                       {{"request", this->context.metadata.id}, {"belongs_to", stream.metadata.requestId}});
            const bool isSkipped = ++strayCount <= MaxStrayResponses &&
                                   co_await readBody(*stream.connection, *stream.parser);
            if (!isSkipped)
                co_return RelayResult{RelayOutcome::Broken, SendOutcome::Unknown, "stray-answer",
                                      std::nullopt};
        } else {
            this->gateway.recordPause(*stream.load.runner(), stream.metadata, this->context.metadata.id);
            bool &namesRequests = stream.load.runner()->namesRequests;
            namesRequests = namesRequests || !stream.metadata.requestId.empty();
            isFinal = true;
        }
    }
    const ResponseHeader &header = stream.parser->get().base();
    const unsigned status = header.result_int();
    if (status < 200 || status >= 300)
        co_return co_await this->receiveErrorResponse(stream.connection, *stream.parser);
    const bool isUntrusted = header.find(http::field::content_encoding) != header.end() ||
                             (!stream.metadata.isSealed && !isContinuation);
    if (isUntrusted)
        co_return RelayResult{RelayOutcome::Broken, SendOutcome::Unknown, "answer-not-from-runner",
                              std::nullopt};
    // Other successes have no stream: an empty one would look like the end of the response.
    if (this->writer.isResponseStarted() && header.result() != http::status::ok)
        co_return RelayResult{RelayOutcome::Broken, SendOutcome::Unknown, "continuation-without-stream",
                              std::nullopt};
    co_return std::nullopt;
}

void StreamSession::adopt(RunnerStream &stream)
{
    this->load = std::move(stream.load);
    this->backup = std::move(stream.backup);
    this->runFirstEventAt.reset();
    this->arePartsServed = false;
    this->calledRunner.reset();
    this->runSentAt = stream.sentAt;
    this->lastEventAwaitedAt = stream.sentAt;
    this->stoppedSource.reset();
    this->requestedSwitch.reset();
    this->activeConnection = stream.connection;
    this->forwardedConnection = stream.connection;
    this->isStallWatched = false;
    if (this->splitter.eventCount() > 0)
        this->splitter.beginContinuation();
    if (this->backup.runner() || this->context.route->isResumable)
        this->startStallWatch();
}

asio::awaitable<std::optional<std::string>> StreamSession::readBody(RunnerConnection &connection,
                                                                    Parser &parser)
{
    std::string body;
    SharedBuffer buffered(this->gateway.bufferedResponseBytes, MaxBufferedResponseBytes);
    std::array<char, ReadBufferBytes> bytes{};
    boost::system::error_code error;
    while (!parser.is_done() && !error && body.size() < MaxErrorResponseBytes) {
        parser.get().body().data = bytes.data();
        parser.get().body().size = bytes.size();
        parser.get().body().more = true;
        co_await http::async_read_some(connection.stream, connection.buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, error));
        if (error == http::error::need_buffer)
            error = {};
        body.append(bytes.data(), bytes.size() - parser.get().body().size);
        if (!buffered.resize(body.size()))
            co_return std::nullopt;
    }
    if (error || !parser.is_done() || !connection.isEndReliable(parser))
        co_return std::nullopt;
    co_return body;
}

asio::awaitable<StreamSession::RelayResult>
StreamSession::receiveErrorResponse(const RunnerConnectionPointer &connection, Parser &parser)
{
    const ResponseMetadata responseMetadata = this->gateway.format.decodeResponse(parser.get());
    const unsigned status = parser.get().result_int();
    const bool isOwn = this->isOwnRefusal(responseMetadata, *connection);
    if (status == 421 && isOwn)
        co_return RelayResult{RelayOutcome::Refused, SendOutcome::WrongRunner, "other-runner", std::nullopt};
    if (responseMetadata.isNotRun && isOwn)
        co_return RelayResult{RelayOutcome::Refused, SendOutcome::RefusedByRunner, "refused-by-runner",
                              std::nullopt};
    std::optional<std::string> body = co_await readBody(*connection, parser);
    const bool requiresNotRunHeader = status == 503 || status == 429 || status == 421 || status == 408;
    if (!body || requiresNotRunHeader)
        co_return RelayResult{RelayOutcome::Refused, SendOutcome::Unknown, "refusal-without-promise",
                              std::nullopt};
    HttpResponse response(ResponseHeader(parser.get().base()));
    for (const auto name : {"Connection", "Keep-Alive", "Transfer-Encoding"})
        response.erase(name);
    response.body() = std::move(*body);
    response.prepare_payload();
    co_return RelayResult{RelayOutcome::Refused, status >= 500 ? SendOutcome::Failed : SendOutcome::Answered,
                          "runner-status", std::move(response)};
}

asio::awaitable<StreamSession::RelayResult> StreamSession::forwardEvents(RunnerStream &stream)
{
    const RelayResult callerDisconnected{RelayOutcome::CallerDisconnected, SendOutcome::Unknown,
                                         "caller-gone", std::nullopt};
    if (!this->writer.isResponseStarted()) {
        ResponseHeader header = stream.parser->get().base();
        for (const auto name : {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length"})
            header.erase(name);
        const bool isSent = co_await this->writer.beginStream(std::move(header));
        if (!isSent)
            co_return callerDisconnected;
    }
    std::array<char, ReadBufferBytes> bytes{};
    while (!stream.parser->is_done()) {
        if (this->isAbandoned)
            co_return callerDisconnected;
        if (this->requestedSwitch) {
            std::optional<RelayResult> failure = co_await this->switchRunner(stream);
            if (failure)
                co_return std::move(*failure);
            continue;
        }
        Parser &parser = *stream.parser;
        boost::system::error_code error;
        parser.get().body().data = bytes.data();
        parser.get().body().size = bytes.size();
        parser.get().body().more = true;
        stream.connection->stream.expires_after(std::max(this->remainingTime(), Duration{1}));
        std::optional<TimePoint> awaitedAt;
        if (!this->stopCalls.isEmpty() && stream.connection->buffer.size() == 0 &&
            !stream.connection->hasUnreadBytes())
            awaitedAt = steadyNow();
        co_await http::async_read_some(stream.connection->stream, stream.connection->buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, error));
        // requestSwitch() cancels the read; the connection stays usable.
        const bool isCancelled = error == asio::error::operation_aborted && this->requestedSwitch;
        if (error == http::error::need_buffer || isCancelled)
            error = {};
        if (!error && parser.is_done() && !stream.connection->isEndReliable(parser))
            error = asio::error::connection_reset;
        const std::string_view received(bytes.data(), bytes.size() - parser.get().body().size);
        const uint64_t previousCount = this->splitter.eventCount();
        const std::string_view events = this->splitter.feed(received);
        if (this->splitter.hasPartialEvent())
            this->doubtfulEnd.reset();
        if (this->context.route->isResumable && !received.empty())
            this->stallDetector.recordProgress(steadyNow());
        if (!events.empty()) {
            this->recordEvents(previousCount);
            this->lastEventAwaitedAt = awaitedAt.value_or(this->lastEventAwaitedAt);
            const bool isSent = co_await this->writer.sendChunk(events);
            if (!isSent || this->isAbandoned)
                co_return callerDisconnected;
        }
        if (error)
            this->recordFailedReceive(this->load.runner()->entry, error, this->runStage());
        if (error == beast::error::timeout)
            co_return RelayResult{RelayOutcome::Stalled, SendOutcome::Unknown, "runner-silent", std::nullopt};
        if (error)
            co_return RelayResult{RelayOutcome::Broken, SendOutcome::Unknown, "runner-broke-off",
                                  std::nullopt};
        if (this->splitter.hasForeignEvent()) {
            // A runner in trouble may end before it breaks off.
            this->recordLostRun(this->load.runner()->entry, this->runStage());
            co_return RelayResult{RelayOutcome::Broken, SendOutcome::Unknown, "foreign-event", std::nullopt};
        }
        const bool fitsMemory = this->eventBuffer.resize(this->splitter.pendingBytes());
        if (this->splitter.isTooLarge() || !fitsMemory)
            co_return RelayResult{RelayOutcome::Broken, SendOutcome::Unknown, "event-too-large",
                                  std::nullopt};
        if (this->remainingTime() <= Duration::zero())
            co_return RelayResult{RelayOutcome::Stalled, SendOutcome::Unknown, "runner-stalled",
                                  std::nullopt};
        if (this->isTrickling())
            this->requestSwitch(SwitchReason::Stall);
    }
    this->forwardedConnection.reset();
    const RunEnd end = co_await this->judgeRunEnd(stream);
    if (end == RunEnd::CutShort)
        co_return RelayResult{RelayOutcome::Broken, SendOutcome::Unknown, "event-cut-short", std::nullopt};
    if (end != RunEnd::Complete)
        co_return RelayResult{RelayOutcome::Stopped, SendOutcome::Unknown, "run-stopped", std::nullopt};
    const RelayOutcome outcome = co_await this->completeResponse();
    ResponseMetadata metadata = stream.metadata;
    metadata.isClosing = metadata.isClosing || this->isUnframed || !stream.parser->keep_alive();
    if (outcome == RelayOutcome::Complete)
        this->releaseConnection(stream.connection, metadata, *this->load.runner());
    co_return RelayResult{outcome, SendOutcome::Answered, "complete", std::nullopt};
}

void StreamSession::recordEvents(uint64_t previousCount)
{
    const TimePoint now = steadyNow();
    this->doubtfulEnd.reset();
    if (!this->runFirstEventAt)
        this->runFirstEventAt = now;
    if (this->load.runner() && this->load.runner()->entry.isExpectedToLeave())
        this->handleRunnerLeaving(this->load.runner()->stopForecast(now));
    if (previousCount == 0) {
        this->firstEventAt = now;
        this->load.endPrefill();
        this->gateway.metrics.firstEventSeconds.Observe(toSeconds(now - this->context.arrived));
    } else if (this->lastEventAt) {
        this->longestPause = std::max<Duration>(this->longestPause, now - *this->lastEventAt);
        this->gateway.metrics.pauseSeconds.Observe(toSeconds(now - *this->lastEventAt));
    }
    this->lastEventAt = now;
    if (this->runStage() == RunStage::Running)
        this->recordServedParts();
    this->stallDetector.recordProgress(now);
    this->load.setMemory(this->expectedMemory());
}

} // namespace eelgrasslift
