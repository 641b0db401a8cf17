#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

// Guards against a stream that is given up while its runner still serves it, and against a copy that is given
// up while it is in transit.
TEST_CASE("A stream whose continuation failed stays at a connected runner", "[policy]")
{
    struct Case
    {
        const char *name;
        FailedSwitch failed;
        SwitchStep step;
    };
    const auto test = GENERATE(values<Case>({
            {"copy in transit refused once",
             {SendOutcome::RefusedByRunner, true, 1, true},
             SwitchStep::Retry},
            {"copy in transit refused three times",
             {SendOutcome::RefusedByRunner, true, 3, false},
             SwitchStep::Retry},
            {"copy in transit refused four times",
             {SendOutcome::RefusedByRunner, true, 4, true},
             SwitchStep::Stay},
            {"copy in transit refused, runner gone",
             {SendOutcome::RefusedByRunner, true, 4, false},
             SwitchStep::GiveUp},
            {"copy's runner broke off", {SendOutcome::Unknown, true, 1, true}, SwitchStep::Stay},
            {"copy's runner not reached", {SendOutcome::NotConnected, true, 1, true}, SwitchStep::Stay},
            {"complete copy refused once", {SendOutcome::RefusedByRunner, false, 1, true}, SwitchStep::Stay},
            {"complete copy refused once, runner gone",
             {SendOutcome::RefusedByRunner, false, 1, false},
             SwitchStep::GiveUp},
            {"both runners broke off", {SendOutcome::Unknown, true, 1, false}, SwitchStep::GiveUp},
            {"resumption refused", {SendOutcome::RefusedByRunner, false, 1, true}, SwitchStep::Stay},
            {"resumption refused, runner gone",
             {SendOutcome::RefusedByRunner, false, 1, false},
             SwitchStep::GiveUp},
    }));
    INFO(test.name);
    CHECK(planFailedSwitch(test.failed) == test.step);
}

// Guards against a check that is due again at once and keeps the processor busy.
TEST_CASE("After a stall without a remedy the next check is one timeout later", "[policy]")
{
    StallDetector detector(100ms);
    const TimePoint start = TimePoint{} + 10s;
    detector.start(start);
    REQUIRE(detector.check(start + 100ms, false));
    detector.postpone(start + 100ms);
    CHECK(detector.nextCheck() == start + 200ms);
}
