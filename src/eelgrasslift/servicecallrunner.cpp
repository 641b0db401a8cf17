#include "eelgrasslift/servicecallrunner.h"

#include "eelgrasslift/asyncbridge.h"
#include "eelgrasslift/httpclient.h"
#include "eelgrasslift/logging.h"
#include "eelgrasslift/targetprobe.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace eelgrasslift {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr Duration ConnectTimeout = std::chrono::seconds{1};
constexpr size_t MaxAnswerBytes = size_t{8} * 1024 * 1024;

HttpRequest toHttp(const ServiceRequest &request, const Endpoint &endpoint)
{
    HttpRequest message = makeRequest(request.method, endpoint, request.target, request.body);
    if (!request.contentType.empty())
        message.set(http::field::content_type, request.contentType);
    message.set("X-Request-Id", request.requestId);
    if (!request.idempotencyKey.empty())
        message.set("Idempotency-Key", request.idempotencyKey);
    return message;
}

} // namespace

ServiceCallRunner::ServiceCallRunner(EntryContext &entryContext, ServiceRequest serviceRequest,
                                     ServiceCallSettings settings, std::optional<ServiceClaim> claim,
                                     ReplyCallback replyCallback)
    : context(entryContext)
    , request(std::move(serviceRequest))
    , call(settings, std::move(claim))
    , reply(std::move(replyCallback))
    , timeout(settings.timeout)
    , isIdempotent(settings.isIdempotent)
{}

void ServiceCallRunner::start()
{
    this->keepAlive = this->shared_from_this();
    this->context.state.requestStarted();
    this->context.state.recordFirstAttempt(this->request.service);
    this->execute(this->call.start(currentInstant()));
}

void ServiceCallRunner::callerGone()
{
    this->handle(ServiceCallerDisconnected{});
}

void ServiceCallRunner::handle(const ServiceCallEvent &event)
{
    if (!this->call.isFinished())
        this->execute(this->call.handle(event, currentInstant()));
}

void ServiceCallRunner::execute(const std::vector<ServiceAction> &actions)
{
    const auto self = this->shared_from_this();
    for (const ServiceAction &action : actions)
        std::visit([this](const auto &value) { this->on(value); }, action);
    this->schedule();
}

void ServiceCallRunner::schedule()
{
    this->timer.cancel();
    const auto next = this->call.isFinished() ? std::nullopt : this->call.nextTick();
    if (!next)
        return;
    this->timer =
            this->context.control.timers().subscribeAt(*next, [weak = this->weak_from_this()](TimePoint) {
                if (const auto self = weak.lock())
                    self->handle(ServiceTick{});
            });
}

template <typename Message>
void ServiceCallRunner::sendRecordMessage(const Message &message)
{
    this->context.state.records().send(
            message,
            [self = this->shared_from_this()](const ReplicaReplied &replied) { self->handle(replied); });
}

void ServiceCallRunner::on(const SendRequest &action)
{
    this->currentAttempt = action.attempt;
    if (action.delay <= Duration{0}) {
        this->place(action.attempt, action.sendBy);
        return;
    }
    this->delayTimer = this->context.control.timers().subscribeAt(
            monotonicNow() + action.delay, [self = this->shared_from_this(), action](TimePoint) {
                if (self->currentAttempt == action.attempt)
                    self->place(action.attempt, action.sendBy);
            });
}

void ServiceCallRunner::place(uint32_t attempt, TimePoint sendBy)
{
    const auto result = this->context.state.placement().placeService(
            this->request.service, this->request.account, this->excludedTargets, currentInstant());
    const auto *placed = std::get_if<Placed>(&result);
    if (placed == nullptr) {
        // Posted, because this function runs inside the execution of the call's actions.
        this->context.control.post([self = this->shared_from_this(), attempt] {
            self->handle(RequestNotSent{attempt, self->requestRetry()});
        });
        return;
    }
    asio::co_spawn(
            asio::make_strand(this->context.traffic),
            [self = this->shared_from_this(), attempt = Attempt{attempt, *placed}, sendBy] {
                return self->send(attempt, sendBy);
            },
            asio::detached);
}

RetryPermit ServiceCallRunner::requestRetry()
{
    return this->context.state.requestRetry(this->request.service, std::max(this->currentAttempt, 1U), true,
                                            TimePoint::max());
}

