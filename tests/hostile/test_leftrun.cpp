#include "longruns.h"

#include "gateway/clock.h"
#include "gateway/task.h"

#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <algorithm>

using namespace eelgrasslift;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

// Two runners may work on one request for so long, as specified by the users.
constexpr Duration MaxOverlap = 400ms;

struct PauseCase
{
    const char *name;
    std::string path;
    int generations;
    /// Event before which the runner sends nothing for a while.
    int silentBefore;
    Duration silence;
    /// Event before which the runner asks for the pause, of this duration.
    int pausesBefore;
    Duration pause;
};

/// Puts the runner of the first run alone in service until all requests have begun there.
void beginAtOneRunner(LongRuns &play)
{
    GatewayFixture &fixture = play.runners.fixture;
    std::vector<RunnerEntry> first = fixture.runners;
    std::erase_if(first, [](const RunnerEntry &entry) { return entry.id.back() != '1'; });
    fixture.gateway.applyFleet(first);
}

} // namespace

// Guards against a generation that runs at two runners because the earlier one has asked for a pause and is
// not called to end its run, and against more calls than a runner takes during its pause (review, case 10).
TEST_CASE("A generation leaves a runner that pauses only if its run there can be ended", "[hostile]")
{
    const auto test = GENERATE(values<PauseCase>({
            {"backup", "/backed/a", 1, 30, 300ms, 5, 3s},
            {"backup, pause just begun", "/backed/a", 1, 20, 300ms, 20, 3s},
            {"resumable", "/resumable/a", 1, 30, 900ms, 5, 3s},
            {"four generations", "/resumable/a", 4, 30, 900ms, 5, 3s},
            {"four generations, pause just begun", "/resumable/a", 4, 20, 900ms, 20, 3s},
            {"four generations, pause ends before", "/resumable/a", 4, 30, 900ms, 5, 1s},
    }));
    INFO(test.name);
    LongRuns play(3);
    GatewayState &gateway = play.runners.fixture.gateway;
    const bool isBacked = test.path.starts_with("/backed/");
    if (!isBacked)
        beginAtOneRunner(play);
    std::optional<TimePoint> pausedAt;
    std::optional<TimePoint> silentAt;
    int source = 0;
    play.beforeEvent = [&](LongRuns::Run &run, int event) -> asio::awaitable<void> {
        const bool isFirst = std::ranges::none_of(play.runs, [&](const LongRuns::Run &other) {
            return other.requestId == run.requestId && other.begunAt < run.begunAt;
        });
        if (!isFirst)
            co_return;
        if (event == test.pausesBefore && !pausedAt) {
            source = run.runner;
            pausedAt = steadyNow();
            gateway.applyFleet(play.runners.fixture.runners);
            ResponseMetadata refusal;
            refusal.pause = test.pause;
            const std::string id = (isBacked ? "b" : "m") + std::to_string(source);
            gateway.recordPause(*gateway.runners.find(id), refusal, "id-refused");
        }
        if (event == test.silentBefore) {
            silentAt = silentAt.value_or(steadyNow());
            co_await wait(test.silence);
        }
    };
    const std::vector<CallerView> views = play.play(test.path, test.generations);
    REQUIRE(silentAt.has_value());
    for (const CallerView &view : views) {
        CHECK(view.isComplete);
        CHECK(view.body == ModelRunners::allEvents());
    }
    CHECK(play.longestOverlap() < MaxOverlap);
    // As specified by the users.
    CHECK(play.arrivalCount(source, *pausedAt + 500ms, *pausedAt + test.pause) <= 2);
}

namespace {

struct LostCallCase
{
    const char *name;
    std::string path;
    /// Time without an event at the first runner.
    Duration silence;
    /// From the beginning of that time, or of the continuation, until the runner resets new connections, and
    /// for how long it does.
    bool isFromContinuation;
    Duration resetsFrom;
    Duration resetsFor;
    /// Calls to end the run that the runner loses.
    int lostCalls;
    /// Whether the stream goes on elsewhere.
    bool isMoved;
};

} // namespace

