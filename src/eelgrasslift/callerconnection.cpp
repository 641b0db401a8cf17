#include "eelgrasslift/callerconnection.h"

#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

namespace eelgrasslift {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr size_t WatchReadBytes = 512;

CallerError invalidRequest(unsigned status, std::string code, std::string message)
{
    return CallerError{status, "invalid-request", std::move(code), std::move(message), Outcome::NotRun, {}};
}

std::variant<CallerRequest, CallerError, ConnectionEnd> toReadError(const boost::system::error_code &error,
                                                                    std::string_view part)
{
    if (error == http::error::header_limit)
        return invalidRequest(431, "header-too-large", "the header is larger than 16 KiB");
    if (error == http::error::body_limit)
        return invalidRequest(413, "body-too-large", "the body is larger than 1 MiB");
    if (error == beast::error::timeout)
        return invalidRequest(408, "request-timeout", "the " + std::string(part) + " did not arrive in time");
    if (error.category() == make_error_code(http::error::bad_method).category() &&
        error != http::error::end_of_stream && error != http::error::partial_message)
        return invalidRequest(400, "malformed-http", "not a valid HTTP request: " + error.message());
    return ConnectionEnd::Closed;
}

template <typename Message>
void setFields(Message &message, std::string_view contentType, const std::vector<HeaderField> &fields,
               bool keepAlive)
{
    message.set(http::field::content_type, {contentType.data(), contentType.size()});
    message.set(http::field::cache_control, "no-store");
    for (const auto &[name, value] : fields)
        message.set(beast::string_view{name.data(), name.size()}, value);
    message.keep_alive(keepAlive);
}

} // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket)
    : stream(std::move(socket))
{}

asio::awaitable<bool> CallerConnection::waitForFirstByte()
{
    if (this->buffer.size() > 0)
        co_return true;
    boost::system::error_code error;
    this->stream.expires_after(IdleTimeout);
    const size_t count = co_await this->stream.async_read_some(
            this->buffer.prepare(WatchReadBytes), asio::redirect_error(asio::use_awaitable, error));
    this->buffer.commit(count);
    co_return !error;
}

asio::awaitable<std::variant<CallerRequest, CallerError, ConnectionEnd>> CallerConnection::readRequest()
{
    if (!co_await this->waitForFirstByte())
        co_return ConnectionEnd::Closed;
    http::request_parser<http::string_body> parser;
    parser.header_limit(MaxHeaderBytes);
    parser.body_limit(MaxBodyBytes);
    boost::system::error_code error;
    this->stream.expires_after(HeaderTimeout);
    co_await http::async_read_header(this->stream, this->buffer, parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return toReadError(error, "header");
    this->stream.expires_after(BodyTimeout);
    if (parser.get()[http::field::expect] == "100-continue") {
        http::response<http::empty_body> proceed(http::status::continue_, parser.get().version());
        co_await http::async_write(this->stream, proceed, asio::redirect_error(asio::use_awaitable, error));
    }
    co_await http::async_read(this->stream, this->buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return toReadError(error, "body");
    this->stream.expires_never();
    co_return parser.release();
}

asio::awaitable<bool> CallerConnection::sendResponse(unsigned status, std::string_view contentType,
                                                     std::string body, std::vector<HeaderField> fields,
                                                     bool keepAlive)
{
    http::response<http::string_body> response;
    response.version(11);
    response.result(status);
    setFields(response, contentType, fields, keepAlive);
    response.body() = std::move(body);
    response.prepare_payload();
    boost::system::error_code error;
    this->stream.expires_after(WriteTimeout);
    co_await http::async_write(this->stream, response, asio::redirect_error(asio::use_awaitable, error));
    this->stream.expires_never();
    co_return !error;
}

asio::awaitable<bool> CallerConnection::startStream(std::string_view contentType,
                                                    std::vector<HeaderField> fields, bool keepAlive)
{
    http::response<http::empty_body> header;
    header.version(11);
    header.result(http::status::ok);
    setFields(header, contentType, fields, keepAlive);
    header.chunked(true);
    http::response_serializer<http::empty_body> serializer(header);
    boost::system::error_code error;
    this->stream.expires_after(WriteTimeout);
    co_await http::async_write_header(this->stream, serializer,
                                      asio::redirect_error(asio::use_awaitable, error));
    this->stream.expires_never();
    co_return !error;
}

asio::awaitable<bool> CallerConnection::sendChunk(std::string_view bytes)
{
    boost::system::error_code error;
    this->stream.expires_after(WriteTimeout);
    co_await asio::async_write(this->stream, http::make_chunk(asio::buffer(bytes.data(), bytes.size())),
                               asio::redirect_error(asio::use_awaitable, error));
    this->stream.expires_never();
    co_return !error;
}

asio::awaitable<bool> CallerConnection::endStream()
{
    boost::system::error_code error;
    this->stream.expires_after(WriteTimeout);
    co_await asio::async_write(this->stream, http::make_chunk_last(),
                               asio::redirect_error(asio::use_awaitable, error));
    this->stream.expires_never();
    co_return !error;
}

asio::awaitable<bool> CallerConnection::watchForClose()
{
    this->isWatchCancelled = false;
    // Uses the socket directly: an operation of tcp_stream would share its timer with the writes.
    while (!this->isWatchCancelled) {
        boost::system::error_code error;
        co_await this->stream.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                                  asio::redirect_error(asio::use_awaitable, error));
        if (this->isWatchCancelled)
            co_return false;
        if (error)
            co_return true;
        if (this->buffer.size() >= MaxBodyBytes)
            co_return true;
        this->stream.socket().non_blocking(true, error);
        const size_t count = this->stream.socket().read_some(this->buffer.prepare(WatchReadBytes), error);
        this->buffer.commit(count);
        if (error && error != asio::error::would_block)
            co_return true;
    }
    co_return false;
}

void CallerConnection::cancelWatch()
{
    this->isWatchCancelled = true;
    boost::system::error_code ignored;
    this->stream.socket().cancel(ignored);
}

void CallerConnection::close()
{
    boost::system::error_code ignored;
    this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->stream.close();
}

} // namespace eelgrasslift
