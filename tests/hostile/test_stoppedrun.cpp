#include "plannedgeneration.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;
using Continuation = PlannedGeneration::Continuation;
using Framing = ModelRunners::Framing;

namespace {

constexpr int EventCount = ModelRunners::EventCount;
constexpr auto EventInterval = ModelRunners::EventInterval;
constexpr auto LateReply = 400ms;
constexpr auto Notice = ModelRunners::Notice;

// Late responses to other requests, and one that only precedes the reply.
const std::string StrayNoRun = "HTTP/1.1 404 None\r\nX-Attempt-Id: id-0\r\nContent-Length: 2\r\n\r\n{}";
const std::string StrayCopy = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-0\r\nContent-Length: 23\r\n\r\n"
                              R"({"handle":"x","made":1})";
const std::string OtherRunner = "HTTP/1.1 404 None\r\nX-Instance-Id: i-0\r\nContent-Length: 2\r\n\r\n{}";
const std::string Interim = "HTTP/1.1 102 Processing\r\n\r\n";
const std::string NotExecuted = "X-Not-Executed: 1\r\n";

/// When the runner replies to the call, counted from the end of the stream.
enum class ReplyTime { Before, After, Late, Never };

using enum ModelRunners::Framing;
using enum PlannedGeneration::Continuation;
using enum ReplyTime;
using enum RunPlan::End;

struct StopCase
{
    const char *name;
    Framing framing;
    RunPlan::End end;
    ReplyTime replyTime;
    /// Status of the reply and, if it has one, the name of the copy in it.
    unsigned status;
    std::string handle;
    /// The runner with the copy, and the one that has been called.
    Continuation other;
    Continuation source;
    /// The caller gets the whole stream.
    bool isWhole;
    /// Whether a continuation is tried.
    bool isContinued = true;
    /// Sent before the reply to the call, on the same connection.
    std::string beforeReply{};
    /// Further fields of the reply.
    std::string replyFields{};
    /// Reply to the next call: the status, 0 for none, and the name of the copy. Those after it get 404.
    unsigned furtherStatus = 404;
    std::string furtherHandle{};
};

/// A runner that leaves, with a generation that has a copy at another one, and is called to end the run.
void stopRun(PlannedGeneration &generation, const StopCase &test)
{
    generation.runners.framing = test.framing;
    RunPlan &plan = generation.plans.emplace_back();
    plan.eventCount = 10;
    plan.end = test.end;
    plan.beforeReply = test.beforeReply;
    plan.replies = {{test.status, test.handle, 1, test.replyFields},
                    {test.furtherStatus, test.furtherHandle, 1}};
    if (test.replyTime != Before)
        plan.repliesAfter = generation.closed(0, test.replyTime == Late ? LateReply : 0ms);
    generation.copy = [](const ModelRequest &) { return CopyReply{200, "h", 1}; };
    generation.treat = [&](const ModelRequest &request) {
        const bool isSource = generation.isSource(request.runner);
        std::string kept = "h";
        for (const std::string &handle : {test.handle, test.furtherHandle})
            kept = isSource && !handle.empty() ? handle : kept;
        const Continuation continuation = isSource ? test.source : test.other;
        const bool isUnknown = continuation == Accepts && request.handle != kept;
        return isUnknown ? Refuses : continuation;
    };
}

void checkStoppedRun(const StopCase &test)
{
    INFO(test.name);
    PlannedGeneration generation(2);
    stopRun(generation, test);
    const CallerView view = generation.play();
    CHECK(generation.called(0)());
    checkStream(view, test.isWhole);
    CHECK((generation.continuationCount > 0) == test.isContinued);
}

} // namespace

