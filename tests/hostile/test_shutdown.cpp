#include "gatewayfixture.h"

#include "gateway/gatewayprocess.h"
#include "platform/platform.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <csignal>
#include <deque>
#include <poll.h>
#include <thread>
#include <unistd.h>

using namespace eelgrasslift;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Endpoints with different free ports, at a loopback address of this process: at a shared one, another
/// process could take a port before the gateway listens.
std::array<Endpoint, 2> freeEndpoints(asio::io_context &io)
{
    constexpr uint32_t FirstAddress = (127U << 24U) + (254U << 16U);
    const asio::ip::address_v4 address(FirstAddress + (static_cast<uint32_t>(getpid()) & 0xffffU));
    const tcp::acceptor first(io, tcp::endpoint(address, 0));
    const tcp::acceptor second(io, tcp::endpoint(address, 0));
    return {Endpoint{address.to_string(), first.local_endpoint().port()},
            Endpoint{address.to_string(), second.local_endpoint().port()}};
}

/// Connects to the gateway; nothing if it does not accept connections.
std::optional<tcp::socket> connectTo(asio::io_context &io, const Endpoint &endpoint)
{
    tcp::socket socket(io);
    boost::system::error_code error;
    socket.connect({asio::ip::make_address(endpoint.address), endpoint.port}, error);
    if (error)
        return std::nullopt;
    return socket;
}

} // namespace

// Guards against a request that is cut at the exit of a gateway because only a part of it had been read when
// the gateway stopped listening.
TEST_CASE("A request that is half read when a gateway stops listening gets its answer", "[hostile]")
{
    asio::io_context io;
    NodeSettings settings;
    const auto [callers, readiness] = freeEndpoints(io);
    settings.callerListen = callers;
    settings.readinessListen = readiness;
    const platform::PlatformFormat format;
    int exitCode = -1;
    std::thread gateway([&] {
        exitCode = runGateway(settings, format,
                              [&]() -> Result<NodeSettings, SettingsError> { return settings; });
    });
    while (!connectTo(io, *settings.callerListen))
        std::this_thread::yield();
    std::raise(SIGTERM);
    // The newest connections may still be in the queue of the listener when it closes.
    constexpr size_t ConnectionCount = 8;
    constexpr auto ConnectionInterval = 50ms;
    std::deque<tcp::socket> halfSent;
    while (auto socket = connectTo(io, *settings.callerListen)) {
        asio::write(*socket, asio::buffer(std::string_view("GET /a HTTP/1.1\r\nHost: h\r\n")));
        halfSent.push_back(std::move(*socket));
        if (halfSent.size() > ConnectionCount)
            halfSent.pop_front();
        std::this_thread::sleep_for(ConnectionInterval);
    }
    REQUIRE(halfSent.size() == ConnectionCount);
    boost::system::error_code error;
    asio::write(halfSent.front(), asio::buffer(std::string_view("\r\n")), error);
    std::string response;
    // A gateway that has ended leaves the connection open for as long as this process runs.
    constexpr int ResponseTimeoutMs = 20000;
    pollfd readable{halfSent.front().native_handle(), POLLIN, 0};
    if (::poll(&readable, 1, ResponseTimeoutMs) == 1)
        asio::read_until(halfSent.front(), asio::dynamic_buffer(response), "\r\n\r\n", error);
    CHECK(response.starts_with("HTTP/1.1 503"));
    halfSent.clear();
    gateway.join();
    CHECK(exitCode == 0);
}

// Guards against a request that ends without an answer because its gateway reaches the end of its grace
// period.
TEST_CASE("A request that is open at the end of the grace period gets an error response", "[hostile]")
{
    const std::string path = GENERATE("/safe/a", "/unsafe/a", "/stream/a", "/generation/a");
    INFO(path);
    GatewayFixture fixture([](tcp::socket &, int, std::string) -> asio::awaitable<void> { co_return; });
    std::optional<CallerView> result;
    fixture.start(path, "id-1", [&](const CallerView &view) { result = view; });
    fixture.runUntil([&] { return fixture.runner.requestCount() == 1; });
    fixture.lastSession()->expire();
    const auto expiredAt = std::chrono::steady_clock::now();
    fixture.runUntil([&] { return result.has_value(); });
    CHECK((result->status == 502 || result->status == 504));
    CHECK(result->isComplete);
    // The runner, whose connection the gateway itself has closed, is not blamed.
    CHECK(result->body.find("grace-period-over") != std::string::npos);
    CHECK(fixture.runner.requestCount() == 1);
    // The routes' timeout is 3 s.
    CHECK(std::chrono::steady_clock::now() - expiredAt < 2s);
}

// Guards against a request that is still sent to a runner, and is cut at the exit, because the grace period
// ended while the connection was being established.
TEST_CASE("A request without a connection at the end of the grace period is not sent", "[hostile]")
{
    const std::string path = GENERATE("/safe/a", "/unsafe/a", "/stream/a", "/generation/a");
    INFO(path);
    GatewayFixture fixture([](tcp::socket &, int, std::string) -> asio::awaitable<void> { co_return; });
    const bool isPlacedByCoordinator = path.starts_with("/generation/");
    std::optional<CallerView> result;
    fixture.start(path, "id-1", [&](const CallerView &view) { result = view; });
    fixture.runUntil([&] {
        return fixture.lastSession() && (!isPlacedByCoordinator || fixture.scheduler.placementCount == 1);
    });
    fixture.lastSession()->expire();
    fixture.runUntil([&] { return result.has_value(); });
    // No runner has seen the request, so the caller may repeat it at once.
    CHECK(result->status == 503);
    CHECK(result->isComplete);
    CHECK(fixture.runner.requestCount() == 0);
}
