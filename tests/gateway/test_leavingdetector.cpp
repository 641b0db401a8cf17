#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{};

} // namespace

// Guards against losing the first half second of a notice of two.
TEST_CASE("An unhealthy runner is taken for a leaving one at once", "[leavingdetector]")
{
    LeavingDetector detector;
    CHECK_FALSE(detector.seemsLeaving());
    detector.recordHealth(false, Start);
    CHECK(detector.seemsLeaving());
    // This report was made before the notice.
    detector.recordReport(false, Start + 300ms);
    CHECK(detector.seemsLeaving());
    detector.recordReport(true, Start + 600ms);
    detector.recordHealth(false, Start + 900ms);
    CHECK(detector.seemsLeaving());
}

// Guards against emptying a sound runner whose health answers are false for seconds.
TEST_CASE("Reports that go on as before refute health answers until these are good again",
          "[leavingdetector]")
{
    LeavingDetector detector;
    detector.recordHealth(false, Start);
    detector.recordReport(false, Start + 900ms);
    CHECK_FALSE(detector.seemsLeaving());
    detector.recordHealth(false, Start + 1s);
    CHECK_FALSE(detector.seemsLeaving());
    detector.recordHealth(true, Start + 4s);
    CHECK_FALSE(detector.seemsLeaving());
    detector.recordHealth(false, Start + 5s);
    CHECK(detector.seemsLeaving());
}

TEST_CASE("A runner that seems to leave gets no work, and is used again if it does not leave", "[runnerpool]")
{
    RunnerPool pool;
    Random random{7};
    RunnerEntry entry;
    entry.id = "a";
    entry.service = "s";
    entry.address = "10.0.0.1:80";
    entry.seemsLeaving = true;
    pool.setFleet(std::vector{entry}, Start);
    const RunnerCriteria request{"s", "z", std::nullopt};
    CHECK(std::holds_alternative<NoRunner>(pool.choose(request, nullptr, Start, random)));
    entry.seemsLeaving = false;
    pool.setFleet(std::vector{entry}, Start);
    CHECK(std::holds_alternative<RunnerPool::RunnerPointer>(pool.choose(request, nullptr, Start, random)));
}
