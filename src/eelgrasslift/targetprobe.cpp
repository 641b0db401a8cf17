#include "eelgrasslift/targetprobe.h"

#include "libcore/core.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace eelgrasslift {

namespace asio = boost::asio;

namespace {

constexpr Duration ProbeTimeout = std::chrono::milliseconds{500};

} // namespace

asio::awaitable<ProbeResult> probeTarget(Endpoint endpoint)
{
    boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(ProbeTimeout);
    boost::system::error_code error;
    const asio::ip::tcp::endpoint address(asio::ip::make_address(endpoint.address), endpoint.port);
    co_await stream.async_connect(address, asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::connection_refused)
        co_return ProbeResult::Refused;
    co_return error ? ProbeResult::Unreachable : ProbeResult::Reachable;
}

} // namespace eelgrasslift
