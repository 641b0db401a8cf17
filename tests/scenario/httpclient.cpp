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

http::request<http::string_body> toHttp(const ClientRequest &request)
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

ClientAnswer sendRequest(const ClientRequest &request)
{
    net::io_context context;
    beast::tcp_stream stream(context);
    beast::flat_buffer buffer;
    const auto message = toHttp(request);
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    ClientAnswer answer;
    const auto fail = [&](error_code error) {
        answer.error = error == beast::error::timeout ? "timeout" : error.message();
    };
    stream.expires_after(request.timeout);
    stream.async_connect(toEndpoint(request.address), [&](error_code error) {
        if (error)
            return fail(error);
        http::async_write(stream, message, [&](error_code writeError, size_t) {
            // An answer may arrive although the server did not read the whole request.
            http::async_read(stream, buffer, parser, [&, writeError](error_code readError, size_t) {
                if (readError)
                    fail(writeError ? writeError : readError);
            });
        });
    });
    context.run();
    if (!answer.error.empty())
        return answer;
    answer.status = static_cast<int>(parser.get().result_int());
    answer.headers = toJson(parser.get().base());
    answer.body = parser.get().body();
    return answer;
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

ClientAnswer EventStream::answer()
{
    const std::lock_guard lock(this->mutex);
    return this->answerParts;
}

size_t EventStream::eventCount()
{
    const std::lock_guard lock(this->mutex);
    return this->recorded.size();
}

std::vector<StreamEvent> EventStream::events(size_t from)
{
    const std::lock_guard lock(this->mutex);
    if (from >= this->recorded.size())
        return {};
    return {this->recorded.begin() + static_cast<ptrdiff_t>(from), this->recorded.end()};
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
        this->answerParts.error = error.what();
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
    http::write(socket, toHttp(this->request));
    http::read_header(socket, buffer, parser, error);
    if (!error) {
        const std::lock_guard lock(this->mutex);
        this->answerParts.status = static_cast<int>(parser.get().result_int());
        this->answerParts.headers = toJson(parser.get().base());
    }
    std::array<char, 16384> bytes{};
    while (!error && !parser.is_done()) {
        parser.get().body().data = bytes.data();
        parser.get().body().size = bytes.size();
        http::read_some(socket, buffer, parser, error);
        if (error == http::error::need_buffer)
            error = {};
        this->feed({bytes.data(), bytes.size() - parser.get().body().size});
    }
    const std::lock_guard lock(this->mutex);
    this->descriptor = -1;
    if (error)
        this->answerParts.error = error.message();
}

void EventStream::feed(std::string_view bytes)
{
    const std::lock_guard lock(this->mutex);
    const auto type = this->answerParts.headers.value("content-type", std::string{});
    if (!type.starts_with("text/event-stream")) {
        this->answerParts.body += bytes;
        return;
    }
    for (const char c : bytes) {
        if (c != '\n') {
            this->line.push_back(c);
            continue;
        }
        this->handleLine(this->line);
        this->line.clear();
    }
}

void EventStream::handleLine(std::string_view text)
{
    if (text.ends_with('\r'))
        text.remove_suffix(1);
    if (text.empty()) {
        if (!this->current.data.empty() || !this->current.type.empty()) {
            this->current.receivedAt = monotonicMilliseconds();
            this->recorded.push_back(std::exchange(this->current, {}));
        }
        return;
    }
    const size_t colon = std::min(text.find(':'), text.size());
    const std::string_view name = text.substr(0, colon);
    std::string_view value = colon < text.size() ? text.substr(colon + 1) : std::string_view{};
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (name == "id")
        this->current.id = value;
    else if (name == "event")
        this->current.type = value;
    else if (name == "data")
        this->current.data += value;
}

} // namespace eelgrasslift::scenario
