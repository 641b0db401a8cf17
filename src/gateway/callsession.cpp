#include "gateway/callsession.h"

#include "eelgrasslift/logging.h"
#include "gateway/clock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace eelgrasslift {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// A runner in reach answers the opening of a connection within some milliseconds; one second is lost if its
// machine has to send the opening again.
constexpr Duration ConnectTimeout = std::chrono::milliseconds{120};

// An idempotent call leaves its runner after this part of its time, while another one can still answer.
constexpr double FirstSendShare = 0.45;

// Crossing to another failure domain and back, and the risk that it is cut off: a call of the same domain is
// preferred until its runner is about as busy as this.
constexpr double CallCrossingSeconds = 0.02;

// Answers to earlier requests that a connection may carry before the one that is waited for.
constexpr int MaxStrayAnswers = 2;
constexpr size_t MaxAnswerBytes = size_t{16} << 20;

bool mustPromiseNotRun(unsigned status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

} // namespace

asio::awaitable<void> CallSession::run()
{
    const Route &route = *this->context.route;
    RetryController plan(route.isIdempotent(), route.maxAttempts, this->context.deadline);
    this->gateway.budget.countRequest(this->context.service, this->context.arrived);
    std::set<std::string> tried;
    for (;;) {
        const RunnerCriteria request{
                this->context.service, this->gateway.settings.domain, std::nullopt, &tried, 1.0,
                CallCrossingSeconds};
        auto placed = this->gateway.runners.choose(request, nullptr, steadyNow(), this->gateway.random);
        const auto *chosen = std::get_if<RunnerPool::RunnerPointer>(&placed);
        if (chosen == nullptr) {
            co_await this->finish(plan.stepWithoutRunner(steadyNow()), "no-runner");
            co_return;
        }
        const RunnerPool::RunnerPointer runner = *chosen;
        tried.insert(runner->entry.id);
        const LoadTicket ticket(runner, RunnerLoad{1, 0, 0});
        const TimePoint sentAt = steadyNow();
        const bool isLastChance = !route.isIdempotent() || this->sends + 1 >= route.maxAttempts;
        SendResult result = co_await this->send(*runner, isLastChance);
        if (this->isAbandoned) {
            this->logEnd(499, "caller-gone");
            co_return;
        }
        const bool isHealthy =
                result.outcome == SendOutcome::Answered || result.outcome == SendOutcome::Failed;
        RunnerPool::recordSend(*runner, isHealthy ? SendHealth::Good : SendHealth::Failed,
                               steadyNow() - sentAt, steadyNow());
        plan.recordOutcome(result.outcome);
        const NextStep step = plan.nextStep(result.outcome, steadyNow(), [&] {
            return this->gateway.budget.tryAcquireRetry(this->context.service, steadyNow());
        });
        if (step == NextStep::Retry) {
            this->gateway.metrics.repeats.Increment();
            logInfo("request-repeated", {{"request", this->context.caller.id},
                                         {"runner", runner->entry.id},
                                         {"cause", std::string(result.cause)}});
            continue;
        }
        if (step == NextStep::Deliver && result.response) {
            const unsigned status = result.response->result_int();
            this->gateway.metrics.callSeconds.Observe(toSeconds(steadyNow() - this->context.arrived));
            this->logEnd(status, result.cause);
            co_await this->caller.send(std::move(*result.response));
            co_return;
        }
        co_await this->finish(step, result.cause);
        co_return;
    }
}

asio::awaitable<CallSession::SendResult> CallSession::send(RunnerPool::Runner &runner, bool isLastChance)
{
    const TimePoint now = steadyNow();
    const Duration left = this->context.deadline - now;
    this->lastRunner = runner.entry.id;
    RunnerConnectionPointer connection =
            co_await this->gateway.connections.acquire(runner.entry.address, std::min(ConnectTimeout, left));
    if (!connection || this->isAbandoned)
        co_return SendResult{SendOutcome::NotConnected, std::nullopt, "not-connected"};
    ++this->sends;
    this->active = connection;
    HttpRequest request = this->requestFor(runner, {});
    boost::system::error_code error;
    const Duration patience =
            isLastChance ? left : std::chrono::duration_cast<Duration>(left * FirstSendShare);
    connection->stream.expires_after(std::max(patience, Duration{1}));
    co_await http::async_write(connection->stream, request, asio::redirect_error(asio::use_awaitable, error));
    // A runner may refuse before it has read everything, so its answer is read after a failed write as well.
    SendResult result = co_await this->receive(connection);
    this->active.reset();
    if (result.outcome == SendOutcome::Unknown)
        this->gateway.connections.dropIdle(runner.entry.address);
    co_return result;
}

asio::awaitable<CallSession::SendResult> CallSession::receive(const RunnerConnectionPointer &connection)
{
    for (int stray = 0; stray <= MaxStrayAnswers; ++stray) {
        http::response_parser<http::string_body> parser;
        parser.body_limit(MaxAnswerBytes);
        if (this->context.request.method() == http::verb::head)
            parser.skip(true);
        boost::system::error_code error;
        co_await http::async_read(connection->stream, connection->buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return SendResult{SendOutcome::Unknown, std::nullopt,
                                 error == beast::error::timeout ? "runner-silent" : "runner-broke-off"};
        const bool isUnbounded = parser.need_eof();
        ResponseMetadata answer = this->gateway.format.decodeResponse(parser.get());
        answer.isClosing = answer.isClosing || isUnbounded || !parser.keep_alive();
        if (answer.requestId != this->context.caller.id && !answer.requestId.empty()) {
            logWarning("stray-answer",
                       {{"request", this->context.caller.id}, {"belongs_to", answer.requestId}});
            continue;
        }
        this->gateway.connections.release(connection, answer);
        co_return this->judge(parser.release(), answer);
    }
    co_return SendResult{SendOutcome::Unknown, std::nullopt, "stray-answers"};
}

CallSession::SendResult CallSession::judge(HttpResponse response, const ResponseMetadata &answer) const
{
    const unsigned status = response.result_int();
    if (status == 421)
        return {SendOutcome::WrongRunner, std::nullopt, "other-runner"};
    if (answer.isNotRun)
        return {SendOutcome::RefusedByRunner, std::nullopt, "refused-by-runner"};
    const bool isSuccess = status >= 200 && status < 300;
    if (isSuccess && (!answer.isSealed || response.find(http::field::content_encoding) != response.end()))
        return {SendOutcome::Unknown, std::nullopt, "answer-not-from-runner"};
    if (mustPromiseNotRun(status))
        return {SendOutcome::Unknown, std::nullopt, "refusal-without-promise"};
    for (const auto name : {"Connection", "Keep-Alive", "Transfer-Encoding"})
        response.erase(name);
    response.prepare_payload();
    return {status >= 500 ? SendOutcome::Failed : SendOutcome::Answered, std::move(response),
            isSuccess ? "answered" : "runner-status"};
}

} // namespace eelgrasslift
