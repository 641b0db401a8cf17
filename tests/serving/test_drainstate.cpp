#include "libserving/drainstate.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

// Guards against a shutdown that interrupts requests, and against one that closes the listener before the
// load balancer has seen the failing health check.
TEST_CASE("Shutdown passes through its phases and waits for requests in flight")
{
    constexpr TimePoint Start{1h};
    using Actions = std::vector<DrainAction>;
    const bool hasLimit = GENERATE(false, true);
    DrainSettings settings;
    if (hasLimit)
        settings.limit = 60s;
    DrainState drain{settings};
    CHECK(drain.update(0, Start).empty());
    CHECK(drain.isHealthy());
    CHECK(drain.terminate(Start) == Actions{DrainAction::FailHealthCheck});
    CHECK(drain.terminate(Start + 5s).empty());
    CHECK_FALSE(drain.isHealthy());
    CHECK(drain.acceptsRequests());
    CHECK(drain.update(0, Start + 9999ms).empty());
    CHECK(drain.nextTick() == Start + 10s);
    CHECK(drain.update(2, Start + 10s) == Actions{DrainAction::CloseListener});
    CHECK_FALSE(drain.acceptsRequests());
    CHECK(drain.update(2, Start + 59s).empty());
    CHECK(drain.update(1, Start + 100h) == (hasLimit ? Actions{DrainAction::AbortRemaining} : Actions{}));
    CHECK(drain.update(1, Start + 101h).empty());
    CHECK(drain.update(0, Start + 102h) == Actions{DrainAction::Exit});
    CHECK(drain.currentPhase() == DrainState::Phase::Done);
}
