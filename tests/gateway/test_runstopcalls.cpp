#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

/// Times are in milliseconds after the request of the run was sent; its response ends at 100.
struct StopCall
{
    const char *runner;
    int calledAt;
    std::optional<RunStopReply> reply;
    int repliedAt = 0;
};

struct EndCase
{
    const char *name;
    std::vector<StopCall> calls;
    RunEnd expected;
};

TimePoint at(int milliseconds)
{
    return TimePoint{1h} + std::chrono::milliseconds{milliseconds};
}

RunStopCalls recorded(const std::vector<StopCall> &calls)
{
    RunStopCalls result;
    for (const StopCall &call : calls) {
        const size_t number = result.begin(call.runner, at(call.calledAt));
        if (call.reply)
            result.finish(number, *call.reply, at(call.repliedAt));
    }
    return result;
}

ReceivedEnd unframedEnd()
{
    return {"r1", at(0), at(100), true, true, false, at(99)};
}

} // namespace

// Guards against an end that the gateway's own call has caused and that is taken for that of the run, and
// against a complete run that is taken for a stopped one.
TEST_CASE("The end of a response without framing is judged by the calls that stop its run", "[gateway]")
{
    const RunStopped stopped{"h"};
    const auto test = GENERATE_COPY(values<EndCase>({
            {"no call", {}, RunEnd::Complete},
            {"stopped", {{"r1", 90, stopped, 95}}, RunEnd::Stopped},
            {"stopped, replied later", {{"r1", 90, stopped, 400}}, RunEnd::Stopped},
            {"ended before the call", {{"r1", 90, NoSuchRun{}, 95}}, RunEnd::Complete},
            {"no reply yet", {{"r1", 90, std::nullopt}}, RunEnd::Pending},
            {"no reply", {{"r1", 90, NoRunStatement{}, 2500}}, RunEnd::Unknown},
            {"not executed", {{"r1", 90, CallNotExecuted{}, 95}}, RunEnd::Complete},
            {"copied for another call", {{"r1", 90, CopyInProgress{}, 95}}, RunEnd::Unknown},
            {"called again, the first reply was lost",
             {{"r1", 80, NoRunStatement{}, 90}, {"r1", 92, NoSuchRun{}, 95}},
             RunEnd::Unknown},
            {"called again, stopped",
             {{"r1", 80, NoRunStatement{}, 90}, {"r1", 92, stopped, 95}},
             RunEnd::Stopped},
            {"called again, no reply yet",
             {{"r1", 80, NoRunStatement{}, 90}, {"r1", 92, std::nullopt}},
             RunEnd::Unknown},
            {"called again, no such run before",
             {{"r1", 80, NoSuchRun{}, 90}, {"r1", 92, std::nullopt}},
             RunEnd::Pending},
            {"call to another runner", {{"r2", 90, stopped, 95}}, RunEnd::Complete},
            {"call for an earlier run, replied before", {{"r1", -50, stopped, -10}}, RunEnd::Complete},
            {"call for an earlier run, no reply yet", {{"r1", -50, std::nullopt}}, RunEnd::Pending},
            {"call for an earlier run that broke before the request",
             {{"r1", -50, NoRunStatement{}, -10}},
             RunEnd::Complete},
            {"call for an earlier run that timed out before the request",
             {{"r1", -50, NoRunStatement{true}, -10}},
             RunEnd::Unknown},
            {"call for an earlier run meets this one", {{"r1", -50, stopped, 98}}, RunEnd::Stopped},
            {"call after the end, no reply yet", {{"r1", 101, std::nullopt}}, RunEnd::Pending},
            {"call after the end, stopped", {{"r1", 101, stopped, 110}}, RunEnd::Stopped},
            {"call after the end, had ended", {{"r1", 101, NoSuchRun{}, 110}}, RunEnd::Complete},
            {"call after the end, no reply", {{"r1", 101, NoRunStatement{}, 110}}, RunEnd::Unconfirmed},
            {"call after the end, not executed", {{"r1", 101, CallNotExecuted{}, 110}}, RunEnd::Unconfirmed},
            {"call after the end, copied for another call",
             {{"r1", 101, CopyInProgress{}, 110}},
             RunEnd::Unconfirmed},
    }));
    INFO(test.name);
    const RunStopCalls calls = recorded(test.calls);
    CHECK(toString(calls.judge(unframedEnd())) == toString(test.expected));
    // What a length or chunks delimit needs no reply.
    ReceivedEnd framed = unframedEnd();
    framed.isUnframed = false;
    CHECK(toString(calls.judge(framed)) == toString(RunEnd::Complete));
    ReceivedEnd partial = unframedEnd();
    partial.hasPartialEvent = true;
    CHECK(toString(calls.judge(partial)) == toString(RunEnd::CutShort));
    ReceivedEnd empty = unframedEnd();
    empty.hasEvent = false;
    CHECK(toString(calls.judge(empty)) == toString(RunEnd::CutShort));
}

