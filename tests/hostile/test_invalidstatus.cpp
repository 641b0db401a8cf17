#include "gateway/clock.h"
#include "gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

struct Body
{
    const char *name;
    std::string headerAndBody;
    /// The runner closes the connection after it, otherwise it waits for the next request.
    bool closes;
};

} // namespace

// Guards against a response whose status code is none, which reaches a caller as a response, or holds up the
// caller until its deadline because it passes for an interim one.
TEST_CASE("A response with an invalid status is rejected at once", "[hostile]")
{
    const std::string path = GENERATE("/safe/a", "/unsafe/a", "/stream/a", "/generation/a", "/resumable/a");
    const std::string status =
            GENERATE("000", "000 OK", "001 OK", "099 Early", "101 Switching Protocols", "600 Error",
                     "999 Last", "00 OK", "2000 OK", "-20 OK", "+20 OK", "2x0 OK", "OK");
    const auto body = GENERATE(values<Body>({
            {"length", "X-Server-Seal: s\r\nContent-Length: 1\r\n\r\na", false},
            {"no length", "X-Server-Seal: s\r\n\r\nid: 1\ndata:\n\n", true},
            {"no body, open", "X-Server-Seal: s\r\n\r\n", false},
            {"not run", "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", false},
    }));
    INFO(path << ", " << status << ", " << body.name);
    GatewayFixture fixture([&](tcp::socket &connection, int, std::string) -> asio::awaitable<void> {
        co_await sendBytes(connection, "HTTP/1.1 " + status + "\r\n" + body.headerAndBody);
        if (body.closes)
            connection.close();
    });
    const TimePoint start = steadyNow();
    const CallerView view = fixture.call(path, "id-1");
    CHECK(view.status == 502);
    CHECK(view.isComplete);
    CHECK(view.header.count("X-Server-Seal") == 0);
    // Far below the timeout of the routes, 3 s.
    CHECK(steadyNow() - start < 1500ms);
    const bool mayRepeat = path == "/stream/a" || path == "/resumable/a";
    CHECK(fixture.runner.requestCount() <= (mayRepeat ? 2 : 1));
}

// Guards against a stream that becomes complete, or longer, by such a response of the runner that continues
// it.
TEST_CASE("A response with an invalid status does not continue a stream", "[hostile]")
{
    const std::string path = GENERATE("/stream/a", "/backed/a", "/resumable/a");
    const std::string status = GENERATE("000 OK", "099 Early", "600 Error", "999 Last");
    INFO(path << ", " << status);
    GatewayFixture fixture([&](tcp::socket &connection, int requestCount,
                               std::string) -> asio::awaitable<void> {
        if (requestCount == 1) {
            co_await sendBytes(connection, "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n"
                                           "Transfer-Encoding: chunked\r\n\r\nd\r\nid: 1\ndata:\n\n\r\n");
        } else {
            co_await sendBytes(connection, "HTTP/1.1 " + status +
                                                   "\r\nX-Server-Seal: s\r\n\r\n"
                                                   "id: 2\ndata:\n\n");
        }
        connection.close();
    });
    const TimePoint start = steadyNow();
    const CallerView view = fixture.call(path, "id-1");
    CHECK(view.status == 200);
    CHECK_FALSE(view.isComplete);
    CHECK(view.body == "id: 1\ndata:\n\n");
    CHECK(steadyNow() - start < 1500ms);
}
