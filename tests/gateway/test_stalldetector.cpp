#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{};

struct Case
{
    std::string name;
    /// Time of the last event before the look.
    Duration progressAt{};
    Duration lookAt{};
    bool hasUnreadBytes = false;
    bool isStalled = false;
};

// The patience is 100 ms; the first look is due at 100 ms.
const std::vector<Case> Cases{
        {"events that keep coming are no stall", 80ms, 100ms, false, false},
        {"no event for the whole patience is a stall", 0ms, 100ms, false, true},
        {"a timer may be a little late", 0ms, 120ms, false, true},
        // Guards against leaving a sound runner after this process was frozen or starved.
        {"a process that stood still itself does not judge", 0ms, 1500ms, false, false},
        {"bytes that wait to be read are progress", 0ms, 100ms, true, false},
};

} // namespace

TEST_CASE("A stream stalls only while its process runs and nothing waits to be read", "[stalldetector]")
{
    const Case &row = GENERATE(from_range(Cases));
    INFO(row.name);
    StallDetector detector(100ms);
    detector.start(Start);
    detector.recordProgress(Start + row.progressAt);
    CHECK(detector.check(Start + row.lookAt, row.hasUnreadBytes) == row.isStalled);
    if (!row.isStalled)
        CHECK(detector.nextCheck() > Start + row.lookAt);
}

TEST_CASE("A silent runner is noticed one patience after a late look", "[stalldetector]")
{
    StallDetector detector(100ms);
    detector.start(Start);
    REQUIRE_FALSE(detector.check(Start + 1500ms, false));
    CHECK(detector.nextCheck() == Start + 1600ms);
    CHECK(detector.check(Start + 1600ms, false));
}

// Guards against cutting an answer in the middle because the runner that keeps its copy is busy for a second.
TEST_CASE("Only a stream that can be resumed is given up before its time", "[stalldetector]")
{
    const auto &[isResumable, timeLeft, expected] = GENERATE(table<bool, Duration, Duration>({
            {false, 20s, 20s},
            {false, 100ms, 100ms},
            {true, 20s, 4500ms},
            {true, 2s, 2s},
    }));
    CHECK(firstEventTimeout(isResumable, 1800ms, timeLeft) == expected);
}