// Guards against a part of a response without framing that is delivered as complete because its runner has
// closed the connection on the gateway's own call.
TEST_CASE("A run that was stopped by a call is not taken for complete", "[hostile]")
{
    const auto test = GENERATE(values<StopCase>({
            {"chunks", Chunks, BetweenEvents, Late, 200, "h", Accepts, Closes, true},
            {"late reply", None, BetweenEvents, Late, 200, "h", Accepts, Closes, true},
            {"reply before the end", None, BetweenEvents, Before, 200, "h", Accepts, Closes, true},
            {"no reply", None, BetweenEvents, Never, 0, "", Accepts, Closes, true},
            {"call in progress", None, BetweenEvents, After, 409, "", Accepts, Closes, true},
            {"no room for the copy", None, BetweenEvents, Before, 503, "k", Refuses, Accepts, true},
            {"no room, late", None, BetweenEvents, Late, 503, "k", Refuses, Accepts, true},
            {"no room, copy kept", None, BetweenEvents, After, 503, "k", Accepts, Closes, true},
            {"refused elsewhere", None, BetweenEvents, After, 200, "h", Refuses, Accepts, true},
            {"closed elsewhere", None, BetweenEvents, After, 200, "h", Closes, Closes, false},
            {"nobody accepts", None, BetweenEvents, After, 200, "h", Refuses, Refuses, false},
            {"nobody accepts, no reply", None, BetweenEvents, Never, 0, "", Refuses, Closes, false},
            {"inside an event", None, InsideEvent, After, 200, "h", Accepts, Closes, true},
            {"reset", None, Reset, After, 200, "h", Accepts, Closes, true},
            {"late reply to another call", None, BetweenEvents, After, 200, "h", Accepts, Closes, true, true,
             StrayNoRun},
            {"late reply to another call, nobody accepts", None, BetweenEvents, After, 200, "h", Refuses,
             Refuses, false, true, StrayNoRun},
            {"reply of another runner", None, BetweenEvents, After, 200, "h", Accepts, Closes, true, true,
             OtherRunner},
            {"interim response", None, BetweenEvents, After, 200, "h", Accepts, Closes, true, true, Interim},
            {"no room and no name, nobody accepts", None, BetweenEvents, After, 503, "", Refuses, Refuses,
             false},
    }));
    checkStoppedRun(test);
}

// Guards against a failure in place of what a runner has completed, if the call that ends the run arrives
// too late.
TEST_CASE("A run that ended before the call to stop it is complete", "[hostile]")
{
    const auto test = GENERATE(values<StopCase>({
            {"chunks", Chunks, Complete, After, 404, "", Refuses, Closes, true, false},
            {"reply before the end", None, Complete, Before, 404, "", Refuses, Closes, true, false},
            {"reply after the end", None, Complete, After, 404, "", Refuses, Closes, true, false},
            {"late reply, nobody continues", None, Complete, Late, 404, "", Refuses, Closes, true},
            {"late reply, copy used", None, Complete, Late, 404, "", Accepts, Closes, true},
            {"call refused", None, Complete, Before, 429, "", Refuses, Closes, true, false},
            {"call not executed", None, Complete, Before, 503, "", Refuses, Closes, true, false, "",
             NotExecuted},
            {"interim response", None, Complete, After, 404, "", Refuses, Closes, true, false, Interim},
            {"late reply to another call", None, Complete, After, 404, "", Refuses, Closes, true, false,
             StrayCopy},
    }));
    checkStoppedRun(test);
}

// Guards against a part of a response without framing that is delivered as complete because its runner has
// refused the call that should stop the run, and stops it later.
TEST_CASE("A run whose runner has refused the call to stop it is not taken for complete", "[hostile]")
{
    const std::string paused = NotExecuted + "Retry-After: 1\r\n";
    const auto test = GENERATE_COPY(values<StopCase>({
            {"copied later", None, BetweenEvents, Before, 429, "", Accepts, Closes, true, true, "", "", 200,
             "h"},
            {"no room later", None, BetweenEvents, Before, 421, "", Refuses, Accepts, true, true, "", "", 503,
             "k"},
            {"not executed, no room later", None, BetweenEvents, Before, 503, "", Accepts, Closes, true, true,
             "", NotExecuted, 503, "k"},
            {"no reply later", None, BetweenEvents, Before, 429, "", Accepts, Closes, true, true, "", "", 0},
            {"refused again", None, BetweenEvents, Before, 429, "", Accepts, Closes, true, true, "", "", 429},
            {"paused", None, BetweenEvents, Before, 503, "", Accepts, Closes, true, true, "", paused},
            {"copied later, nobody accepts", None, BetweenEvents, Before, 429, "", Refuses, Refuses, false,
             true, "", "", 200, "h"},
            {"chunks", Chunks, BetweenEvents, Before, 429, "", Accepts, Closes, true, true, "", "", 200, "h"},
            {"inside an event", None, InsideEvent, Before, 429, "", Accepts, Closes, true, true, "", "", 200,
             "h"},
    }));
    checkStoppedRun(test);
}

