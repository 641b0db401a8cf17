#include "caller.h"

#include "content.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

namespace eelgrasslift::soak {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

// Five times the timeout of the routes: a longer silence is not due to a slow machine.
constexpr Duration ResponseLimit = 5 * RouteTimeout;
constexpr Duration ConnectLimit = std::chrono::seconds{1};
constexpr Duration RetryDelay = std::chrono::milliseconds{100};
constexpr double MeanThinkSeconds = 0.06;
constexpr double MeanRepeatSeconds = 0.3;
constexpr uint64_t MinEvents = 2;
constexpr uint64_t EventSpread = 30;
// One stream in this many lasts 5 s or more, which may exceed the rest of a grace period.
constexpr uint64_t LongStreamShare = 12;
constexpr uint64_t LongStreamEvents = 105;
constexpr uint64_t PromptTokens = 200;
constexpr uint64_t TokensPerEvent = 4;
// Sessions of each caller; their requests share the second part of the prompt.
constexpr uint64_t SessionCount = 5;

bool isStream(RequestKind kind)
{
    return kind != RequestKind::Safe && kind != RequestKind::Unsafe;
}

/// Statuses that promise that the request has not run.
bool isPromise(unsigned status)
{
    constexpr unsigned Promises[] = {408, 421, 429, 503};
    return std::ranges::find(Promises, status) != std::end(Promises);
}

/// Compares the start of a stream with what the runner sends. Returns what is wrong, or nothing.
std::optional<std::string> checkEvents(std::string_view body, const std::string &id, uint64_t count,
                                       bool isComplete)
{
    for (uint64_t number = 1; !body.empty(); ++number) {
        const std::string event = eventOf(id, number);
        if (number > count)
            return "bytes after the last event";
        const size_t size = std::min(event.size(), body.size());
        if (body.substr(0, size) != event.substr(0, size))
            return "event " + std::to_string(number) + " of " + std::to_string(count) + " is \"" +
                   std::string(body.substr(0, event.size())) + "\"";
        body.remove_prefix(size);
        if (isComplete && body.empty() && (size < event.size() || number < count))
            return "stream ended at event " + std::to_string(number) + " of " + std::to_string(count);
    }
    return std::nullopt;
}

} // namespace

Caller::Caller(asio::io_context &io, size_t callerNumber, uint64_t seed, Nodes &allNodes, Ledger &runLedger)
    : number(callerNumber)
    , random(hashOf("caller " + std::to_string(seed) + " " + std::to_string(callerNumber)))
    , nodes(allNodes)
    , ledger(runLedger)
    , stream(io)
    , gateway(callerNumber % allNodes.gatewayCount())
{}

asio::awaitable<void> Caller::run()
{
    while (!this->isStopping) {
        const bool isRepeating = !this->repeatedContent.empty() || !this->promptPart.empty();
        co_await sleepFor(
                fromSeconds(this->random.exponential(isRepeating ? MeanRepeatSeconds : MeanThinkSeconds)));
        if (isRepeating) {
            this->disconnect();
            this->gateway = this->random.below(this->nodes.gatewayCount());
        }
        this->checkConnection();
        if (!this->stream.socket().is_open() && !co_await this->connect()) {
            this->gateway = (this->gateway + 1) % this->nodes.gatewayCount();
            co_await sleepFor(RetryDelay);
            continue;
        }
        const Call call = this->nextCall();
        this->ledger.send(call.id, call.kind, this->life);
        const Outcome outcome = co_await this->send(call);
        this->ledger.finish(call.id, outcome);
        if (std::holds_alternative<Refusal>(outcome))
            co_await sleepFor(RetryDelay);
    }
    this->disconnect();
    this->ended = true;
}

Caller::Call Caller::nextCall()
{
    Call call;
    call.id = "c" + std::to_string(this->number) + "-" + std::to_string(++this->requestCount);
    if (!this->repeatedContent.empty()) {
        call.kind = AllKinds[this->number % std::size(AllKinds)];
        call.events = LongStreamEvents;
        call.content = this->repeatedContent;
        call.isCrashing = true;
        return call;
    }
    call.kind = AllKinds[this->random.below(std::size(AllKinds))];
    std::string part = "session-" + std::to_string(this->number % SessionCount);
    if (!this->promptPart.empty()) {
        while (!isStream(call.kind))
            call.kind = AllKinds[this->random.below(std::size(AllKinds))];
        part = this->promptPart;
        call.isCrashing = true;
    }
    // All requests share the first part.
    call.prompt = "system:100," + part + ":60," + call.id + ":40";
    call.events = MinEvents + this->random.below(EventSpread);
    if (this->random.below(LongStreamShare) == 0)
        call.events += LongStreamEvents;
    call.content = call.id;
    return call;
}

