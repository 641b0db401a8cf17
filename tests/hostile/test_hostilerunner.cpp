#include "gatewayfixture.h"

#include "eelgrasslift/endpoint.h"
#include "gateway/fleetreader.h"
#include "gateway/sharedbuffer.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

const std::string Sealed = "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n";
const std::string Chunked = Sealed + "Transfer-Encoding: chunked\r\n\r\n";
const std::string FirstEvent = "b\r\nid: 1\ndata:\r\n2\r\n\n\n\r\n";

// What a gateway may read of a response that is none: its own limits and the buffers of the sockets.
constexpr uint64_t MaxBytesRead = uint64_t{40} << 20;

struct EndlessCase
{
    const char *name;
    std::string path;
    std::string start;
    std::string endless;
    /// The response to the caller has begun, so that it can only be cut; otherwise the caller gets an error
    /// that leaves open whether the request ran.
    bool isCut;
};

std::string idOf(const std::string &head)
{
    const std::string name = "X-Attempt-Id: ";
    const size_t from = head.find(name) + name.size();
    return head.substr(from, head.find('\r', from) - from);
}

std::string answerTo(const std::string &head, const std::string &body)
{
    return Sealed + "X-Attempt-Id: " + idOf(head) + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

} // namespace

// Guards against a runner whose endless bytes fill a gateway's memory, keep its processor busy, or reach the
// caller as a response. The runner closes its connections only after the gateway has.
TEST_CASE("A response without end is given up, and its caller learns that it failed", "[hostile]")
{
    const auto test = GENERATE(values<EndlessCase>({
            {"garbage", "/safe/a", "\x01\x02garbage", "garbage ", false},
            {"head line", "/safe/a", "HTTP/1.1 200 O", "K", false},
            {"header field", "/safe/a", "HTTP/1.1 200 OK\r\nX-A: ", "a", false},
            {"header fields", "/safe/a", "HTTP/1.1 200 OK\r\n", "X-A: a\r\n", false},
            {"interim responses", "/safe/a", "", "HTTP/1.1 100 Continue\r\n\r\n", false},
            {"body without length", "/safe/a", Sealed + "\r\n", "a", false},
            {"body longer than its limit", "/safe/a", Sealed + "Content-Length: 99999999999\r\n\r\n", "a",
             false},
            {"chunks", "/safe/a", Chunked, "4\r\naaaa\r\n", false},
            {"chunk extension", "/safe/a", Chunked + "4;", "a", false},
            {"trailer", "/safe/a", Chunked + "0\r\n", "X-A: a\r\n", false},
            {"error body", "/safe/a", "HTTP/1.1 500 Error\r\n\r\n", "a", false},
            {"non-idempotent: body", "/unsafe/a", Sealed + "\r\n", "a", false},
            {"non-idempotent: interim", "/unsafe/a", "", "HTTP/1.1 103 Hints\r\n\r\n", false},
            {"stream: garbage", "/stream/a", "\x01\x02garbage", "garbage ", false},
            {"stream: head line", "/stream/a", "HTTP/1.1 200 O", "K", false},
            {"stream: header fields", "/stream/a", "HTTP/1.1 200 OK\r\n", "X-A: a\r\n", false},
            {"stream: interim responses", "/stream/a", "", "HTTP/1.1 100 Continue\r\n\r\n", false},
            {"stream: error body", "/stream/a", "HTTP/1.1 500 Error\r\n\r\n", "a", false},
            {"stream: event without end", "/stream/a", Chunked, "4\r\naaaa\r\n", true},
            {"stream: lines without an empty one", "/stream/a", Chunked, "8\r\ndata: a\n\r\n", true},
            {"stream: event without end after an event", "/stream/a", Chunked + FirstEvent, "4\r\naaaa\r\n",
             true},
            {"stream: chunk extension", "/stream/a", Chunked + "4;", "a", true},
            {"stream: trailer", "/stream/a", Chunked + FirstEvent + "0\r\n", "X-A: a\r\n", true},
            {"stream: no length", "/stream/a", Sealed + "\r\n", "a", true},
    }));
    INFO(test.name);
    std::vector<uint64_t> sentBytes;
    GatewayFixture fixture([&](tcp::socket &connection, int, std::string) -> asio::awaitable<void> {
        if (co_await sendBytes(connection, test.start))
            sentBytes.push_back(co_await sendEndlessly(connection, test.endless));
    });
    const CallerView view = fixture.call(test.path, "id-1");
    if (test.isCut)
        CHECK_FALSE(view.isComplete);
    else
        CHECK((view.status == 502 || view.status == 504));
    fixture.runUntil([&] { return fixture.runner.closedCount() == fixture.runner.requestCount(); });
    for (const uint64_t bytes : sentBytes)
        CHECK(bytes < MaxBytesRead);
    CHECK(fixture.gateway.bufferedResponseBytes == 0);
}

