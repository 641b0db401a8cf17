#include "httpclient.h"

#include "relay.h"

#include <boost/asio/connect.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>

namespace eelgrasslift::scenario {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = net::ip::tcp;
using boost::system::error_code;

namespace {

http::request<http::string_body> toHttpRequest(const ClientRequest &request)
{
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.path);
    message.set(http::field::host, request.address);
    message.set(http::field::connection, "close");
    for (const auto &[name, value] : request.headers)
        message.set(name, value);
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

template <typename Fields>
nlohmann::json toJson(const Fields &fields)
{
    nlohmann::json result = nlohmann::json::object();
    for (const auto &field : fields) {
        std::string name(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        result[name] = std::string(field.value());
    }
    return result;
}

} // namespace

int64_t monotonicMilliseconds()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

ClientResponse sendRequest(const ClientRequest &request)
{
    net::io_context context;
    beast::tcp_stream stream(context);
    beast::flat_buffer buffer;
    const auto message = toHttpRequest(request);
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    ClientResponse response;
    const auto fail = [&](error_code error) {
        response.error = error == beast::error::timeout ? "timeout" : error.message();
    };
    stream.expires_after(request.timeout);
    stream.async_connect(toEndpoint(request.address), [&](error_code error) {
        if (error)
            return fail(error);
        http::async_write(stream, message, [&](error_code writeError, size_t) {
            // A response may arrive even if the write failed: the server may respond without reading all of
            // it.
            http::async_read(stream, buffer, parser, [&, writeError](error_code readError, size_t) {
                if (readError)
                    fail(writeError ? writeError : readError);
            });
        });
    });
    context.run();
    if (!response.error.empty())
        return response;
    response.status = static_cast<int>(parser.get().result_int());
    response.headers = toJson(parser.get().base());
    response.body = parser.get().body();
    return response;
}

EventStream::EventStream(ClientRequest request)
    : request(std::move(request))
    , thread([this] { this->run(); })
{}

EventStream::~EventStream()
{
    this->close();
    this->thread.join();
}

ClientResponse EventStream::response()
{
    const std::lock_guard lock(this->mutex);
    return this->partialResponse;
}

size_t EventStream::eventCount()
{
    const std::lock_guard lock(this->mutex);
    return this->recordedEvents.size();
}

std::vector<StreamEvent> EventStream::events(size_t from)
{
    const std::lock_guard lock(this->mutex);
    if (from >= this->recordedEvents.size())
        return {};
    return {this->recordedEvents.begin() + static_cast<ptrdiff_t>(from), this->recordedEvents.end()};
}

void EventStream::close()
{
    const std::lock_guard lock(this->mutex);
    if (this->descriptor >= 0)
        shutdown(this->descriptor, SHUT_RDWR);
}

void EventStream::run()
{
    try {
        this->read();
    } catch (const std::exception &error) {
        const std::lock_guard lock(this->mutex);
        this->partialResponse.error = error.what();
    }
    this->ended = true;
}

void EventStream::read()
{
    net::io_context context;
    tcp::socket socket(context);
    socket.connect(toEndpoint(this->request.address));
    {
        const std::lock_guard lock(this->mutex);
        this->descriptor = socket.native_handle();
    }
    beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    error_code error;
    http::write(socket, toHttpRequest(this->request));
    http::read_header(socket, buffer, parser, error);
    if (!error) {
        const std::lock_guard lock(this->mutex);
        this->partialResponse.status = static_cast<int>(parser.get().result_int());
        this->partialResponse.headers = toJson(parser.get().base());
    }
    std::array<char, 16384> bytes{};
    while (!error && !parser.is_done()) {
        parser.get().body().data = bytes.data();
        parser.get().body().size = bytes.size();
        http::read_some(socket, buffer, parser, error);
        if (error == http::error::need_buffer)
            error = {};
        this->handleBody({bytes.data(), bytes.size() - parser.get().body().size});
    }
    const std::lock_guard lock(this->mutex);
    this->descriptor = -1;
    if (error)
        this->partialResponse.error = error.message();
}

void EventStream::handleBody(std::string_view bytes)
{
    const std::lock_guard lock(this->mutex);
    const auto type = this->partialResponse.headers.value("content-type", std::string{});
    if (!type.starts_with("text/event-stream")) {
        this->partialResponse.body += bytes;
        return;
    }
    for (const char c : bytes) {
        if (c != '\n') {
            this->partialLine.push_back(c);
            continue;
        }
        this->handleLine(this->partialLine);
        this->partialLine.clear();
    }
}

void EventStream::handleLine(std::string_view text)
{
    if (text.ends_with('\r'))
        text.remove_suffix(1);
    if (text.empty()) {
        if (!this->currentEvent.data.empty() || !this->currentEvent.type.empty()) {
            this->currentEvent.receivedAt = monotonicMilliseconds();
            this->recordedEvents.push_back(std::exchange(this->currentEvent, {}));
        }
        return;
    }
    const size_t colon = std::min(text.find(':'), text.size());
    const std::string_view name = text.substr(0, colon);
    std::string_view value = colon < text.size() ? text.substr(colon + 1) : std::string_view{};
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (name == "id")
        this->currentEvent.id = value;
    else if (name == "event")
        this->currentEvent.type = value;
    else if (name == "data")
        this->currentEvent.data += value;
}

} // namespace eelgrasslift::scenario
