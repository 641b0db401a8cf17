#include "modelrequest.h"

#include "gateway/clock.h"

#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace eelgrasslift;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr int EventCount = 60;
constexpr auto EventInterval = 20ms;

const std::string StreamHead = "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string Refusal = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

std::string allEvents()
{
    return eventsBetween(1, EventCount);
}

/// How the other runner treats a generation that is continued there.
enum class OtherRunner { Refuses, RefusesLate, Closes, Accepts, AcceptsLate };

struct SwitchCase
{
    const char *name;
    std::string path;
    /// The runner announces after its tenth event that it stops this soon, which it does not; 0: it announces
    /// nothing.
    Duration noticePeriod;
    /// Pause of the first runner after its tenth event.
    Duration pause;
    OtherRunner other;
    /// Whether the generation ends at the other runner.
    bool isMoved;
    /// Health checks say after the tenth event that the first runner is leaving.
    bool seemsLeaving = false;
};

/// Plays the part of all runners: a generation runs at one of them, which goes on, and the gateway tries to
/// continue it at another one.
class GenerationScript
{
public:
    explicit GenerationScript(const SwitchCase &test)
        : test(test)
        , fixture([this](tcp::socket &connection, int, std::string head) {
            return this->respond(connection, std::move(head));
        })
    {}

    CallerView play()
    {
        const CallerView view = this->fixture.call(this->test.path, "id-1");
        this->fixture.runUntil([this] { return this->hasFirstRunnerEnded; });
        return view;
    }

    GatewayFixture &gateway() { return this->fixture; }

    int continuationCount = 0;
    /// Calls that free a copy.
    int releaseCount = 0;
    /// Time from the first continuation until the first runner noticed that its connection was closed.
    std::optional<std::chrono::steady_clock::duration> overlap;

private:
    asio::awaitable<void> respond(tcp::socket &connection, std::string head)
    {
        if (head.starts_with("POST /v1/kv-move"))
            co_await sendReply(connection, 200, "h", 1);
        else if (head.starts_with("DELETE /v1/kv-handle/h")) {
            ++this->releaseCount;
            co_await sendReply(connection, 200);
        } else if (this->isStarted)
            co_await this->continueGeneration(connection, head);
        else
            co_await this->generate(connection);
    }

    asio::awaitable<void> generate(tcp::socket &connection)
    {
        this->isStarted = true;
        bool isOpen = co_await sendBytes(connection, StreamHead);
        for (int id = 1; id <= EventCount && isOpen; ++id) {
            isOpen = co_await sendBytes(connection, chunk(eventsBetween(id, id)));
            if (id == 10 && this->test.noticePeriod > Duration::zero())
                this->fixture.announceStop(this->test.noticePeriod);
            if (id == 10 && this->test.seemsLeaving)
                this->fixture.suspectStop();
            co_await wait(id == 10 ? this->test.pause : EventInterval);
        }
        if (isOpen)
            co_await sendBytes(connection, "0\r\n\r\n");
        else if (this->continuedAt)
            this->overlap = std::chrono::steady_clock::now() - *this->continuedAt;
        this->hasFirstRunnerEnded = true;
    }

    asio::awaitable<void> continueGeneration(tcp::socket &connection, const std::string &head)
    {
        ++this->continuationCount;
        if (!this->continuedAt)
            this->continuedAt = std::chrono::steady_clock::now();
        if (this->test.other == OtherRunner::RefusesLate)
            co_await wait(400ms);
        if (this->test.other == OtherRunner::Refuses || this->test.other == OtherRunner::RefusesLate) {
            co_await sendBytes(connection, Refusal);
            co_return;
        }
        if (this->test.other == OtherRunner::Closes) {
            connection.close();
            co_return;
        }
        if (this->test.other == OtherRunner::AcceptsLate)
            co_await wait(700ms);
        const std::string lastId = valueOf(head, "Last-Event-Id");
        REQUIRE_FALSE(lastId.empty());
        co_await sendBytes(connection, StreamHead);
        for (int id = std::stoi(lastId) + 1; id <= EventCount; ++id)
            co_await sendBytes(connection, chunk(eventsBetween(id, id)));
        co_await sendBytes(connection, "0\r\n\r\n");
    }