// Guards against a complete run that is taken for a stopped one although it went on after the reply.
TEST_CASE("A run with events long after the reply to a call was not stopped by it", "[gateway]")
{
    const auto [lastEventAt, expected] =
            GENERATE(table<int, RunEnd>({{500, RunEnd::Complete}, {300, RunEnd::Unknown}}));
    const RunStopCalls calls = recorded({{"r1", 90, CopyInProgress{}, 95}});
    ReceivedEnd end = unframedEnd();
    end.lastEventAwaitedAt = at(lastEventAt);
    end.endedAt = at(510);
    CHECK(toString(calls.judge(end)) == toString(expected));
}

// Guards against a part that is delivered as complete because a runner that has stopped does not reply.
TEST_CASE("A stream that is closed when its runner is due to stop needs a confirmation", "[gateway]")
{
    const RunStopReply reply = GENERATE(values<RunStopReply>({NoRunStatement{}, CallNotExecuted{}}));
    const RunStopCalls calls = recorded({{"r1", 101, reply, 110}});
    ReceivedEnd end = unframedEnd();
    end.isStopDue = true;
    CHECK(toString(calls.judge(end)) == toString(RunEnd::Unknown));
}

// Guards against a part that is delivered as complete because the runner has refused the call that should
// stop the run, or has replied about another run, and stops this one later.
TEST_CASE("The end of a run at a leaving runner needs a reply about that run", "[gateway]")
{
    struct LeavingCase
    {
        const char *name;
        std::vector<StopCall> calls;
        RunEnd expected;
        /// The same if the runner is due to stop.
        RunEnd expectedIfDue;
        bool isCheckNeeded;
    };
    const auto test = GENERATE(values<LeavingCase>({
            {"no call", {}, RunEnd::Unconfirmed, RunEnd::Unknown, true},
            {"not executed", {{"r1", 90, CallNotExecuted{}, 95}}, RunEnd::Unconfirmed, RunEnd::Unknown, true},
            {"had ended", {{"r1", 90, NoSuchRun{}, 95}}, RunEnd::Complete, RunEnd::Complete, false},
            {"had ended long before",
             {{"r1", -700, NoSuchRun{}, -600}},
             RunEnd::Unconfirmed,
             RunEnd::Unknown,
             true},
            {"no run while the earlier one returned",
             {{"r1", -700, NoSuchRun{}, 1}},
             RunEnd::Unconfirmed,
             RunEnd::Unknown,
             true},
            {"copied for another call, then continued",
             {{"r1", -20, CopyInProgress{}, 1}},
             RunEnd::Unconfirmed,
             RunEnd::Unknown,
             true},
            {"no reply yet", {{"r1", 300, std::nullopt}}, RunEnd::Pending, RunEnd::Pending, false},
            {"stopped", {{"r1", 90, RunStopped{"h"}, 95}}, RunEnd::Stopped, RunEnd::Stopped, false},
            {"not executed, then checked",
             {{"r1", 90, CallNotExecuted{}, 95}, {"r1", 400, NoSuchRun{}, 410}},
             RunEnd::Complete,
             RunEnd::Complete,
             false},
            {"not executed after the end, then had ended",
             {{"r1", 320, CallNotExecuted{}, 330}, {"r1", 400, NoSuchRun{}, 410}},
             RunEnd::Complete,
             RunEnd::Complete,
             false},
            {"not executed, then found stopped",
             {{"r1", 90, CallNotExecuted{}, 95}, {"r1", 400, RunStopped{"h"}, 410}},
             RunEnd::Stopped,
             RunEnd::Stopped,
             false},
            {"not executed twice",
             {{"r1", 90, CallNotExecuted{}, 95}, {"r1", 400, CallNotExecuted{}, 410}},
             RunEnd::Unconfirmed,
             RunEnd::Unknown,
             false},
            {"call to another runner",
             {{"r2", 90, NoSuchRun{}, 95}},
             RunEnd::Unconfirmed,
             RunEnd::Unknown,
             true},
    }));
    INFO(test.name);
    const RunStopCalls calls = recorded(test.calls);
    ReceivedEnd end = unframedEnd();
    end.canBeStopped = true;
    end.lastEventAwaitedAt = at(300);
    end.endedAt = at(310);
    CHECK(calls.needsCheck(end) == test.isCheckNeeded);
    CHECK(toString(calls.judge(end)) == toString(test.expected));
    end.isStopDue = true;
    CHECK(calls.needsCheck(end) == test.isCheckNeeded);
    CHECK(toString(calls.judge(end)) == toString(test.expectedIfDue));
    end.isUnframed = false;
    CHECK_FALSE(calls.needsCheck(end));
}

