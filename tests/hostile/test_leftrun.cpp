#include "longruns.h"

#include "gateway/clock.h"

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