    SwitchCase test;
    bool isStarted = false;
    bool hasFirstRunnerEnded = false;
    std::optional<std::chrono::steady_clock::time_point> continuedAt;
    GatewayFixture fixture;
};

} // namespace

// Guards against an answer that is cut because the gateway had left a runner that went on, for one that did
// not take the generation over.
TEST_CASE("A generation stays at its runner until another one has accepted it", "[hostile]")
{
    const auto test = GENERATE(values<SwitchCase>({
            {"leaving, backup refuses", "/backed/a", 250ms, 20ms, OtherRunner::Refuses, false},
            {"leaving, backup closes", "/backed/a", 250ms, 20ms, OtherRunner::Closes, false},
            {"leaving, backup accepts", "/backed/a", 250ms, 20ms, OtherRunner::Accepts, true},
            {"leaving, backup accepts late", "/backed/a", 250ms, 20ms, OtherRunner::AcceptsLate, true},
            {"leaving, copy refused", "/generation/a", 500ms, 20ms, OtherRunner::Refuses, false},
            {"leaving, copy's runner closes", "/generation/a", 500ms, 20ms, OtherRunner::Closes, false},
            {"leaving, copy accepted", "/generation/a", 500ms, 20ms, OtherRunner::Accepts, true},
            {"slow, backup refuses", "/backed/a", 0ms, 300ms, OtherRunner::Refuses, false},
            {"slow, backup closes", "/backed/a", 0ms, 300ms, OtherRunner::Closes, false},
            {"slow, backup accepts", "/backed/a", 0ms, 300ms, OtherRunner::Accepts, true},
            {"slow and resumable, refused", "/stream/a", 0ms, 900ms, OtherRunner::Refuses, false},
            {"slow and resumable, closed", "/stream/a", 0ms, 900ms, OtherRunner::Closes, false},
            {"slow, backup refuses late", "/backed/a", 0ms, 200ms, OtherRunner::RefusesLate, false},
            {"slow and resumable, refused late", "/stream/a", 0ms, 800ms, OtherRunner::RefusesLate, false},
            {"slow and resumable, accepted", "/stream/a", 0ms, 900ms, OtherRunner::Accepts, true},
    }));
    INFO(test.name);
    GenerationScript script(test);
    const CallerView view = script.play();
    CHECK(view.status == 200);
    CHECK(view.isComplete);
    CHECK(view.body == allEvents());
    CHECK(script.continuationCount > 0);
    CHECK(script.overlap.has_value() == test.isMoved);
    // The users allow two runners to work on one request for 400 ms.
    if (script.overlap)
        CHECK(*script.overlap < 400ms);
}

namespace {

/// How a stream comes to leave the runner that works on it.
enum class Departure { Stop, StopWithoutTime, Stall, LostConnection, CallerDisconnects };

struct RunEndCase
{
    const char *name;
    std::string path;
    Departure departure;
    /// Whether the stream goes on at another runner.
    bool isContinued;
};

/// A runner that works on a generation to its end, whatever happens to the connection, unless it is called to
/// end the run or stops; and another one that continues it.
class StubbornRun
{
public:
    explicit StubbornRun(const RunEndCase &test)
        : fixture([this](tcp::socket &connection, int, std::string message) {
            return this->respond(connection, std::move(message));
        })
        , test(test)
    {}

    GatewayFixture fixture;
    std::optional<std::chrono::steady_clock::time_point> continuedAt;
    std::optional<std::chrono::steady_clock::time_point> leftAt;
    std::optional<std::chrono::steady_clock::time_point> workedUntil;
    int releaseCount = 0;

private:
    static constexpr auto Notice = 600ms;
    /// The work lasts this long after the tenth event.
    static constexpr auto WorkTime = 2000ms;

