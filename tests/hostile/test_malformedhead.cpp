#include "gateway/clock.h"
#include "gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

struct MalformedLine
{
    const char *name;
    std::string text;
};

// Lines that do not match the syntax of a header field (RFC 9112, section 5).
const auto MalformedLines = {
        MalformedLine{"blank in the name", "X A: b"},
        MalformedLine{"tab in the name", "X\tA: b"},
        MalformedLine{"blank before the colon", "X-A : b"},
        MalformedLine{"tab before the colon", "X-A\t: b"},
        MalformedLine{"control byte 0 in the name", std::string("X\0A: b", 6)},
        MalformedLine{"control byte 1 in the name", "X\x01-A: b"},
        MalformedLine{"vertical tab in the name", "X\x0b-A: b"},
        MalformedLine{"carriage return in the name", "X\r-A: b"},
        MalformedLine{"DEL in the name", "X\x7f-A: b"},
        MalformedLine{"byte above 0x7f in the name", "X\xc3\xa9: b"},
        MalformedLine{"no name", ": b"},
        MalformedLine{"no colon", "X-A"},
        MalformedLine{"length with a blank before the colon", "Content-Length : 3"},
        MalformedLine{"length with a blank in the name", "Content Length: 3"},
        MalformedLine{"chunks with a blank before the colon", "Transfer-Encoding : chunked"},
        MalformedLine{"control byte in the value", "X-A: b\x01"},
};

enum class Place {
    First,    ///< Directly after the status line.
    Last,     ///< Before the empty line.
    Interim,  ///< In an interim response before the final one.
    Trailer,  ///< After the last chunk.
    Refusal,  ///< In the refusal of a runner that has not executed the request.
    Redirect, ///< In a response that is no success.
};

const std::string StatusLine = "HTTP/1.1 200 OK\r\n";
const std::string Event = "id: 1\ndata:\n\n";

std::string responseWith(const std::string &line, Place place, bool hasLength)
{
    const std::string field = line + "\r\n";
    const std::string framing =
            hasLength ? "Content-Length: " + std::to_string(Event.size()) + "\r\n" : std::string{};
    const std::string seal = "X-Server-Seal: s\r\n";
    switch (place) {
    case Place::First:
        return StatusLine + field + seal + framing + "\r\n" + Event;
    case Place::Last:
        return StatusLine + seal + framing + field + "\r\n" + Event;
    case Place::Interim:
        return "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n" + StatusLine + seal + framing + "\r\n" + Event;
    case Place::Trailer:
        return StatusLine + seal + "Transfer-Encoding: chunked\r\n\r\nd\r\n" + Event + "\r\n0\r\n" + field +
               "\r\n";
    case Place::Refusal:
        return "HTTP/1.1 503 Full\r\nX-Attempt-Id: id-1\r\nX-Not-Executed: 1\r\n" + framing + field + "\r\n" +
               Event;
    case Place::Redirect:
        return "HTTP/1.1 302 Found\r\n" + seal + framing + field + "\r\n" + Event;
    }
    return {};
}

} // namespace

// Guards against a response with a malformed head that reaches the caller: with the malformed line, with a
// body that ends elsewhere than the runner's, or as a refusal.
TEST_CASE("A response with a malformed line in a head is rejected", "[hostile]")
{
    const std::string path = GENERATE("/safe/a", "/unsafe/a", "/stream/a", "/generation/a");
    const auto line = GENERATE(values(MalformedLines));
    const Place place = GENERATE(Place::First, Place::Last, Place::Interim, Place::Trailer, Place::Refusal,
                                 Place::Redirect);
    const bool hasLength = GENERATE(true, false);
    INFO(path << ", " << line.name << ", place " << static_cast<int>(place) << ", length " << hasLength);
    GatewayFixture fixture([&](tcp::socket &connection, int, std::string) -> asio::awaitable<void> {
        std::string bytes = responseWith(line.text, place, hasLength);
        co_await sendBytes(connection, std::move(bytes));
        connection.close();
    });
    const TimePoint start = steadyNow();
    const CallerView view = fixture.call(path, "id-1");
    const bool isStream = path != "/safe/a" && path != "/unsafe/a";
    if (isStream && place == Place::Trailer) {
        CHECK_FALSE(view.isComplete);
    } else {
        CHECK(view.status == 502);
        CHECK(view.isComplete);
        CHECK(view.header.count("X-Server-Seal") == 0);
    }
    CHECK(view.header.count("X-A") == 0);
    // Far below the timeout of the routes, 3 s.
    CHECK(steadyNow() - start < 1500ms);
    if (path == "/unsafe/a" || path == "/generation/a")
        CHECK(fixture.runner.requestCount() == 1);
}

// Guards against a continued line without a field before it, which is joined to the status line.
TEST_CASE("A head that begins with a blank is rejected", "[hostile]")
{
    const std::string path = GENERATE("/safe/a", "/unsafe/a", "/stream/a", "/generation/a");
    const std::string line = GENERATE(" X-A: b", "\tX-A: b", " ");
    INFO(path << ", '" << line << "'");
    GatewayFixture fixture([&](tcp::socket &connection, int, std::string) -> asio::awaitable<void> {
        std::string bytes = responseWith(line, Place::First, true);
        co_await sendBytes(connection, std::move(bytes));
        connection.close();
    });
    const CallerView view = fixture.call(path, "id-1");
    CHECK(view.status == 502);
    CHECK(view.header.count("X-A") == 0);
}

// Guards against a stream that becomes complete, or longer, by such a response of the runner that continues
// it.
TEST_CASE("A response with a malformed line in a head does not continue a stream", "[hostile]")
{
    const std::string path = GENERATE("/stream/a", "/resumable/a", "/backed/a");
    const auto line = GENERATE(values(MalformedLines));
    const Place place = GENERATE(Place::First, Place::Last, Place::Interim);
    const bool hasLength = GENERATE(true, false);
    INFO(path << ", " << line.name << ", place " << static_cast<int>(place) << ", length " << hasLength);
    GatewayFixture fixture([&](tcp::socket &connection, int count, std::string) -> asio::awaitable<void> {
        std::string bytes =
                StatusLine + "X-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\nd\r\n" + Event + "\r\n";
        if (count > 1)
            bytes = responseWith(line.text, place, hasLength);
        co_await sendBytes(connection, std::move(bytes));
        connection.close();
    });
    const CallerView view = fixture.call(path, "id-1");
    CHECK(view.status == 200);
    CHECK_FALSE(view.isComplete);
    CHECK(view.body == Event);
}
