#include "httpcall.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace eelgrasslift::soak {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

asio::awaitable<void> sleepFor(Duration duration)
{
    boost::system::error_code ignored;
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

std::string_view fieldOf(const http::fields &fields, std::string_view name)
{
    const auto value = fields[beast::string_view(name.data(), name.size())];
    return {value.data(), value.size()};
}

asio::awaitable<std::optional<Response>> fetch(Endpoint endpoint, Request request, Duration timeout)
{
    boost::system::error_code error;
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    const tcp::endpoint address(asio::ip::make_address(endpoint.address), endpoint.port);
    co_await stream.async_connect(address, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return std::nullopt;
    request.set(http::field::host, endpoint.toString());
    request.prepare_payload();
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, error));
    beast::flat_buffer buffer;
    Response response;
    if (!error)
        co_await http::async_read(stream, buffer, response, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return std::nullopt;
    co_return response;
}

} // namespace eelgrasslift::soak