    asio::awaitable<void> respond(tcp::socket &connection, std::string message)
    {
        if (message.starts_with("POST /v1/kv-move")) {
            const bool endsRun = message.find(R"("last":true)") != std::string::npos;
            const bool isRunning = this->isStarted && !this->workedUntil;
            this->isEnded = this->isEnded || endsRun;
            co_await sendReply(connection, isRunning ? 200 : 404, isRunning ? "h" : "", 1);
        } else if (message.starts_with("DELETE /v1/kv-handle/h")) {
            ++this->releaseCount;
            co_await sendReply(connection, 200);
        } else if (this->isStarted) {
            this->continuedAt = std::chrono::steady_clock::now();
            const std::string lastId = valueOf(message, "Last-Event-Id");
            REQUIRE_FALSE(lastId.empty());
            co_await sendBytes(connection, StreamHead);
            for (int id = std::stoi(lastId) + 1; id <= EventCount; ++id)
                co_await sendBytes(connection, chunk(eventsBetween(id, id)));
            co_await sendBytes(connection, "0\r\n\r\n");
        } else {
            co_await this->work(connection);
        }
    }

    asio::awaitable<void> work(tcp::socket &connection)
    {
        this->isStarted = true;
        co_await sendBytes(connection, StreamHead);
        for (int id = 1; id <= 10; ++id) {
            co_await sendBytes(connection, chunk(eventsBetween(id, id)));
            co_await wait(EventInterval);
        }
        const auto start = std::chrono::steady_clock::now();
        this->leftAt = start;
        if (this->test.departure == Departure::Stop)
            this->fixture.announceStop(Notice);
        if (this->test.departure == Departure::StopWithoutTime)
            this->fixture.suspectStop();
        if (this->test.departure == Departure::LostConnection)
            connection.close();
        if (this->test.departure == Departure::CallerDisconnects)
            this->fixture.lastSession()->abandon();
        const bool stops =
                this->test.departure == Departure::Stop || this->test.departure == Departure::StopWithoutTime;
        int id = 11;
        bool isOpen = stops;
        while (!this->isEnded && std::chrono::steady_clock::now() < start + WorkTime &&
               !(stops && std::chrono::steady_clock::now() >= start + Notice)) {
            if (isOpen && id < EventCount) {
                isOpen = co_await sendBytes(connection, chunk(eventsBetween(id, id)));
                ++id;
            }
            co_await wait(EventInterval);
        }
        this->workedUntil = std::chrono::steady_clock::now();
        connection.close();
    }

    RunEndCase test;
    bool isStarted = false;
    bool isEnded = false;
};

} // namespace

// Guards against a generation that two runners work on: one that it has left need not notice that, since not
// every runner ends a run when its connection closes (review, case 2).
TEST_CASE("A runner that a generation has left works on it no longer", "[hostile]")
{
    const auto test = GENERATE(values<RunEndCase>({
            {"stop, with a backup", "/backed/a", Departure::Stop, true},
            {"stop, with a copy", "/generation/a", Departure::Stop, true},
            {"stop at an unknown time, with a backup", "/backed/a", Departure::StopWithoutTime, true},
            {"stop at an unknown time, with a copy", "/generation/a", Departure::StopWithoutTime, true},
            {"stall, with a backup", "/backed/a", Departure::Stall, true},
            {"stall, resumable", "/resumable/a", Departure::Stall, true},
            {"connection lost, with a backup", "/backed/a", Departure::LostConnection, true},
            {"connection lost, resumable", "/resumable/a", Departure::LostConnection, true},
            {"connection lost, no continuation", "/generation/a", Departure::LostConnection, false},
            {"caller disconnects", "/generation/a", Departure::CallerDisconnects, false},
    }));
    INFO(test.name);
    StubbornRun run(test);
    const CallerView view = run.fixture.call(test.path, "id-1");
    run.fixture.runUntil([&] { return run.workedUntil.has_value(); });
    CHECK(view.isComplete == test.isContinued);
    REQUIRE(run.continuedAt.has_value() == test.isContinued);
    const auto from = run.continuedAt ? *run.continuedAt : *run.leftAt;
    // As specified by the users, for two runners, and for a caller that has left.
    CHECK(*run.workedUntil - from < (test.isContinued ? 400ms : 500ms));
}