// Guards against a part of a response without framing that is delivered as complete because events that a
// slow caller has held up seem to show that the run went on after the reply to the call.
TEST_CASE("A run that was stopped while its caller was slow is not taken for complete", "[hostile]")
{
    constexpr int StoppedAfter = EventCount / 2;
    const std::string fill(8000, 'x');
    const auto largeEvent = [&](int id) { return "id: " + std::to_string(id) + "\ndata: " + fill + "\n\n"; };
    int source = 0;
    bool isCopied = false;
    bool isStopped = false;
    std::optional<ModelRunners> runners;
    runners.emplace(
            [&](tcp::socket &connection, ModelRequest request) -> asio::awaitable<void> {
                if (request.kind == ModelRequest::Kind::Copy) {
                    co_await sendReply(connection, 200, "h", 1);
                    isCopied = true;
                } else if (request.kind == ModelRequest::Kind::Stop) {
                    co_await sendReply(connection, std::exchange(isStopped, true) ? 404 : 409);
                } else if (source == 0) {
                    source = request.runner;
                    co_await runners->sendHead(connection);
                    for (int id = 1; id <= StoppedAfter; ++id)
                        co_await sendBytes(connection, largeEvent(id));
                    while (!isStopped) {
                        runners->announceStop(source);
                        co_await wait(EventInterval);
                    }
                    connection.close();
                    co_await wait(LateReply);
                    runners->fixture.areCallersReading = true;
                } else {
                    co_await runners->sendHead(connection);
                    for (int id = request.lastEventId + 1; id <= EventCount; ++id)
                        co_await sendBytes(connection, largeEvent(id));
                    connection.close();
                }
            },
            2);
    runners->fixture.areCallersReading = false;
    const CallerView view = runners->call("/generation/a");
    std::string expected;
    for (int id = 1; id <= EventCount; ++id)
        expected += largeEvent(id);
    REQUIRE(isCopied);
    REQUIRE(isStopped);
    CHECK(view.isComplete);
    CHECK((view.body == expected));
}

// Guards against a runner that works on because the call that should stop the run was lost, as the stream
// goes on elsewhere.
TEST_CASE("A run is called to end again if the first call was lost and its stream is reset", "[hostile]")
{
    const Framing framing = GENERATE(Chunks, None);
    const StopCase test{"lost call", framing, Reset, Never, 0, "", Accepts, Closes, true};
    PlannedGeneration generation(2);
    stopRun(generation, test);
    const CallerView view = generation.play();
    checkStream(view, true);
    generation.runners.fixture.runUntil([&] { return generation.callCount() > 1; });
}

// Guards against a stream that is cut because it moves between its leaving runner, which takes it back each
// time, and others that refuse each copy.
TEST_CASE("A generation that returned to its runner is not moved to those that refuse it", "[hostile]")
{
    const int runnerCount = GENERATE(2, 4);
    PlannedGeneration generation(runnerCount);
    RunPlan first;
    first.replies = {{200, "h", 1}};
    // A call that meets the second run fails the test, whatever the reply.
    RunPlan second;
    second.eventCount = 0;
    second.departure = RunPlan::Departure::None;
    generation.plans = {first, second};
    int copyCount = 0;
    generation.copy = [&](const ModelRequest &) {
        ++copyCount;
        return generation.runs.back().isClosed ? CopyReply{404} : CopyReply{200, "h", 1};
    };
    generation.treat = [&](const ModelRequest &request) {
        return generation.isSource(request.runner) ? Accepts : Refuses;
    };
    const CallerView view = generation.play();
    checkStream(view, true);
    CHECK(copyCount < runnerCount);
    CHECK(generation.runs.front().callCount + generation.runs.back().callCount == 1);
    CHECK(generation.runs.size() == 2);
}

namespace {

/// A runner that closes a stream without framing by itself, as it is leaving or speaks HTTP/1.0, and replies
/// to calls about the run after a delay.
class ClosingRunner
{
public:
    ClosingRunner(std::string httpVersion, Duration delay)
        : fixture([this](tcp::socket &connection, int, std::string message) {
            return this->respond(connection, std::move(message));
        })
        , version(std::move(httpVersion))
        , replyDelay(delay)
    {}

    GatewayFixture fixture;
    int streamCount = 0;
    /// Whether the runner has announced its stop, and refuses connections after it.
    bool isStopDue = false;
    bool refusesConnections = false;
    std::chrono::steady_clock::time_point closedAt{};

private:
    static constexpr int ShortStream = 12;

