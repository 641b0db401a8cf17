#include "gateway/requestcontext.h"

#include "gateway/clock.h"
#include "gateway/httpservice.h"

#include <algorithm>
#include <iterator>

namespace eelgrasslift {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// A caller that comes back after this time meets a fleet of which a lost runner was replaced or taken off.
constexpr std::string_view RetryAfterSeconds = "0.6";

} // namespace

void RequestSession::abandon()
{
    this->isAbandoned = true;
    if (!this->active)
        return;
    boost::system::error_code ignored;
    this->active->stream.socket().close(ignored);
}

Duration RequestSession::remainingTime() const
{
    return this->context.deadline - steadyNow();
}

HttpRequest RequestSession::requestFor(const RunnerPool::Runner &runner, const AttemptHeaders &extra) const
{
    HttpRequest request = this->context.request;
    AttemptHeaders attempt = extra;
    attempt.remainingTime = this->remainingTime();
    attempt.runnerId = runner.entry.id;
    attempt.account = this->context.account;
    this->gateway.format.encodeAttempt(request, attempt);
    request.keep_alive(true);
    request.prepare_payload();
    return request;
}

asio::awaitable<void> RequestSession::refuse(unsigned status, std::string_view cause)
{
    this->logEnd(status, cause);
    if (this->isAbandoned)
        co_return;
    HttpResponse response = makeResponse(status, R"({"error":")" + std::string(cause) + "\"}");
    if (status == 503)
        response.set(http::field::retry_after, {RetryAfterSeconds.data(), RetryAfterSeconds.size()});
    co_await this->caller.send(std::move(response));
}

asio::awaitable<void> RequestSession::finish(NextStep step, std::string_view cause)
{
    switch (step) {
    case NextStep::RefuseNotRun:
        co_await this->refuse(503, cause);
        break;
    case NextStep::FailTimeout:
        co_await this->refuse(504, cause);
        break;
    default:
        co_await this->refuse(502, cause);
        break;
    }
}

void RequestSession::logEnd(unsigned status, std::string_view cause)
{
    const TimePoint now = steadyNow();
    this->gateway.metrics.countRequest(this->context.route->name, status);
    std::vector<LogField> fields{{"request", this->context.caller.id},
                                 {"route", this->context.route->name},
                                 {"status", std::to_string(status)},
                                 {"cause", std::string(cause)},
                                 {"runner", this->lastRunner},
                                 {"sends", std::to_string(this->sends)},
                                 {"config", std::to_string(this->context.table->version())},
                                 {"ms", std::to_string(toMilliseconds(now - this->context.arrived))}};
    std::ranges::move(this->endDetails(), std::back_inserter(fields));
    logInfo("request-ended", fields);
}

} // namespace eelgrasslift