// Guards against a generation that is lost because its runner has ended it for a copy that the other runner
// does not accept.
TEST_CASE("A generation goes back to its runner if the copy elsewhere is refused", "[hostile]")
{
    std::string source;
    bool isEnded = false;
    int refusedCount = 0;
    int returnCount = 0;
    GatewayFixture *gateway = nullptr;
    GatewayFixture fixture([&](tcp::socket &connection, int, std::string message) -> asio::awaitable<void> {
        if (message.starts_with("POST /v1/kv-move")) {
            isEnded = isEnded || message.find(R"("last":true)") != std::string::npos;
            co_await sendReply(connection, 200, "h", 1);
            co_return;
        }
        const std::string id = valueOf(message, "X-Expect-Instance");
        if (source.empty()) {
            source = id;
            co_await sendBytes(connection, StreamHead);
            for (int number = 1; !isEnded; ++number) {
                co_await sendBytes(connection, chunk(eventsBetween(number, number)));
                if (number == 10)
                    gateway->announceStop(2000ms);
                co_await wait(EventInterval);
            }
            connection.close();
            co_return;
        }
        if (id != source) {
            ++refusedCount;
            co_await sendRefusal(connection);
            co_return;
        }
        ++returnCount;
        CHECK(message.find("Kv-From: " + gateway->runner.address() + "/h\r\n") != std::string::npos);
        const int first = std::stoi(valueOf(message, "Last-Event-Id")) + 1;
        co_await sendBytes(connection, StreamHead);
        for (int number = first; number <= EventCount; ++number)
            co_await sendBytes(connection, chunk(eventsBetween(number, number)));
        co_await sendBytes(connection, "0\r\n\r\n");
    });
    gateway = &fixture;
    const CallerView view = fixture.call("/generation/a", "id-1");
    CHECK(view.isComplete);
    CHECK(view.body == allEvents());
    CHECK(refusedCount > 0);
    CHECK(returnCount == 1);
}

// Guards against the memory that a copy occupies at its destination for seconds after the generation has
// ended at its own runner.
TEST_CASE("A copy that a generation did not need is freed", "[hostile]")
{
    GenerationScript script(
            {"ends before the stop", "/generation/a", 2500ms, 20ms, OtherRunner::Accepts, false});
    const CallerView view = script.play();
    CHECK(view.isComplete);
    CHECK(script.continuationCount == 0);
    script.gateway().runUntil([&] { return script.releaseCount > 0; });
}

// Guards against an answer that is cut because a slow runner was left without a retry in the shared budget.
TEST_CASE("A slow resumable stream stays at its runner if there is no retry left", "[hostile]")
{
    GenerationScript script({"no retry", "/stream/a", 0ms, 900ms, OtherRunner::Accepts, false});
    auto &budget = script.gateway().gateway.retryBudget;
    while (budget.tryAcquireRetry("p", steadyNow())) {
    }
    const CallerView view = script.play();
    CHECK(view.isComplete);
    CHECK(view.body == allEvents());
    CHECK(script.continuationCount == 0);
}

