#include "loopback.h"

#include "gateway/gatewayprocess.h"
#include "gateway/sharedbuffer.h"
#include "platform/platform.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <thread>

using namespace eelgrasslift;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr size_t LargestBody = size_t{4} << 20;

/// Sends a request with a body of the largest size that callers may send, and returns the status line.
std::string sendLargeRequest(const Endpoint &gateway, bool isChunked)
{
    asio::io_context io;
    auto socket = connectTo(io, gateway);
    if (!socket)
        return {};
    const std::string body(LargestBody, 'a');
    const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\n";
    boost::system::error_code error;
    if (isChunked)
        asio::write(
                *socket,
                asio::buffer(head + "Transfer-Encoding: chunked\r\n\r\n400000\r\n" + body + "\r\n0\r\n\r\n"),
                error);
    else
        asio::write(*socket,
                    asio::buffer(head + "Content-Length: " + std::to_string(LargestBody) + "\r\n\r\n" + body),
                    error);
    std::string response;
    const size_t size = asio::read_until(*socket, asio::dynamic_buffer(response), "\r\n", error);
    return response.substr(0, size);
}

/// Value of the metric at the gateway's readiness address; nothing if it does not answer.
std::optional<double> metric(const Endpoint &readiness, const std::string &name)
{
    asio::io_context io;
    auto socket = connectTo(io, readiness);
    if (!socket)
        return std::nullopt;
    boost::system::error_code error;
    asio::write(
            *socket,
            asio::buffer(std::string_view("GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")),
            error);
    std::string text;
    asio::read(*socket, asio::dynamic_buffer(text), error);
    const size_t at = text.find("\n" + name + " ");
    if (at == std::string::npos)
        return std::nullopt;
    return std::stod(text.substr(at + name.size() + 2));
}

} // namespace

// Guards against a burst of large requests that fills the memory of a gateway, which then ends with all
// requests that it has passed on (review, case 3). The gateway holds each request for a moment, since it has
// no configuration.
TEST_CASE("Bodies of requests in progress share a limit of memory", "[hostile]")
{
    constexpr int RequestCount = 24;
    asio::io_context io;
    NodeSettings settings;
    const auto [callers, readiness, unused] = freeEndpoints(io);
    settings.callerListen = callers;
    settings.readinessListen = readiness;
    const platform::PlatformFormat format;
    std::thread gateway([&] {
        runGateway(settings, format, [&]() -> Result<NodeSettings, SettingsError> { return settings; });
    });
    while (!connectTo(io, callers))
        std::this_thread::yield();
    for (const bool isChunked : {false, true}) {
        INFO((isChunked ? "in chunks" : "with a length"));
        std::atomic<int> endedCount = 0;
        std::atomic<int> refusedCount = 0;
        std::vector<std::thread> clients;
        for (int i = 0; i < RequestCount; ++i) {
            clients.emplace_back([&] {
                const std::string status = sendLargeRequest(callers, isChunked);
                // A caller that is still sending may lose the response with the connection.
                if (status.empty() || status.starts_with("HTTP/1.1 503"))
                    ++refusedCount;
                ++endedCount;
            });
        }
        const std::string name = "eelgrasslift_buffered_request_bytes";
        double peak = 0;
        while (endedCount < RequestCount)
            peak = std::max(peak, metric(readiness, name).value_or(0));
        for (std::thread &client : clients)
            client.join();
        constexpr size_t SmallBodies = RequestCount * SharedBuffer::SmallMessageBytes;
        CHECK(refusedCount == RequestCount);
        CHECK(peak >= static_cast<double>(LargestBody));
        CHECK(peak <= static_cast<double>(MaxBufferedRequestBytes + SmallBodies));
        CHECK(metric(readiness, name) == 0);
    }
    std::raise(SIGTERM);
    gateway.join();
}
