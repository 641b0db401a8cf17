#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{};

} // namespace

// Guards against losing the first half second of a notice period of two seconds.
TEST_CASE("A runner seems leaving as soon as a health check fails", "[leavingdetector]")
{
    LeavingDetector detector;
    CHECK_FALSE(detector.seemsLeaving());
    detector.recordHealth(false, Start);
    CHECK(detector.seemsLeaving());
    // The runner made this report before it received the notice.
    detector.recordReport(false, Start + 300ms);
    CHECK(detector.seemsLeaving());
    detector.recordReport(true, Start + 600ms);
    detector.recordHealth(false, Start + 900ms);
    CHECK(detector.seemsLeaving());
}

// Guards against migrating all generations off a healthy runner whose health checks fail for seconds without
// a reason.
TEST_CASE("Reports without a notice refute failed health checks until one passes", "[leavingdetector]")
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

TEST_CASE("A runner gets no requests while it seems leaving and gets them again afterwards", "[runnerpool]")
{
    RunnerPool pool;
    Random random{7};
    RunnerEntry entry;
    entry.id = "a";
    entry.service = "s";
    entry.address = "10.0.0.1:80";
    entry.seemsLeaving = true;
    pool.setFleet(std::vector{entry}, Start);
    const RunnerCriteria criteria{"s", "z", std::nullopt};
    CHECK(std::holds_alternative<NoRunner>(pool.choose(criteria, nullptr, Start, random)));
    entry.seemsLeaving = false;
    pool.setFleet(std::vector{entry}, Start);
    CHECK(std::holds_alternative<RunnerPool::RunnerPointer>(pool.choose(criteria, nullptr, Start, random)));
}