// Guards against a processor that is busy, and runners that go on working, while a placement for a caller
// that has left is under way.
TEST_CASE("A stream whose caller leaves during a switch ends without using the processor", "[hostile]")
{
    constexpr int MaxHandlers = 100;
    GenerationScript script({"caller leaves", "/resumable/a", 0ms, 2500ms, OtherRunner::Accepts, false});
    GatewayFixture &fixture = script.gateway();
    fixture.start("/resumable/a", "id-1", [](const CallerView &) {});
    const int placementsBefore = 1;
    fixture.runUntil([&] { return fixture.scheduler.placementCount == placementsBefore; });
    fixture.scheduler.placementDelay = 1200ms;
    fixture.runUntil([&] { return fixture.scheduler.placementCount > placementsBefore; });
    fixture.lastSession()->abandon();
    int handlerCount = 0;
    while (fixture.lastSession() && handlerCount <= MaxHandlers)
        handlerCount += static_cast<int>(fixture.io.run_one_for(1s));
    CHECK(handlerCount <= MaxHandlers);
    CHECK(script.continuationCount == 0);
    // The runner that was chosen meanwhile has not been asked.
    for (const char *id : {"m1", "m2"})
        CHECK(fixture.gateway.runners.find(id)->consecutiveFailures == 0);
    fixture.runUntil([&] { return fixture.runner.closedCount() > 0; });
}

// Guards against a request that is sent to more runners than its route allows, one after each stall.
TEST_CASE("A slow resumable stream is sent to no more runners than its route allows", "[hostile]")
{
    constexpr auto StallPause = 900ms;
    constexpr int EventsBeforeStall = 5;
    std::map<std::string, int> sends;
    GatewayFixture fixture([&](tcp::socket &connection, int, std::string head) -> asio::awaitable<void> {
        const ModelRequest request = ModelRequest::parse(head);
        ++sends[request.runnerId];
        const int first = request.lastEventId + 1;
        bool isOpen = co_await sendBytes(connection, StreamHead);
        for (int id = first; id <= EventCount && isOpen; ++id) {
            isOpen = co_await sendBytes(connection, chunk(eventsBetween(id, id)));
            if (id != first + EventsBeforeStall - 1)
                continue;
            co_await wait(StallPause);
        }
        if (isOpen)
            co_await sendBytes(connection, "0\r\n\r\n");
    });
    for (const char *id : {"p3", "p4"}) {
        fixture.runners.push_back(fixture.runners.front());
        fixture.runners.back().id = id;
    }
    fixture.gateway.applyFleet(fixture.runners);
    const CallerView view = fixture.call("/stream/a", "id-1");
    CHECK(view.isComplete);
    CHECK(view.body == allEvents());
    const auto route = fixture.gateway.routes()->match("h", "/stream/a");
    CHECK(sends.size() <= route->maxAttempts);
}

// Guards against the same if each runner breaks off in the middle of the stream (review, resumed streams).
TEST_CASE("A resumable stream that breaks off is sent to no more runners than its route allows", "[hostile]")
{
    std::set<std::string> runners;
    GatewayFixture fixture([&](tcp::socket &connection, int, std::string head) -> asio::awaitable<void> {
        runners.insert(valueOf(head, "X-Expect-Instance"));
        const int first = static_cast<int>(runners.size()) * 5;
        co_await sendBytes(connection, StreamHead + chunk(eventsBetween(first, first)));
        connection.close();
    });
    for (const char *id : {"p3", "p4"}) {
        fixture.runners.push_back(fixture.runners.front());
        fixture.runners.back().id = id;
    }
    fixture.gateway.applyFleet(fixture.runners);
    const CallerView view = fixture.call("/stream/a", "id-1");
    CHECK_FALSE(view.isComplete);
    CHECK(view.body == eventsBetween(5, 5) + eventsBetween(10, 10));
    CHECK(runners.size() == fixture.gateway.routes()->match("h", "/stream/a")->maxAttempts);
}

// Guards against an answer that is cut because health checks were wrong about a runner that went on, and the
// next one would have refused.
TEST_CASE("A generation whose runner only seems to leave is not cut by a late refusal", "[hostile]")
{
    const std::string path = GENERATE("/generation/a", "/backed/a");
    INFO(path);
    GenerationScript script({"seems to leave", path, 0ms, 20ms, OtherRunner::RefusesLate, false, true});
    const CallerView view = script.play();
    CHECK(view.isComplete);
    CHECK(view.body == allEvents());
    CHECK(script.continuationCount == 0);
}