// Guards against a generation that runs at two runners because the call that should end the earlier run was
// lost, or could not reach its runner (review, case 9).
TEST_CASE("A run that its stream has left is called to end until that is confirmed", "[hostile]")
{
    const auto test = GENERATE(values<LostCallCase>({
            {"call lost once", "/backed/a", 300ms, false, 0ms, 0ms, 1, true},
            {"call lost twice", "/backed/a", 300ms, false, 0ms, 0ms, 2, true},
            {"call lost three times", "/backed/a", 300ms, false, 0ms, 0ms, 3, true},
            {"resumable, call lost", "/resumable/a", 900ms, false, 0ms, 0ms, 2, true},
            {"connections reset", "/backed/a", 300ms, false, 0ms, 300ms, 0, false},
            {"connections reset for long", "/backed/a", 700ms, false, 0ms, 700ms, 0, false},
            {"resumable, connections reset", "/resumable/a", 900ms, false, 0ms, 900ms, 0, false},
            {"connections reset after the stream has left", "/backed/a", 300ms, true, 10ms, 250ms, 0, true},
            {"the same, and the call is lost", "/backed/a", 300ms, true, 10ms, 200ms, 1, true},
    }));
    INFO(test.name);
    LongRuns play(2);
    int lostCalls = 0;
    play.losesStopCall = [&] { return ++lostCalls <= test.lostCalls; };
    const auto reset = [&](int runner) {
        if (test.resetsFor > Duration::zero()) {
            spawnTask(play.runners.fixture.io, "resets", [&, runner]() -> asio::awaitable<void> {
                co_await wait(test.resetsFrom);
                play.runners.at(runner).resetsConnections = true;
                co_await wait(test.resetsFor);
                play.runners.at(runner).resetsConnections = false;
            });
        }
    };
    play.beforeEvent = [&](LongRuns::Run &run, int event) -> asio::awaitable<void> {
        if (event != 15 || &run != &play.runs.front())
            co_return;
        if (!test.isFromContinuation)
            reset(run.runner);
        co_await wait(test.silence);
    };
    play.beforeContinuation = [&]() -> asio::awaitable<void> {
        if (test.isFromContinuation)
            reset(play.runs.front().runner);
        co_return;
    };
    const std::vector<CallerView> views = play.play(test.path, 1);
    CHECK(views.front().isComplete);
    CHECK(views.front().body == ModelRunners::allEvents());
    CHECK((play.runs.size() > 1) == test.isMoved);
    CHECK(play.longestOverlap() < MaxOverlap);
}

namespace {

struct GoneCase
{
    const char *name;
    bool isReachable;
    int64_t stopCalls;
};

} // namespace

// Guards against calls without end to a runner that has ended, or that replies though it is listed no more.
TEST_CASE("A runner that is listed no more is not called again and again", "[hostile]")
{
    const auto test = GENERATE(values<GoneCase>({
            {"ended", false, 0},
            {"replies", true, 1},
    }));
    INFO(test.name);
    LongRuns play(2);
    GatewayFixture &fixture = play.runners.fixture;
    play.beforeEvent = [&](LongRuns::Run &run, int event) -> asio::awaitable<void> {
        if (event != 15 || &run != &play.runs.front())
            co_return;
        if (!test.isReachable)
            play.runners.at(run.runner).end();
        co_await wait(150ms);
        const std::string number = std::to_string(run.runner);
        std::erase_if(fixture.runners, [&](const RunnerEntry &entry) { return entry.id.ends_with(number); });
        fixture.gateway.applyFleet(fixture.runners);
        run.isCalled = true;
        if (test.isReachable)
            co_return;
        // After the next call has found it out of reach; a further one would arrive.
        co_await wait(300ms);
        play.runners.at(run.runner).resume();
    };
    const std::vector<CallerView> views = play.play("/backed/a", 1);
    CHECK(views.front().isComplete);
    CHECK(play.runs.size() == 2);
    CHECK(play.stopCallCount() == test.stopCalls);
}
