#include "eelgrasslift/httpclient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace eelgrasslift {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

std::string_view toString(HttpFailure failure)
{
    switch (failure) {
    case HttpFailure::NotConnected:
        return "not-connected";
    case HttpFailure::Broken:
        return "broken";
    case HttpFailure::TimedOut:
        return "timed-out";
    }
    return "broken";
}

HttpRequest makeRequest(std::string_view method, const Endpoint &endpoint, std::string_view target,
                        std::string body)
{
    HttpRequest request;
    request.version(11);
    request.method_string({method.data(), method.size()});
    request.target({target.data(), target.size()});
    request.set(http::field::host, endpoint.toString());
    request.set(http::field::user_agent, "eelgrasslift");
    if (!body.empty())
        request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

asio::awaitable<bool> connectTo(beast::tcp_stream &stream, const Endpoint &endpoint, Duration timeout)
{
    boost::system::error_code error;
    stream.expires_after(timeout);
    const asio::ip::tcp::endpoint address(asio::ip::make_address(endpoint.address), endpoint.port);
    co_await stream.async_connect(address, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return false;
    stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
    co_return true;
}

asio::awaitable<Result<HttpResponse, HttpFailure>> exchange(const Endpoint &endpoint, HttpRequest request,
                                                            Duration timeout, size_t maxBytes)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    const TimePoint started = TimePoint{std::chrono::steady_clock::now().time_since_epoch()};
    if (!co_await connectTo(stream, endpoint, timeout))
        co_return HttpFailure::NotConnected;
    const Duration elapsed = TimePoint{std::chrono::steady_clock::now().time_since_epoch()} - started;
    stream.expires_after(std::max(timeout - elapsed, Duration{1}));

    boost::system::error_code error;
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, error));
    beast::flat_buffer buffer{MaxParseBufferBytes};
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxBytes);
    if (!error)
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error == beast::error::timeout)
        co_return HttpFailure::TimedOut;
    if (error)
        co_return HttpFailure::Broken;
    boost::system::error_code ignored;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    co_return parser.release();
}

} // namespace eelgrasslift
