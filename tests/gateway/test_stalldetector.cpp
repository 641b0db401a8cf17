#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{};

struct Case
{
    std::string name;
    /// Time of the last event before the check.
    Duration progressAt{};
    Duration checkAt{};
    bool hasUnreadBytes = false;
    bool isStalled = false;
};

// The timeout is 100 ms, so the first check is due at 100 ms.
const std::vector<Case> Cases{
        {"a stream with recent events has not stalled", 80ms, 100ms, false, false},
        {"a stream without an event for the timeout has stalled", 0ms, 100ms, false, true},
        {"a stall is detected although the timer is slightly late", 0ms, 120ms, false, true},
        // Guards against aborting a send to a healthy runner after this process was suspended or starved.
        {"a check after a pause of this process detects no stall", 0ms, 1500ms, false, false},
        {"unread bytes count as progress", 0ms, 100ms, true, false},
};

} // namespace

TEST_CASE("A stream without progress has stalled unless this process was paused or has unread bytes",
          "[stalldetector]")
{
    const Case &row = GENERATE(from_range(Cases));
    INFO(row.name);
    StallDetector detector(100ms);
    detector.start(Start);
    detector.recordProgress(Start + row.progressAt);
    CHECK(detector.check(Start + row.checkAt, row.hasUnreadBytes) == row.isStalled);
    if (!row.isStalled)
        CHECK(detector.nextCheck() > Start + row.checkAt);
}

TEST_CASE("A stall is detected one timeout after a late check", "[stalldetector]")
{
    StallDetector detector(100ms);
    detector.start(Start);
    REQUIRE_FALSE(detector.check(Start + 1500ms, false));
    CHECK(detector.nextCheck() == Start + 1600ms);
    CHECK(detector.check(Start + 1600ms, false));
}

// Guards against truncating an answer because the runner with its backup is busy for a second.
TEST_CASE("Only a resumable stream is aborted before its deadline for lack of a first event",
          "[stalldetector]")
{
    const auto &[isResumable, remainingTime, expected] = GENERATE(table<bool, Duration, Duration>({
            {false, 20s, 20s},
            {false, 100ms, 100ms},
            {true, 20s, 4500ms},
            {true, 2s, 2s},
    }));
    CHECK(firstEventTimeout(isResumable, 1800ms, remainingTime) == expected);
}
