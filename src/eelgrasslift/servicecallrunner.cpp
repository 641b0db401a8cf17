#include "eelgrasslift/servicecallrunner.h"

#include "eelgrasslift/asyncbridge.h"
#include "eelgrasslift/httpclient.h"
#include "eelgrasslift/logging.h"
#include "eelgrasslift/responsestatus.h"
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
constexpr size_t MaxResponseBytes = size_t{8} * 1024 * 1024;

HttpRequest toHttpRequest(const ServiceRequest &request, const Endpoint &endpoint)
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
    this->selfReference = this->shared_from_this();
    this->context.state.requestStarted();
    this->context.state.recordFirstAttempt(this->request.service);
    this->execute(this->call.start(currentInstant()));
}

void ServiceCallRunner::callerDisconnected()
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
                state.handleDirectoryEvent(ConnectionFailed{target});
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
            state.handleDirectoryEvent(ConnectionFailed{target});
        });
        co_return RequestNotSent{attempt.number, {}};
    }
    // The request may run once a byte of it is sent, so the control thread must first confirm that the
    // attempt is still current.
    const auto beginSend = [self, number = attempt.number, sendBy] {
        return self->beginSend(number, sendBy);
    };
    const bool maySend = co_await runOnControlThread(this->context.control, beginSend);
    if (!maySend)
        co_return RequestNotSent{attempt.number, {}};

    // ServiceCall's own timeout ends the call; this one only closes a connection that hangs.
    stream.expires_after(this->timeout * 2);
    boost::system::error_code error;
    HttpRequest message = toHttpRequest(this->request, attempt.placed.endpoint);
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
    beast::flat_buffer buffer{MaxParseBufferBytes};
    http::response_parser<http::string_body> parser;
    parser.body_limit(MaxResponseBytes);
    if (!error)
        co_await http::async_read_header(stream, buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, error));
    // The body of an invalid response may never end.
    if (!error && statusClass(parser.get().result_int()) == StatusClass::Invalid)
        co_return SendInterrupted{attempt.number, {}};
    if (!error)
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return SendInterrupted{attempt.number, {}};
    const HttpResponse response = parser.release();
    const bool isLeaving = response.find("X-Leaving") != response.end();
    if (isLeaving)
        this->context.control.post([&state = this->context.state, target = attempt.placed.target] {
            state.handleDirectoryEvent(NewWorkRefused{target});
        });
    if (response.result_int() == 503 && (isLeaving || response.find("X-Not-Run") != response.end()))
        co_return TargetRefused{attempt.number, {}};
    co_return ResponseReceived{attempt.number,
                               ServiceResponse{response.result_int(),
                                               std::string(response[http::field::content_type]),
                                               response.body()}};
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
    const bool hasResponse = std::holds_alternative<ResponseReceived>(event);
    const bool isRefused = std::holds_alternative<TargetRefused>(event);
    const RunOutcome outcome = hasResponse ? RunOutcome::Completed
                               : isRefused ? RunOutcome::Refused
                                           : RunOutcome::Failed;
    this->context.state.placement().finishRun(attempt.placed.run, outcome, 0, currentInstant());
    if (!hasResponse)
        this->excludedTargets.push_back(attempt.placed.target);
    // A retry is only requested where the call may use it, since each permit is charged to the retry budget.
    if (auto *notSent = std::get_if<RequestNotSent>(&event))
        notSent->retry = this->requestRetry();
    if (auto *targetRefused = std::get_if<TargetRefused>(&event))
        targetRefused->retry = this->requestRetry();
    if (auto *interrupted = std::get_if<SendInterrupted>(&event);
        interrupted != nullptr && this->isIdempotent)
        interrupted->retry = this->requestRetry();
    this->handle(event);
}

void ServiceCallRunner::on(const AbortSend & /*action*/)
{
    // The exchange is not interrupted; its result is ignored.
    this->currentAttempt = 0;
}

void ServiceCallRunner::on(const ReplyToCaller &action)
{
    if (const ReplyCallback callback = std::exchange(this->reply, nullptr))
        callback(action);
}

void ServiceCallRunner::on(const ServiceFinished & /*action*/)
{
    this->selfReference.reset();
    this->context.state.requestFinished();
}

} // namespace eelgrasslift