asio::awaitable<bool> Caller::connect()
{
    this->life = this->nodes.life(this->gateway);
    if (!this->life)
        co_return false;
    boost::system::error_code error;
    const Endpoint endpoint = this->nodes.callerEndpoint(this->gateway);
    this->stream.expires_after(ConnectLimit);
    co_await this->stream.async_connect(
            tcp::endpoint(asio::ip::make_address(endpoint.address), endpoint.port),
            asio::redirect_error(asio::use_awaitable, error));
    // The process may have been replaced while the connection was opened.
    if (error || this->life != this->nodes.life(this->gateway)) {
        this->disconnect();
        co_return false;
    }
    co_return true;
}

void Caller::disconnect()
{
    boost::system::error_code ignored;
    this->stream.socket().close(ignored);
    this->buffer.clear();
}

void Caller::checkConnection()
{
    if (!this->stream.socket().is_open())
        return;
    char byte = 0;
    const auto received =
            ::recv(this->stream.socket().native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    if (received > 0)
        this->ledger.log().recordBreach({}, "bytes without a request from " + this->life->name);
    if (received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
        this->disconnect();
}

Request Caller::makeRequest(const Call &call)
{
    constexpr unsigned Http11 = 11;
    const std::string kind(toString(call.kind));
    const std::string target = isStream(call.kind) ? "/events/" + kind + "/" + std::to_string(call.events)
                                                   : "/" + kind + "/" + call.content;
    Request request(http::verb::post, target, Http11);
    request.set(http::field::host, "soak.example");
    request.set("X-Attempt-Id", call.id);
    request.set("X-Request-Deadline", std::to_string(toMilliseconds(RouteTimeout)));
    if (call.kind == RequestKind::Generation) {
        const std::string tokens = std::to_string(call.events * TokensPerEvent);
        request.set("X-Model", "m");
        request.set("X-Token-Usage", std::to_string(PromptTokens) + "," + tokens);
        request.set("X-Length-Hint", tokens);
    }
    if (isStream(call.kind) && !call.prompt.empty())
        request.set("X-Prompt-Prefix", call.prompt);
    request.body() = call.content;
    request.prepare_payload();
    return request;
}

asio::awaitable<Outcome> Caller::send(const Call &call)
{
    boost::system::error_code error;
    const Request request = makeRequest(call);
    this->stream.expires_after(ResponseLimit);
    co_await http::async_write(this->stream, request, asio::redirect_error(asio::use_awaitable, error));
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    // A response may have arrived although the request could not be written in full.
    error = {};
    const Response &response = parser.get();
    while (!error && !parser.is_done()) {
        const bool isHeadKnown = parser.is_header_done();
        co_await http::async_read_some(this->stream, this->buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, error));
        if (!isHeadKnown && parser.is_header_done() && fieldOf(response, "Server-Leaving") == "1")
            this->ledger.noteLeaving(call.id, std::string(fieldOf(response, "X-Instance-Id")));
    }
    const bool isEventStream =
            isStream(call.kind) && parser.is_header_done() && response.result() == http::status::ok;
    if (isEventStream) {
        if (auto problem = checkEvents(response.body(), call.id, call.events, parser.is_done())) {
            this->disconnect();
            co_return WrongResponse{std::move(*problem)};
        }
    }
    if (error || !parser.keep_alive())
        this->disconnect();
    if (error == beast::error::timeout)
        co_return NoResponse{};
    if (error)
        co_return Cut{parser.is_header_done()};
    co_return judge(call, response);
}

Outcome Caller::judge(const Call &call, const Response &response)
{
    const unsigned status = response.result_int();
    const std::string_view id = fieldOf(response, "X-Attempt-Id");
    if (!id.empty() && id != call.id)
        return WrongResponse{"response of request " + std::string(id)};
    if (isPromise(status) && !call.isCrashing && response.body().find("quarantined") != std::string::npos)
        return WrongResponse{"refused for crashes, though it ends no runner"};
    if (isPromise(status))
        return Refusal{status};
    if (status != static_cast<unsigned>(http::status::ok))
        return FailureResponse{status};
    if (id.empty() || fieldOf(response, "X-Server-Seal") != sealOf(call.id))
        return WrongResponse{"success without the headers of the runner"};
    if (!isStream(call.kind) && response.body() != bodyOf(call.id))
        return WrongResponse{"body of " + std::to_string(response.body().size()) +
                             " bytes is not that of the runner"};
    if (isStream(call.kind) && response.body().empty())
        return WrongResponse{"stream ended before its first event"};
    return WholeResponse{};
}

} // namespace eelgrasslift::soak
