#include "gatewayfixture.h"
#include "loopback.h"

#include "gateway/coordinator.h"
#include "gateway/exchange.h"
#include "gateway/gatewayprocess.h"
#include "gateway/httpservice.h"
#include "platform/platform.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
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

constexpr auto ConnectionInterval = 50ms;

/// Opens connections and sends the bytes on each until the gateway does not accept any more. Returns the last
/// ones; the newest may still be in the queue of the listener when it closes.
std::deque<tcp::socket> connectUntilClosed(asio::io_context &io, const Endpoint &endpoint,
                                           std::string_view bytes)
{
    constexpr size_t ConnectionCount = 8;
    std::deque<tcp::socket> connections;
    while (auto socket = connectTo(io, endpoint)) {
        asio::write(*socket, asio::buffer(bytes));
        connections.push_back(std::move(*socket));
        if (connections.size() > ConnectionCount)
            connections.pop_front();
        std::this_thread::sleep_for(ConnectionInterval);
    }
    REQUIRE(connections.size() == ConnectionCount);
    return connections;
}

/// A coordinator that answers exchanges with the configuration of GatewayFixture and one runner, which
/// completes each request. Runs on a thread of its own.
class FleetOnThread
{
public:
    explicit FleetOnThread(const Endpoint &exchange)
        : runner(this->io,
                 [](tcp::socket &connection, int, std::string) -> asio::awaitable<void> {
                     co_await sendBytes(connection, "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n"
                                                    "Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n");
                 })
        , coordinator(this->io, [this](HttpRequest request) -> asio::awaitable<HttpResponse> {
            return this->respond(std::string(request.target()));
        })
    {
        this->status.coordinatorAddresses = {exchange.toString()};
        this->status.configVersion = 1;
        this->status.fleet.emplace();
        this->status.fleet->version = 1;
        this->status.fleet->isComplete = true;
        for (const std::string service : {"p", "m"}) {
            RunnerEntry entry;
            entry.id = service;
            entry.service = service;
            entry.address = this->runner.address();
            entry.slots = 6;
            this->status.fleet->entries.push_back(entry);
        }
        REQUIRE(this->coordinator.listen(exchange));
        this->thread = std::thread([this] { this->io.run(); });
    }
    ~FleetOnThread()
    {
        this->io.stop();
        this->thread.join();
    }
    FleetOnThread(const FleetOnThread &) = delete;
    FleetOnThread &operator=(const FleetOnThread &) = delete;

    /// Requests that have reached the runner. Call it after the gateway has ended.
    int requestCount() const { return this->runner.requestCount(); }

private:
    asio::awaitable<HttpResponse> respond(std::string target)
    {
        // A coordinator answers at the latest after some hundred milliseconds.
        asio::steady_timer pause(this->io, 20ms);
        co_await pause.async_wait(asio::use_awaitable);
        const bool isFirst = target == ConfigurationPath + std::string("0");
        if (target.starts_with(ConfigurationPath))
            co_return makeResponse(
                    200, encodeConfigUpdate({"", isFirst ? std::optional(fixtureConfig()) : std::nullopt}));
        co_return target == StatusPath ? makeResponse(200, encodeStatus(this->status)) : makeResponse(503);
    }

    asio::io_context io{1};
    ScriptedRunner runner;
    HttpService coordinator;
    CoordinatorStatus status;
    std::thread thread;
};

/// Returns the status line and header of the next response, or what has arrived of it after 20 s.
std::string readHead(tcp::socket &socket)
{
    constexpr int ResponseTimeoutMs = 20000;
    std::string response;
    boost::system::error_code error;
    pollfd readable{socket.native_handle(), POLLIN, 0};
    if (::poll(&readable, 1, ResponseTimeoutMs) == 1)
        asio::read_until(socket, asio::dynamic_buffer(response), "\r\n\r\n", error);
    return response;
}

} // namespace

// Guards against a request whose caller is slow to send it: it was passed on late in the grace period and cut
// at its end (issue 29).
TEST_CASE("A request that is read late in the grace period is refused unless it ends in time", "[hostile]")
{
    asio::io_context io;
    const auto [callers, readiness, exchange] = freeEndpoints(io);
    NodeSettings settings;
    settings.callerListen = callers;
    settings.readinessListen = readiness;
    settings.firstInternalPort = static_cast<uint16_t>(exchange.port - ExchangePortOffset);
    settings.seeds = {exchange};
    // The gateway accepts connections for 2.6 s; the timeout of the routes is 3 s.
    settings.gracePeriod = 5s;
    FleetOnThread fleet(exchange);
    const platform::PlatformFormat format;
    std::thread gateway([&] {
        runGateway(settings, format, [&]() -> Result<NodeSettings, SettingsError> { return settings; });
    });
    const auto isReady = [&] {
        auto socket = connectTo(io, readiness);
        if (!socket)
            return false;
        asio::write(*socket, asio::buffer(std::string_view("GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n")));
        return readHead(*socket).starts_with("HTTP/1.1 200");
    };
    while (!isReady())
        std::this_thread::sleep_for(ConnectionInterval);
    struct SlowCall
    {
        std::string path;
        /// Of a caller that waits for less than the rest of the grace period.
        std::string deadline;
        std::string response;
    };
    const std::vector<SlowCall> calls{{"unsafe/a", "", "HTTP/1.1 503"},
                                      {"stream/a", "", "HTTP/1.1 503"},
                                      {"generation/a", "", "HTTP/1.1 503"},
                                      {"unsafe/b", "X-Request-Deadline: 900\r\n", "HTTP/1.1 200"}};
    std::raise(SIGTERM);
    std::deque<tcp::socket> slow = connectUntilClosed(io, callers, "POST /");
    for (const SlowCall &call : calls) {
        asio::write(slow.front(), asio::buffer(call.path + " HTTP/1.1\r\nHost: h\r\n" + call.deadline +
                                               "Content-Length: 0\r\n\r\n"));
        INFO(call.path);
        CHECK(readHead(slow.front()).starts_with(call.response));
        slow.pop_front();
    }
    slow.clear();
    gateway.join();
    CHECK(fleet.requestCount() == 1);
}

// Guards against a request that is cut at the exit of a gateway because only a part of it had been read when
// the gateway stopped listening.
TEST_CASE("A request that is half read when a gateway stops listening gets its answer", "[hostile]")
{
    asio::io_context io;
    NodeSettings settings;
    const auto [callers, readiness, unused] = freeEndpoints(io);
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
    std::deque<tcp::socket> halfSent =
            connectUntilClosed(io, *settings.callerListen, "GET /a HTTP/1.1\r\nHost: h\r\n");
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
