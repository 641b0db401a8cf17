#include "gateway/callsession.h"

#include "eelgrasslift/logging.h"
#include "gateway/clock.h"
#include "gateway/sharedbuffer.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

namespace eelgrasslift {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// A reachable runner accepts a connection within a few milliseconds. The retransmission of a lost SYN would
// take a second.
constexpr Duration ConnectTimeout = std::chrono::milliseconds{120};

// An attempt that may be retried gets this share of the remaining time, which leaves enough for another
// runner.
constexpr double AttemptTimeoutShare = 0.45;

// Penalty for a runner in another failure domain: the round trip and the risk of a partition. A runner in the
// same domain is preferred until its load costs as much.
constexpr double CallCrossDomainSeconds = 0.02;

// How long after its arrival a call may still wait for the end of a pause if all runners have asked for one.
// Another gateway, for which they do not pause, can serve the caller's next try sooner than a longer wait.
constexpr Duration MaxPauseWait = std::chrono::milliseconds{250};

// A call that has waited needs this much of its time for the runner.
constexpr Duration MinCallTime = std::chrono::milliseconds{30};

constexpr size_t MaxResponseBytes = size_t{16} << 20;

bool requiresNotRunHeader(unsigned status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

} // namespace

asio::awaitable<void> CallSession::run()
{
    const Route &route = *this->context.route;
    RetryController retryController(route.isIdempotent(), route.maxAttempts, this->context.deadline);
    this->gateway.retryBudget.countRequest(this->context.service, this->context.arrived);
    std::set<std::string> triedRunners;
    for (;;) {
        if (this->isQuarantined()) {
            co_await this->sendErrorFor(retryController.stepWithoutRunner(steadyNow()), "quarantined");
            co_return;
        }
        const RunnerCriteria criteria{
                this->context.service, this->gateway.settings.domain, std::nullopt, &triedRunners, 1.0,
                CallCrossDomainSeconds};
        auto placed = this->gateway.runners.choose(criteria, nullptr, steadyNow(), this->gateway.random);
        const auto *chosen = std::get_if<RunnerPool::RunnerPointer>(&placed);
        if (chosen == nullptr) {
            const auto &none = std::get<NoRunner>(placed);
            const bool isPaused = none.reason == NoRunner::Reason::AllPaused;
            const TimePoint limit = std::min<TimePoint>(this->context.arrived + MaxPauseWait,
                                                        this->context.deadline - MinCallTime);
            const bool hasWaited =
                    isPaused && co_await this->gateway.waitForPausedRunner(none.nextSend, limit);
            if (this->isAbandoned) {
                this->recordEnd(499, "caller-gone");
                co_return;
            }
            if (hasWaited)
                continue;
            co_await this->sendErrorFor(retryController.stepWithoutRunner(steadyNow()),
                                        isPaused ? "runners-paused" : "no-runner");
            co_return;
        }
        const RunnerPool::RunnerPointer runner = *chosen;
        triedRunners.insert(runner->entry.id);
        const RunnerLoadReservation reservation(runner, RunnerLoad{1, 0, 0});
        const TimePoint sentAt = steadyNow();
        const bool isLastAttempt = !route.isIdempotent() || this->sendCount + 1 >= route.maxAttempts;
        SendResult result = co_await this->send(*runner, isLastAttempt);
        if (this->isAbandoned) {
            this->recordEnd(499, "caller-gone");
            co_return;
        }
        const bool isHealthy =
                result.outcome == SendOutcome::Answered || result.outcome == SendOutcome::Failed;
        // A runner that asks for a pause is sound.
        if (isHealthy && !result.isUnframed)
            this->gateway.recordCompletion(this->fingerprint(), this->context.metadata.id);
        if (result.outcome == SendOutcome::Answered && result.response->result_int() < 300 &&
            !result.isUnframed)
            this->gateway.recordServedParts(this->promptParts(), this->context.metadata.id);
        if (!isCertainlyNotRun(result.outcome) || !this->gateway.runners.isPaused(*runner, steadyNow()))
            RunnerPool::recordSend(*runner, isHealthy ? SendHealth::Good : SendHealth::Failed,
                                   steadyNow() - sentAt, steadyNow());
        retryController.recordOutcome(result.outcome);
        const NextStep step = retryController.nextStep(result.outcome, steadyNow(), [&] {
            return this->remainingTime() > Duration::zero() && this->mayRepeatAfterLoss() &&
                   this->gateway.retryBudget.tryAcquireRetry(this->context.service, steadyNow());
        });
        if (step == NextStep::Retry) {
            this->gateway.metrics.retries.Increment();
            logInfo("request-repeated", {{"request", this->context.metadata.id},
                                         {"runner", runner->entry.id},
                                         {"cause", std::string(result.cause)}});
            continue;
        }
        if (step == NextStep::Deliver && result.response) {
            const unsigned status = result.response->result_int();
            this->gateway.metrics.callSeconds.Observe(toSeconds(steadyNow() - this->context.arrived));
            this->recordEnd(status, result.cause);
            co_await this->writer.send(std::move(*result.response));
            co_return;
        }
        co_await this->sendErrorFor(step, result.cause);
        co_return;
    }
}

asio::awaitable<CallSession::SendResult> CallSession::send(RunnerPool::Runner &runner, bool isLastAttempt)
{
    this->lastRunnerId = runner.entry.id;
    this->gateway.runners.countSendAfterPause(runner, steadyNow());
    // On a connection that has carried this request before, a late copy of its earlier refusal would look
    // like the response to this send.
    const bool needsNewConnection = !this->usedAddresses.insert(runner.entry.address).second;
    const Duration connectTimeout = std::min(ConnectTimeout, this->remainingTime());
    std::string address = runner.entry.address;
    RunnerConnectionPointer connection;
    if (needsNewConnection)
        connection = co_await this->gateway.connections.connect(std::move(address), connectTimeout);
    else
        connection = co_await this->gateway.connections.acquire(std::move(address), connectTimeout);
    if (!connection || this->isAbandoned)
        co_return SendResult{SendOutcome::NotConnected, std::nullopt, "not-connected"};
    const Duration remaining = this->remainingTime();
    if (remaining <= Duration::zero())
        co_return SendResult{SendOutcome::NotConnected, std::nullopt, "no-time-left"};
    if (this->gateway.runners.hasStatedLeaving(runner.entry))
        co_return SendResult{SendOutcome::NotConnected, std::nullopt, "runner-leaving"};
    // The pause may have begun while the connection was established.
    if (this->gateway.runners.isPaused(runner, steadyNow()))
        co_return SendResult{SendOutcome::NotConnected, std::nullopt, "runner-paused"};
    if (this->isQuarantined())
        co_return SendResult{SendOutcome::NotConnected, std::nullopt, "quarantined"};
    ++this->sendCount;
    this->activeConnection = connection;
    const RunnerRequest request = this->makeRunnerRequest(runner, {});
    const Duration attemptTimeout = std::max(
            isLastAttempt ? remaining : std::chrono::duration_cast<Duration>(remaining * AttemptTimeoutShare),
            Duration{1});
    const TimePoint attemptEnd = steadyNow() + attemptTimeout;
    connection->stream.expires_after(attemptTimeout);
    // A runner may respond to a request before it has read all of it, so its response is read even after a
    // failed write.
    co_await writeRequest(*connection, request);
    SendResult result = co_await this->receive(connection, runner, attemptEnd);
    this->activeConnection.reset();
    if (result.outcome == SendOutcome::Unknown)
        this->gateway.connections.dropIdle(runner.entry.address);
    co_return result;
}

asio::awaitable<CallSession::SendResult> CallSession::receive(const RunnerConnectionPointer &connection,
                                                              RunnerPool::Runner &runner,
                                                              TimePoint attemptEnd)
{
    for (int strayCount = 0; strayCount <= MaxStrayResponses; ++strayCount) {
        http::response_parser<http::string_body> parser;
        parser.body_limit(MaxResponseBytes);
        if (this->context.request.method() == http::verb::head)
            parser.skip(true);
        boost::system::error_code error;
        ResponseMetadata responseMetadata;
        bool isHeaderDecoded = false;
        SharedBuffer buffered(this->gateway.bufferedResponseBytes, MaxBufferedResponseBytes);
        while (!parser.is_done() && !error) {
            co_await http::async_read_some(connection->stream, connection->buffer, parser,
                                           asio::redirect_error(asio::use_awaitable, error));
            if (parser.is_header_done() && !isHeaderDecoded) {
                isHeaderDecoded = true;
                if (this->hasInvalidStatus(parser.get(), runner.entry))
                    co_return SendResult{SendOutcome::Unknown, std::nullopt, "invalid-status"};
                responseMetadata = this->gateway.format.decodeResponse(parser.get());
                this->gateway.recordAnswer(runner.entry, parser.get().result_int(), responseMetadata,
                                           this->context.metadata.id);
                if (!this->isStray(responseMetadata, *connection, runner))
                    this->gateway.recordPause(runner, responseMetadata, this->context.metadata.id);
            }
            // The timeout of the connection only ends a read that waits.
            if (!error && !parser.is_done() && steadyNow() >= attemptEnd)
                error = beast::error::timeout;
            if (!buffered.resize(parser.get().body().size()))
                co_return SendResult{SendOutcome::Unknown, std::nullopt, "answer-too-large"};
        }
        if (error) {
            this->recordFailedReceive(runner.entry, error,
                                      isHeaderDecoded ? RunStage::Beginning : RunStage::Unanswered);
            co_return SendResult{SendOutcome::Unknown, std::nullopt,
                                 error == beast::error::timeout ? "runner-silent" : "runner-broke-off"};
        }
        if (isInterim(parser.get()))
            continue;
        const bool isUnbounded = parser.need_eof();
        const bool isEndReliable = connection->isEndReliable(parser);
        responseMetadata.isClosing = responseMetadata.isClosing || isUnbounded || !parser.keep_alive();
        if (this->isStray(responseMetadata, *connection, runner)) {
            logWarning("stray-answer",
                       {{"request", this->context.metadata.id}, {"belongs_to", responseMetadata.requestId}});
            continue;
        }
        runner.namesRequests = runner.namesRequests || !responseMetadata.requestId.empty();
        const bool isOwnRefusal = this->isOwnRefusal(responseMetadata, *connection);
        this->releaseConnection(connection, responseMetadata, runner);
        SendResult result = classify(parser.release(), responseMetadata, isOwnRefusal);
        // The promise of a refusal is in its header, which is whole.
        if (!isEndReliable && !isCertainlyNotRun(result.outcome)) {
            this->recordFailedReceive(runner.entry, asio::error::connection_reset, RunStage::Beginning);
            co_return SendResult{SendOutcome::Unknown, std::nullopt, "runner-broke-off"};
        }
        result.isUnframed = isUnbounded;
        const bool isRun = result.outcome == SendOutcome::Answered || result.outcome == SendOutcome::Failed;
        if (isUnbounded && isRun)
            this->recordLostRun(runner.entry, RunStage::Beginning, RunLoss::EndedUnframed);
        co_return result;
    }
    co_return SendResult{SendOutcome::Unknown, std::nullopt, "stray-answers"};
}

CallSession::SendResult CallSession::classify(HttpResponse response, const ResponseMetadata &responseMetadata,
                                              bool isOwnRefusal)
{
    const unsigned status = response.result_int();
    if (status == 421 && isOwnRefusal)
        return {SendOutcome::WrongRunner, std::nullopt, "other-runner"};
    if (responseMetadata.isNotRun && isOwnRefusal)
        return {SendOutcome::RefusedByRunner, std::nullopt, "refused-by-runner"};
    const bool isSuccess = status >= 200 && status < 300;
    if (isSuccess &&
        (!responseMetadata.isSealed || response.find(http::field::content_encoding) != response.end()))
        return {SendOutcome::Unknown, std::nullopt, "answer-not-from-runner"};
    if (requiresNotRunHeader(status))
        return {SendOutcome::Unknown, std::nullopt, "refusal-without-promise"};
    for (const auto name : {"Connection", "Keep-Alive", "Transfer-Encoding"})
        response.erase(name);
    response.prepare_payload();
    return {status >= 500 ? SendOutcome::Failed : SendOutcome::Answered, std::move(response),
            isSuccess ? "answered" : "runner-status"};
}

} // namespace eelgrasslift