// Guards against large responses that each stay below their own limit and together fill a VM of 88 MB.
TEST_CASE("Responses that are received at the same time share a limit of memory", "[hostile]")
{
    constexpr int CallCount = 12;
    size_t peak = 0;
    GatewayFixture fixture([&](tcp::socket &connection, int, std::string) -> asio::awaitable<void> {
        co_await sendBytes(connection, Sealed + "Content-Length: 15000000\r\n\r\n");
        const std::string part(100'000, 'a');
        for (int i = 0; i < 150; ++i) {
            peak = std::max(peak, fixture.gateway.bufferedResponseBytes);
            if (!co_await sendBytes(connection, part))
                co_return;
        }
    });
    int endedCount = 0;
    for (int i = 0; i < CallCount; ++i)
        fixture.start("/safe/a", "id-" + std::to_string(i), [&](const CallerView &) { ++endedCount; });
    fixture.runUntil([&] { return endedCount == CallCount; });
    CHECK(peak < (size_t{30} << 20));
    CHECK(fixture.gateway.bufferedResponseBytes == 0);
}

// Guards against many streams whose runner begins an event on each and never ends it.
TEST_CASE("Events that have begun on many streams share the limit of memory", "[hostile]")
{
    constexpr int StreamCount = 160;
    const std::string part(250'000, 'a');
    size_t peak = 0;
    int sentCount = 0;
    GatewayFixture fixture([&](tcp::socket &connection, int, std::string) -> asio::awaitable<void> {
        co_await sendBytes(connection, Sealed + "\r\n" + part);
        ++sentCount;
        // The gateway closes the connection.
        char byte = 0;
        boost::system::error_code error;
        co_await connection.async_read_some(asio::buffer(&byte, 1),
                                            asio::redirect_error(asio::use_awaitable, error));
    });
    int endedCount = 0;
    for (int i = 0; i < StreamCount; ++i)
        fixture.start("/stream/a", "id-" + std::to_string(i), [&](const CallerView &view) {
            CHECK_FALSE(view.isComplete);
            ++endedCount;
        });
    fixture.runUntil([&] {
        peak = std::max(peak, fixture.gateway.bufferedResponseBytes);
        return endedCount == StreamCount;
    });
    CHECK(sentCount >= StreamCount);
    CHECK(peak > 0);
    // Small ones are kept in any case.
    CHECK(peak <= MaxBufferedResponseBytes + StreamCount * SharedBuffer::SmallMessageBytes);
    CHECK(fixture.gateway.bufferedResponseBytes == 0);
}

// Guards against a coordinator that keeps the endless reports and health answers of many runners at once.
TEST_CASE("What a runner says of itself is bounded", "[hostile]")
{
    const bool isTooLarge = GENERATE(false, true);
    const std::string target = GENERATE("/v1/report", "/health");
    const size_t padding = MaxRunnerStatementBytes + (isTooLarge ? 0 : -1000);
    const std::string body = R"({"queue_depth":0,"padding":")" + std::string(padding, 'a') + "\"}";
    GatewayFixture fixture([&](tcp::socket &connection, int, std::string) -> asio::awaitable<void> {
        co_await sendBytes(connection, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                                               "\r\n\r\n" + body);
    });
    FleetReaderSettings settings;
    settings.listEndpoint = *parseEndpoint("127.0.0.1:1");
    settings.reportInterval = 20ms;
    settings.healthInterval = 20ms;
    FleetReader reader(fixture.io, fixture.format, fixture.gateway.connections,
                       fixture.gateway.runners.leavingRunners(), settings);
    int responseCount = 0;
    reader.onResponse([&](const RunnerEntry &, const ResponseMetadata &) { ++responseCount; });
    reader.setEngineServices({{"m", target == "/health" ? "/health" : ""}});
    reader.setKnownRunners({fixture.runners[2]});
    reader.setActive(true);
    fixture.runUntil([&] { return fixture.runner.requestCount() >= 6; });
    CHECK((responseCount > 0) != isTooLarge);
}

// Guards against an interim response that is passed on as the final one: the next caller on the connection
// would get the answer to this request.
TEST_CASE("An interim response is not the answer", "[hostile]")
{
    const std::string path = GENERATE("/safe/a", "/unsafe/a");
    const std::string interim =
            GENERATE("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n");
    GatewayFixture fixture([&](tcp::socket &connection, int, std::string head) -> asio::awaitable<void> {
        co_await sendBytes(connection, interim + answerTo(head, "body of " + idOf(head)));
    });
    for (const std::string id : {"id-1", "id-2"}) {
        const CallerView view = fixture.call(path, id);
        CHECK(view.status == 200);
        CHECK(view.body == "body of " + id);
    }
}

// Finding of operators of similar systems: a second copy of an answer came late, on a connection that was in
// use again, and the next caller got it. The copy need not say which request it belongs to (review, case 1).
TEST_CASE("A second copy of an answer does not reach the next caller", "[hostile]")
{
    const std::string path = GENERATE("/safe/a", "/unsafe/a", "/stream/a", "/generation/a");
    const bool comesWithNextRequest = GENERATE(false, true);
    const bool hasId = GENERATE(true, false);
    const std::string status = GENERATE("200 OK", "500 Error", "404 None");
    INFO(path << ", " << status << (hasId ? "" : ", without an id"));
    const auto bodyFor = [&](const std::string &id) { return "id: 1\ndata: " + id + "\n\n"; };
    std::string lastAnswer;
    GatewayFixture fixture([&](tcp::socket &connection, int, std::string head) -> asio::awaitable<void> {
        const std::string answer = answerTo(head, bodyFor(idOf(head)));
        if (comesWithNextRequest)
            co_await sendBytes(connection, lastAnswer + answer);
        else
            co_await sendBytes(connection, answer + lastAnswer);
        std::string copy = answer;
        if (!hasId)
            copy.erase(copy.find("X-Attempt-Id: "), ("X-Attempt-Id: " + idOf(head) + "\r\n").size());
        lastAnswer = copy.replace(copy.find("200 OK"), std::string("200 OK").size(), status);
    });
    for (const std::string id : {"id-1", "id-2", "id-3"}) {
        const CallerView view = fixture.call(path, id);
        CHECK(view.status == 200);
        CHECK(view.body == bodyFor(id));
    }
}

// Guards against a runner that names no requests in its responses and therefore serves one for each
// connection only.
TEST_CASE("A runner that names no requests is served on a connection that is in use again", "[hostile]")
{
    const std::string path = GENERATE("/safe/a", "/unsafe/a", "/stream/a");
    GatewayFixture fixture([&](tcp::socket &connection, int, std::string) -> asio::awaitable<void> {
        co_await sendBytes(connection, Sealed + "Content-Length: 13\r\n\r\nid: 1\ndata:\n\n");
    });
    for (const std::string id : {"id-1", "id-2"}) {
        const CallerView view = fixture.call(path, id);
        CHECK(view.status == 200);
        CHECK(view.body == "id: 1\ndata:\n\n");
    }
    CHECK(fixture.runner.closedCount() == 0);
}

// Finding of operators of similar systems: stalled streams that sent a byte now and then never ended.
TEST_CASE("A stream that sends bytes without completing an event continues at another runner", "[hostile]")
{
    GatewayFixture fixture(
            [&](tcp::socket &connection, int count, std::string head) -> asio::awaitable<void> {
                if (count > 1) {
                    CHECK(head.find("Last-Event-Id: 1\r\n") != std::string::npos);
                    co_await sendBytes(connection, Chunked + "b\r\nid: 2\ndata:\r\n2\r\n\n\n\r\n0\r\n\r\n");
                    co_return;
                }
                bool isOpen = co_await sendBytes(connection, Chunked + FirstEvent);
                asio::steady_timer pause(fixture.io);
                while (isOpen) {
                    pause.expires_after(30ms);
                    co_await pause.async_wait(asio::use_awaitable);
                    isOpen = co_await sendBytes(connection, "1\r\na\r\n");
                }
            });
    const CallerView view = fixture.call("/stream/a", "id-1");
    CHECK(view.status == 200);
    CHECK(view.isComplete);
    CHECK(view.body == "id: 1\ndata:\n\nid: 2\ndata:\n\n");
}

// The other side of the same finding: a slow but sound stream was cut.
TEST_CASE("A slow stream whose events arrive in parts is not cut", "[hostile]")
{
    GatewayFixture fixture([&](tcp::socket &connection, int, std::string) -> asio::awaitable<void> {
        co_await sendBytes(connection, Chunked);
        asio::steady_timer pause(fixture.io);
        for (const char *part : {"id: 1\n", "data:\n", "\n", "id: 2\n", "data:\n", "\n"}) {
            pause.expires_after(250ms);
            co_await pause.async_wait(asio::use_awaitable);
            co_await sendBytes(connection,
                               std::to_string(std::string_view(part).size()) + "\r\n" + part + "\r\n");
        }
        co_await sendBytes(connection, "0\r\n\r\n");
    });
    const CallerView view = fixture.call("/stream/a", "id-1");
    CHECK(view.isComplete);
    CHECK(view.body == "id: 1\ndata:\n\nid: 2\ndata:\n\n");
    CHECK(fixture.runner.requestCount() == 1);
}

// Issue 29: operators of other systems saw a 200 with an empty or short body, framed as whole, when a runner
// had stopped in the middle of the head of its answer.
TEST_CASE("A response whose head is cut short is not passed on as whole", "[hostile]")
{
    enum class End { Close, Reset };
    const std::string head = GENERATE(
            std::string("HTTP/1.1 200 OK\r\nX-Attempt-Id: id-%I\r\nX-Server-Seal: s\r\nContent-Length: 6\r\n"
                        "Server-Leaving: 0\r\n\r\n"),
            std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Server-Seal: s\r\n\r\n"),
            std::string("HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"),
            std::string("HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nConnection: close\r\n\r\n"));
    const End end = GENERATE(End::Close, End::Reset);
    const std::string path =
            GENERATE("/safe/a", "/unsafe/a", "/stream/a", "/generation/a", "/resumable/a", "/backed/a");
    INFO(path << " " << head);
    size_t cut = 1;
    GatewayFixture fixture([&](tcp::socket &connection, int, std::string) -> asio::awaitable<void> {
        co_await sendBytes(connection, head.substr(0, cut));
        if (end == End::Reset)
            connection.set_option(asio::socket_base::linger(true, 0));
        connection.close();
    });
    for (; cut < head.size(); ++cut) {
        const int before = fixture.runner.requestCount();
        const CallerView view = fixture.call(path, "id-" + std::to_string(cut));
        INFO("cut after " << cut << " bytes, status " << view.status);
        CHECK(fixture.runner.requestCount() > before);
        CHECK_FALSE((view.status == 200 && view.isComplete));
    }
}

// Guards against a runner that holds a call beyond its deadline by sending without a pause: the timeout of a
// connection only ends a read that waits.
TEST_CASE("A call ends at its deadline although its runner goes on sending", "[hostile]")
{
    GatewayFixture fixture([](tcp::socket &connection, int, std::string) -> asio::awaitable<void> {
        if (co_await sendBytes(connection, Chunked))
            co_await sendEndlessly(connection, "1\r\na\r\n");
    });
    const CallerView view = fixture.call("/safe/a", "id-1");
    CHECK(view.status == 504);
    CHECK(view.body == R"({"error":"runner-silent"})");
}
