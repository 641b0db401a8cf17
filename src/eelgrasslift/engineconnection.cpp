#include "eelgrasslift/engineconnection.h"

#include "eelgrasslift/responsestatus.h"
#include "libcore/core.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <charconv>

namespace eelgrasslift {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr Duration ConnectTimeout = std::chrono::seconds{1};
constexpr Duration CancelTimeout = std::chrono::seconds{5};
constexpr size_t ReadBytes = size_t{16} * 1024;
constexpr std::string_view DoneMarker = "[DONE]";

HttpRequest toHttpRequest(const Endpoint &endpoint, const EngineRequest &engineRequest)
{
    return match(
            engineRequest,
            [&](const GenerateRequest &completion) {
                const nlohmann::json body{
                        {"model", completion.model},          {"prompt", completion.prompt},
                        {"max_tokens", completion.maxTokens}, {"priority", completion.priority},
                        {"request_id", completion.requestId}, {"stream", true}};
                return makeRequest("POST", endpoint, "/v1/completions",
                                   body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
            },
            [&](const ResumeRequest &resume) {
                return makeRequest("GET", endpoint,
                                   "/v1/generations/" + resume.generation +
                                           "?from=" + std::to_string(resume.fromIndex));
            });
}

/// Parses "<generation>:<index>".
std::optional<std::pair<std::string, uint64_t>> parseTokenId(std::string_view id)
{
    const size_t colon = id.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const std::string_view digits = id.substr(colon + 1);
    uint64_t index = 0;
    const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), index);
    if (status != std::errc{} || end != digits.data() + digits.size())
        return std::nullopt;
    return std::pair{std::string(id.substr(0, colon)), index};
}

EngineFailure refusalOf(const http::response_header<> &header, bool isResume)
{
    if (header.find("X-Leaving") != header.end())
        return EngineFailure::Leaving;
    const unsigned status = header.result_int();
    if (isResume && (status == 404 || status == 410))
        return EngineFailure::UnknownGeneration;
    return EngineFailure::Refused;
}

} // namespace

EngineConnection::EngineConnection(const asio::any_io_executor &executor, Endpoint endpoint)
    : endpoint(std::move(endpoint))
    , stream(executor)
    , pauseTimer(executor)
{}

void EngineConnection::start(EngineRequest engineRequest, EventHandler handler)
{
    this->eventHandler = std::move(handler);
    asio::co_spawn(
            this->stream.get_executor(),
            [self = this->shared_from_this(), engineRequest = std::move(engineRequest)]() mutable {
                return self->run(std::move(engineRequest));
            },
            asio::detached);
}

void EngineConnection::setPaused(bool paused)
{
    this->isPaused = paused;
    this->pauseTimer.cancel();
}

void EngineConnection::close()
{
    this->isClosed = true;
    this->eventHandler = nullptr;
    this->pauseTimer.cancel();
    this->stream.close();
}

void EngineConnection::emit(EngineEvent value)
{
    if (this->eventHandler)
        this->eventHandler(std::move(value));
}

asio::awaitable<void> EngineConnection::run(EngineRequest engineRequest)
{
    const auto self = this->shared_from_this();
    EngineEvent result = co_await this->exchangeStream(std::move(engineRequest));
    this->emit(std::move(result));
    this->eventHandler = nullptr;
}

asio::awaitable<EngineEvent> EngineConnection::exchangeStream(EngineRequest engineRequest)
{
    if (const auto *resume = std::get_if<ResumeRequest>(&engineRequest)) {
        this->generation = resume->generation;
        this->nextIndex = resume->fromIndex;
        this->isResume = true;
    }
    if (!co_await connectTo(this->stream, this->endpoint, ConnectTimeout))
        co_return EngineFailure::NotConnected;
    // No timeout: GenerationStream detects stalls.
    this->stream.expires_never();

    boost::system::error_code error;
    HttpRequest request = toHttpRequest(this->endpoint, engineRequest);
    co_await http::async_write(this->stream, request, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return EngineFailure::ConnectionBroken;

    beast::flat_buffer buffer{MaxParseBufferBytes};
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    co_await http::async_read_header(this->stream, buffer, parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return EngineFailure::ConnectionBroken;
    // An invalid status does not tell whether the generation has run.
    if (statusClass(parser.get().result_int()) == StatusClass::Invalid)
        co_return EngineFailure::ConnectionBroken;
    if (parser.get().result_int() != 200)
        co_return refusalOf(parser.get().base(), this->isResume);

    const auto generationHeader = parser.get().find("X-Generation-Id");
    if (generationHeader != parser.get().end())
        this->generation = std::string(generationHeader->value());
    SseParser events;
    std::array<char, ReadBytes> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init)
    while (!parser.is_done() && !this->finalEvent && !this->isClosed) {
        co_await this->waitWhilePaused();
        parser.get().body().data = bytes.data();
        parser.get().body().size = bytes.size();
        co_await http::async_read_some(this->stream, buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, error));
        if (error == http::error::need_buffer)
            error = {};
        if (error)
            co_return EngineFailure::ConnectionBroken;
        const size_t count = bytes.size() - parser.get().body().size;
        if (!events.feed({bytes.data(), count}, [this](const SseEvent &event) { this->onEvent(event); }))
            co_return EngineFailure::ConnectionBroken;
    }
    co_return this->finalEvent.value_or(EngineFailure::ConnectionBroken);
}

asio::awaitable<void> EngineConnection::waitWhilePaused()
{
    while (this->isPaused && !this->isClosed) {
        this->pauseTimer.expires_at(std::chrono::steady_clock::time_point::max());
        boost::system::error_code error;
        co_await this->pauseTimer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

void EngineConnection::onEvent(const SseEvent &event)
{
    if (this->finalEvent)
        return;
    if (event.event == "error") {
        this->finalEvent = EngineFailure::EngineError;
        return;
    }
    if (event.data == DoneMarker) {
        // Without a token that has a finish_reason, the last tokens may be missing; a resume requests them.
        const bool isEndKnown = this->hasFinishReason || (this->isResume && !this->hasToken);
        this->finalEvent = isEndKnown ? EngineEvent{EngineDone{this->generation, this->nextIndex}}
                                      : EngineEvent{EngineFailure::ConnectionBroken};
        return;
    }
    const auto id = parseTokenId(event.id);
    const nlohmann::json data = nlohmann::json::parse(event.data, nullptr, false);
    const auto choices = data.is_object() ? data.find("choices") : data.end();
    if (!id || choices == data.end() || !choices->is_array() || choices->empty() ||
        !choices->front().is_object()) {
        this->finalEvent = EngineFailure::ConnectionBroken;
        return;
    }
    const nlohmann::json &choice = choices->front();
    if (this->generation.empty())
        this->generation = id->first;
    // A token of another generation must not determine the generation of this request.
    if (id->first != this->generation && !this->hasToken)
        return;
    if (id->first == this->generation) {
        this->nextIndex = id->second + 1;
        this->hasToken = true;
        const auto reason = choice.find("finish_reason");
        this->hasFinishReason = reason != choice.end() && !reason->is_null();
    }
    const auto text = choice.find("text");
    const bool hasText = text != choice.end() && text->is_string();
    this->emit(EngineToken{id->first, id->second, hasText ? text->get<std::string>() : std::string()});
}

asio::awaitable<void> cancelGeneration(Endpoint endpoint, std::string generation)
{
    co_await exchange(endpoint, makeRequest("DELETE", endpoint, "/v1/generations/" + generation),
                      CancelTimeout);
}

} // namespace eelgrasslift