    asio::awaitable<void> respond(tcp::socket &connection, std::string message)
    {
        const ModelRequest request = ModelRequest::parse(message);
        if (request.kind == ModelRequest::Kind::Copy || request.kind == ModelRequest::Kind::Stop) {
            const bool isStop = request.kind == ModelRequest::Kind::Stop;
            if (isStop)
                co_await wait(this->replyDelay);
            co_await sendReply(connection, isStop && !this->isStopDue ? 404 : 503);
            co_return;
        }
        const bool isFirst = ++this->streamCount == 1;
        co_await sendBytes(connection, "HTTP/" + this->version + " 200 OK\r\nX-Server-Seal: s\r\n\r\n");
        for (int id = 1; isFirst && id <= ShortStream; ++id) {
            co_await sendBytes(connection, eventsBetween(id, id));
            if (id == ShortStream / 2 && this->isStopDue)
                this->fixture.announceStop(150ms);
            else if (id == ShortStream / 2)
                this->fixture.suspectStop();
            co_await wait(EventInterval);
        }
        if (this->refusesConnections)
            this->fixture.runner.end();
        this->closedAt = std::chrono::steady_clock::now();
        connection.close();
    }

    std::string version;
    Duration replyDelay;
};

} // namespace

// Guards against a complete stream whose end is held up, or that is generated again, because a leaving runner
// is slow to confirm it.
TEST_CASE("A runner that confirms the end of a stream late does not hold it up", "[hostile]")
{
    const std::string path = GENERATE("/generation/a", "/resumable/a");
    const auto delay = GENERATE(5ms, 200ms, 10000ms);
    INFO(path << ", " << delay.count());
    ClosingRunner runner("1.1", delay);
    const CallerView view = runner.fixture.call(path, "id-1");
    CHECK(view.isComplete);
    // A resumable stream is settled by another runner if its own does not reply.
    const bool mayResume = path == "/resumable/a" && delay > 1s;
    CHECK(runner.streamCount == (mayResume ? 2 : 1));
    // Callers disconnect after two seconds or more.
    CHECK(std::chrono::steady_clock::now() - runner.closedAt < 2s);
}

// Guards against a part of a stream that is delivered as complete because its runner has stopped at the
// announced time and cannot tell.
TEST_CASE("A stream that ends as its runner stops is not taken for complete", "[hostile]")
{
    const bool refusesConnections = GENERATE(false, true);
    ClosingRunner runner("1.1", 0ms);
    runner.isStopDue = true;
    runner.refusesConnections = refusesConnections;
    const CallerView view = runner.fixture.call("/generation/a", "id-1");
    CHECK(view.status == 200);
    CHECK_FALSE(view.isComplete);
}

// Guards against chunks under a version that has none: a caller would take the chunk sizes for content, and a
// stream that is cut for complete.
TEST_CASE("Callers get HTTP/1.1 whatever version the runner speaks", "[hostile]")
{
    const std::string path = GENERATE("/safe/a", "/generation/a", "/stream/a");
    INFO(path);
    ClosingRunner runner("1.0", 0ms);
    const CallerView view = runner.fixture.call(path, "id-1");
    CHECK(view.status == 200);
    CHECK(view.version == 11);
    CHECK(view.isComplete);
}

// Guards against a runner that works on because another one was called in its place.
TEST_CASE("The runner that a stream has left is called to end the run, not the one that has failed",
          "[hostile]")
{
    int sourceCallCount = 0;
    // Either runner may be the first.
    int source = 0;
    std::optional<ModelRunners> runners;
    runners.emplace(
            [&](tcp::socket &connection, ModelRequest request) -> asio::awaitable<void> {
                if (request.kind != ModelRequest::Kind::Run) {
                    sourceCallCount += request.runner == source ? 1 : 0;
                    co_await sendReply(connection, 404);
                } else if (source == 0) {
                    source = request.runner;
                    co_await runners->sendHead(connection);
                    co_await runners->sendPart(connection, eventsBetween(1, 1));
                    co_await wait(4s);
                } else {
                    co_await wait(350ms);
                    connection.close();
                }
            },
            2);
    CHECK_FALSE(runners->fixture.call("/resumable/a", ModelRunners::RequestId).isComplete);
    runners->fixture.runUntil([&] { return sourceCallCount > 0; });
}