asio::awaitable<void> ServiceCallRunner::send(Attempt attempt, TimePoint sendBy)
{
    const auto self = this->shared_from_this();
    ServiceCallEvent event = co_await this->exchangeOnce(attempt, sendBy);
    if (std::holds_alternative<SendInterrupted>(event)) {
        const ProbeResult probe = co_await probeTarget(attempt.placed.endpoint);
        if (probe == ProbeResult::Refused)
            this->context.control.post([&state = this->context.state, target = attempt.placed.target] {
                state.handleDirectory(ConnectionFailed{target});
            });
    }
    this->context.control.post([self, attempt, event = std::move(event)]() mutable {
        self->attemptEnded(attempt, std::move(event));
    });
}

asio::awaitable<ServiceCallEvent> ServiceCallRunner::exchangeOnce(const Attempt &attempt, TimePoint sendBy)
{
    const auto self = this->shared_from_this();
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    if (!co_await connectTo(stream, attempt.placed.endpoint, ConnectTimeout)) {
        this->context.control.post([&state = this->context.state, target = attempt.placed.target] {
            state.handleDirectory(ConnectionFailed{target});
        });
        co_return RequestNotSent{attempt.number, {}};
    }
    // From here on the request may run: the control thread must agree that the attempt is still wanted.
    const auto beginSend = [self, number = attempt.number, sendBy] {
        return self->beginSend(number, sendBy);
    };
    const bool maySend = co_await onControl(this->context.control, beginSend);
    if (!maySend)
        co_return RequestNotSent{attempt.number, {}};

    // The call's own timeout answers the caller; this one only frees the connection.
    stream.expires_after(this->timeout * 2);
    boost::system::error_code error;
    HttpRequest message = toHttp(this->request, attempt.placed.endpoint);
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(MaxAnswerBytes);
    if (!error)
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return SendInterrupted{attempt.number, {}};
    const HttpResponse answer = parser.release();
    const bool isLeaving = answer.find("X-Leaving") != answer.end();
    if (isLeaving)
        this->context.control.post([&state = this->context.state, target = attempt.placed.target] {
            state.handleDirectory(NewWorkRefused{target});
        });
    if (answer.result_int() == 503 && (isLeaving || answer.find("X-Not-Run") != answer.end()))
        co_return TargetRefused{attempt.number, {}};
    co_return ResponseReceived{attempt.number, ServiceResponse{answer.result_int(),
                                                               std::string(answer[http::field::content_type]),
                                                               answer.body()}};
}

bool ServiceCallRunner::beginSend(uint32_t attempt, TimePoint sendBy)
{
    if (attempt != this->currentAttempt || monotonicNow() > sendBy)
        return false;
    this->handle(SendStarted{attempt});
    return attempt == this->currentAttempt;
}

void ServiceCallRunner::attemptEnded(const Attempt &attempt, ServiceCallEvent event)
{
    const bool hasAnswer = std::holds_alternative<ResponseReceived>(event);
    const bool isRefused = std::holds_alternative<TargetRefused>(event);
    const RunOutcome outcome = hasAnswer   ? RunOutcome::Completed
                               : isRefused ? RunOutcome::Refused
                                           : RunOutcome::Failed;
    this->context.state.placement().finishRun(attempt.placed.run, outcome, 0, currentInstant());
    if (!hasAnswer)
        this->excludedTargets.push_back(attempt.placed.target);
    // Permits are asked for only where the call may use them, so that the budget is not spent in vain.
    if (auto *refused = std::get_if<RequestNotSent>(&event))
        refused->retry = this->requestRetry();
    if (auto *targetRefused = std::get_if<TargetRefused>(&event))
        targetRefused->retry = this->requestRetry();
    if (auto *broken = std::get_if<SendInterrupted>(&event); broken != nullptr && this->isIdempotent)
        broken->retry = this->requestRetry();
    this->handle(event);
}

void ServiceCallRunner::on(const AbortSend & /*action*/)
{
    // The exchange ends by itself; its result no longer counts.
    this->currentAttempt = 0;
}

void ServiceCallRunner::on(const ReplyToCaller &action)
{
    if (const ReplyCallback callback = std::exchange(this->reply, nullptr))
        callback(action);
}

void ServiceCallRunner::on(const ServiceFinished & /*action*/)
{
    this->keepAlive.reset();
    this->context.state.requestFinished();
}

} // namespace eelgrasslift
