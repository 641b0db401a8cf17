#include "gatewayfixture.h"
#include "libserving/serving.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

const std::string Sealed = "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n";
const std::string Event = "id: 1\ndata:\n\n";
const std::string NextEvent = "id: 2\ndata:\n\n";

std::string withLength(const std::string &head, const std::string &body)
{
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string inChunks(const std::string &body)
{
    return Sealed + "Transfer-Encoding: chunked\r\n\r\nd\r\n" + body + "\r\n0\r\n\r\n";
}

struct EarlyResponse
{
    const char *name;
    std::string bytes;
    /// Bytes of the request's body that the runner reads before it responds.
    size_t readBytes = 0;
    /// The runner ends its side of the connection before it resets.
    bool isEnded = false;
    std::chrono::milliseconds delay{};
};

asio::awaitable<void> respondAndReset(tcp::socket &connection, const EarlyResponse &response)
{
    co_await sendBytes(connection, response.bytes);
    if (response.isEnded)
        connection.shutdown(tcp::socket::shutdown_send);
    if (response.delay > 0ms) {
        asio::steady_timer timer(connection.get_executor(), response.delay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    resetConnection(connection);
}

/// A gateway whose callers upload a long body to a runner that resets the connection meanwhile.
struct UploadFixture : GatewayFixture
{
    explicit UploadFixture(const EarlyResponse &response)
        : UploadFixture([&response](tcp::socket &connection, int, std::string) {
            return respondAndReset(connection, response);
        })
    {
        this->runner.maxBodyBytes = response.readBytes;
    }

    explicit UploadFixture(ScriptedRunner::Script script)
        : GatewayFixture(std::move(script))
    {
        this->body.assign(LargeBodyBytes, 'u');
        this->runner.maxBodyBytes = 0;
    }
};

const auto CutResponses = {
        EarlyResponse{"no length, closing", Sealed + "Connection: close\r\n\r\n" + Event},
        EarlyResponse{"no length", Sealed + "\r\n" + Event},
        EarlyResponse{"no length, no body", Sealed + "\r\n"},
        EarlyResponse{"no length, later", Sealed + "\r\n" + Event, 0, false, 50ms},
        EarlyResponse{"HTTP/1.0", "HTTP/1.0 200 OK\r\nX-Server-Seal: s\r\n\r\n" + Event},
        EarlyResponse{"after an interim response", "HTTP/1.1 100 Continue\r\n\r\n" + Sealed + "\r\n" + Event},
        EarlyResponse{"404 without length", "HTTP/1.1 404 None\r\nX-Server-Seal: s\r\n\r\n" + Event},
        EarlyResponse{"500 without length", "HTTP/1.1 500 Error\r\nX-Server-Seal: s\r\n\r\n" + Event},
        EarlyResponse{"503 without length and promise", "HTTP/1.1 503 Full\r\n\r\n" + Event},
        EarlyResponse{"after 1 KB of the body", Sealed + "\r\n" + Event, 1000},
        EarlyResponse{"after 500 KB of the body", Sealed + "\r\n" + Event, 500'000},
        EarlyResponse{"end before the reset", Sealed + "\r\n" + Event, 0, true},
        EarlyResponse{"end before the reset, later", Sealed + "\r\n" + Event, 0, true, 50ms},
        EarlyResponse{"length not reached", Sealed + "Content-Length: 14\r\n\r\n" + Event},
        EarlyResponse{"chunks without their end",
                      Sealed + "Transfer-Encoding: chunked\r\n\r\nd\r\n" + Event + "\r\n"},
        EarlyResponse{"no response", ""},
};

} // namespace

// Guards against a part of a response that is delivered as complete: the failed write reports the reset, and
// later reads report the end of the connection, which would end a response without framing.
TEST_CASE("A response without framing is not complete if its upload was reset", "[hostile]")
{
    const std::string path =
            GENERATE("/safe/a", "/unsafe/a", "/stream/a", "/resumable/a", "/generation/a", "/backed/a");
    const auto test = GENERATE(values(CutResponses));
    INFO(path << ", " << test.name);
    UploadFixture fixture(test);
    const CallerView view = fixture.call(path, "id-1");
    CHECK(fixture.runner.requestCount() >= 1);
    const bool isCall = path == "/safe/a" || path == "/unsafe/a";
    const bool isStreamCut = !isCall && view.status == 200 && !view.isComplete;
    CHECK((isStreamCut || view.status == 502));
    if (isStreamCut)
        CHECK(Event.starts_with(view.body));
    else
        CHECK(view.body.find("data") == std::string::npos);
    if (path == "/unsafe/a" || path == "/generation/a")
        CHECK(fixture.runner.requestCount() == 1);
}

// Guards against responses that are known to be whole, and that are lost with the connection.
TEST_CASE("A response with framing is delivered although its upload was reset", "[hostile]")
{
    const std::string path =
            GENERATE("/safe/a", "/unsafe/a", "/stream/a", "/resumable/a", "/generation/a", "/backed/a");
    const auto [name, status, bytes] = GENERATE(table<const char *, unsigned, std::string>({
            {"length", 200, withLength(Sealed, Event)},
            {"chunks", 200, inChunks(Event)},
            {"404 with length", 404, withLength("HTTP/1.1 404 None\r\nX-Server-Seal: s\r\n", Event)},
            {"413 with length", 413, withLength("HTTP/1.1 413 Large\r\nX-Server-Seal: s\r\n", Event)},
    }));
    INFO(path << ", " << name);
    const EarlyResponse response{name, bytes};
    UploadFixture fixture(response);
    const CallerView view = fixture.call(path, "id-1");
    CHECK(view.status == status);
    CHECK(view.isComplete);
    CHECK(view.body == Event);
    CHECK(fixture.runner.requestCount() == 1);
}

// Guards against a refusal whose promise is lost with the end of its body: a request that may run once only
// would not be sent to another runner.
TEST_CASE("A refusal is valid although its upload was reset", "[hostile]")
{
    const std::string path = GENERATE("/unsafe/a", "/generation/a", "/safe/a", "/resumable/a");
    const std::string status = GENERATE("503 Full", "429 Many", "408 Late", "421 Other");
    const bool hasLength = GENERATE(false, true);
    INFO(path << ", " << status << (hasLength ? ", length" : ", no length"));
    const std::string head = "HTTP/1.1 " + status + "\r\nX-Attempt-Id: id-1\r\nX-Not-Executed: 1\r\n";
    const EarlyResponse refusal{"refusal", hasLength ? withLength(head, "full") : head + "\r\nfull"};
    UploadFixture fixture([&](tcp::socket &connection, int count, std::string) -> asio::awaitable<void> {
        if (count == 1)
            co_await respondAndReset(connection, refusal);
        else
            co_await sendBytes(connection, withLength(Sealed, Event));
    });
    const CallerView view = fixture.call(path, "id-1");
    CHECK(view.status == 200);
    CHECK(view.isComplete);
    CHECK(view.body == Event);
    CHECK(fixture.runner.requestCount() == 2);
}

// Guards against a stream that becomes complete because the runner that continues it resets the upload.
TEST_CASE("A continuation without framing is not complete if its upload was reset", "[hostile]")
{
    const std::string path = GENERATE("/stream/a", "/resumable/a", "/backed/a");
    const std::string continuation = GENERATE(as<std::string>{}, "", NextEvent);
    INFO(path << ", " << continuation);
    UploadFixture fixture([&](tcp::socket &connection, int count, std::string) -> asio::awaitable<void> {
        const std::string first = Sealed + "Transfer-Encoding: chunked\r\n\r\nd\r\n" + Event + "\r\n";
        const EarlyResponse response{"", count == 1 ? first : Sealed + "\r\n" + continuation};
        co_await respondAndReset(connection, response);
    });
    const CallerView view = fixture.call(path, "id-1");
    // A generation that has continued may continue once more from its next backup.
    CHECK(fixture.runner.requestCount() >= 2);
    CHECK(view.status == 200);
    CHECK_FALSE(view.isComplete);
    CHECK(view.body == Event + continuation);
}

// Guards against a request that fails although another runner can serve it.
TEST_CASE("A resumable stream goes on elsewhere after its upload was reset", "[hostile]")
{
    const std::string path = GENERATE("/stream/a", "/resumable/a");
    UploadFixture fixture([&](tcp::socket &connection, int count, std::string) -> asio::awaitable<void> {
        const EarlyResponse cut{"", Sealed + "\r\n" + Event};
        if (count == 1)
            co_await respondAndReset(connection, cut);
        else
            co_await sendBytes(connection, withLength(Sealed, NextEvent));
    });
    const CallerView view = fixture.call(path, "id-1");
    CHECK(view.status == 200);
    CHECK(view.isComplete);
    CHECK(view.body == Event + NextEvent);
}

// Guards against such an end as evidence that the runner is sound and the request harmless.
TEST_CASE("A runner that resets an upload has lost the run", "[hostile]")
{
    const std::string path = GENERATE("/safe/a", "/unsafe/a", "/stream/a", "/generation/a");
    const EarlyResponse cut{"", Sealed + "\r\n" + Event};
    UploadFixture fixture(cut);
    fixture.call(path, "id-1");
    CHECK(fixture.gateway.possibleCrashes(requestFingerprint("", path, fixture.body)) > 0);
    uint32_t failures = 0;
    for (const RunnerEntry &entry : fixture.runners)
        failures += fixture.gateway.runners.find(entry.id)->consecutiveFailures;
    CHECK(failures == static_cast<uint32_t>(fixture.runner.requestCount()));
}