// Guards against replies about an earlier run that are taken for statements about the one that the runner has
// got since, as their calls were sent before it.
TEST_CASE("A reply to a call that was sent before a run tells nothing about that run", "[gateway]")
{
    ReceivedEnd end = unframedEnd();
    SECTION("had ended, soon before the end of a leaving runner's stream")
    {
        const RunStopCalls calls = recorded({{"r1", -50, NoSuchRun{}, 1}});
        end.canBeStopped = true;
        CHECK(calls.needsCheck(end));
        CHECK(toString(calls.judge(end)) == toString(RunEnd::Unconfirmed));
    }
    SECTION("had ended, and the stream leaves the run that has begun since")
    {
        CHECK(recorded({{"r1", -50, NoSuchRun{}, 1}}).needsCall("r1", end.sentAt));
    }
    SECTION("stopped, long before the last events")
    {
        const RunStopCalls calls = recorded({{"r1", -50, RunStopped{"h"}, 1}});
        end.lastEventAwaitedAt = at(500);
        end.endedAt = at(510);
        CHECK(toString(calls.judge(end)) == toString(RunEnd::Complete));
    }
}

// Guards against a complete run that becomes a failure because a call that came after its end was lost.
TEST_CASE("A run that had ended by one reply was not stopped by a later call", "[gateway]")
{
    const RunStopReply reply = GENERATE(values<RunStopReply>({NoRunStatement{}, CopyInProgress{}}));
    const RunStopCalls calls = recorded({{"r1", 80, NoSuchRun{}, 85}, {"r1", 90, reply, 95}});
    CHECK(toString(calls.judge(unframedEnd())) == toString(RunEnd::Complete));
}

// Guards against a runner that works on although nothing has stopped it, against calls that only disturb, and
// against a copy that is given up while it is in transit.
TEST_CASE("A run that a stream has left needs a call unless one has ended it or is under way", "[gateway]")
{
    const auto test = GENERATE(table<std::optional<RunStopReply>, bool, bool>({
            {std::nullopt, false, true},
            {RunStopped{"h"}, false, false},
            {NoSuchRun{}, false, false},
            {CopyInProgress{}, true, true},
            {CallNotExecuted{}, true, false},
            {NoRunStatement{}, true, true},
    }));
    const auto &[reply, isNeeded, mayBeCopying] = test;
    const RunStopCalls calls = recorded({{"r1", 90, reply, 95}});
    CHECK(calls.needsCall("r1", at(0)) == isNeeded);
    CHECK(recorded({}).needsCall("r1", at(0)));
    CHECK(calls.mayBeCopying("r1", at(0)) == mayBeCopying);
    CHECK_FALSE(calls.mayBeCopying("r2", at(0)));
}

// Guards against a generation that is given up although the runner that has stopped it keeps it.
TEST_CASE("The copy that a stopped runner keeps is known by its reply", "[gateway]")
{
    const RunStopCalls calls = recorded({{"r1", 80, NoSuchRun{}, 85},
                                         {"r2", 90, RunStopped{"other"}, 95},
                                         {"r1", 90, RunStopped{""}, 95},
                                         {"r1", 96, RunStopped{"h"}, 98}});
    CHECK(calls.keptCopy("r1", at(0)) == "h");
    CHECK(calls.keptCopy("r1", at(99)) == std::nullopt);
    CHECK(calls.keptCopy("r3", at(0)) == std::nullopt);
    CHECK_FALSE(calls.isPending("r1", at(0)));
    CHECK(recorded({{"r1", 90, std::nullopt}}).isPending("r1", at(0)));
}

// Guards against a part that is delivered as complete after a check that tells nothing, and against calls
// without end.
TEST_CASE("A check that got a reply at once that tells nothing is repeated", "[gateway]")
{
    const auto [reply, isRepeated] = GENERATE(table<std::optional<RunStopReply>, bool>({
            {std::nullopt, false},
            {RunStopped{"h"}, false},
            {NoSuchRun{}, false},
            {CopyInProgress{}, true},
            {CallNotExecuted{}, true},
            {NoRunStatement{}, true},
            {NoRunStatement{true}, false},
    }));
    ReceivedEnd end = unframedEnd();
    end.canBeStopped = true;
    CHECK(recorded({{"r1", 101, reply, 110}}).needsRepeatedCheck(end) == isRepeated);
    CHECK_FALSE(recorded({{"r1", 101, CallNotExecuted{}, 110}, {"r1", 160, NoSuchRun{}, 170}})
                        .needsRepeatedCheck(end));
    CHECK_FALSE(recorded({{"r1", 90, reply, 95}}).needsRepeatedCheck(end));
    end.canBeStopped = false;
    CHECK_FALSE(recorded({{"r1", 101, reply, 110}}).needsRepeatedCheck(end));
}
