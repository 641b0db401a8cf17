#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{};
// The requests of a single gateway come back after a few milliseconds.
constexpr uint32_t OneGateway = 1;
constexpr Duration MaxReturnTime = 5ms;

RunnerEntry makeEntry(std::string id, int64_t startedAtMs = 1, std::string address = "10.0.0.1:80")
{
    RunnerEntry entry;
    entry.id = std::move(id);
    entry.service = "s";
    entry.address = std::move(address);
    entry.domain = "z";
    entry.slots = 6;
    entry.startedAtMs = startedAtMs;
    return entry;
}

struct StatedPause
{
    Duration at;
    Duration pause;
    RunnerPauses::Change change;
};

struct PauseCase
{
    const char *name;
    std::vector<StatedPause> stated;
    /// End of the pause.
    Duration end;
};

/// Changes of the list of runners during a pause of runner "a".
struct ListCase
{
    const char *name;
    std::vector<std::vector<RunnerEntry>> lists;
    bool isPaused;
    size_t cutCount;
};

/// What runners of a service do, and what the choice of one for a request says.
struct ChoiceCase
{
    const char *name;
    /// Pause of runner a and b; 0: none.
    Duration pauseOfA;
    Duration pauseOfB;
    bool isAExcluded;
    bool isBEjected;
    std::string chosenId;
    NoRunner::Reason reason;
    /// Pause that ends first among the runners that may be used; for AllPaused only.
    Duration firstEnd;
};

} // namespace

// Guards against a pause that a shorter one or an absurd value shortens, or that never ends.
TEST_CASE("The longest of overlapping pauses holds, up to a limit", "[runnerpauses]")
{
    using Change = RunnerPauses::Change;
    const auto test = GENERATE(values<PauseCase>({
            {"one", {{0s, 2s, Change::Begun}}, 2s},
            {"fraction", {{0s, 250ms, Change::Begun}}, 250ms},
            {"zero", {{0s, 0s, Change::None}}, 0s},
            {"negative", {{0s, -5s, Change::None}}, 0s},
            {"shorter one within", {{0s, 2s, Change::Begun}, {500ms, 1s, Change::None}}, 2s},
            {"longer one within", {{0s, 1s, Change::Begun}, {500ms, 2s, Change::Extended}}, 2500ms},
            {"zero within", {{0s, 1s, Change::Begun}, {500ms, 0s, Change::None}}, 1s},
            {"one after the end", {{0s, 1s, Change::Begun}, {1500ms, 1s, Change::Begun}}, 2500ms},
            {"very long", {{0s, Duration::max(), Change::Begun}}, MaxRunnerPause},
    }));
    INFO(test.name);
    RunnerPool pool;
    Random random{1};
    pool.setFleet(std::vector{makeEntry("a")}, Start);
    const RunnerPool::Runner &runner = *pool.find("a");
    for (const StatedPause &stated : test.stated)
        CHECK(pool.recordPause(runner, stated.pause, OneGateway, Start + stated.at, random) == stated.change);
    const TimePoint last = Start + test.stated.back().at;
    CHECK(pool.isPaused(runner, last) == (test.end > test.stated.back().at));
    CHECK(pool.isPaused(runner, Start + test.end - 1ns) == (test.end > 0s));
    CHECK_FALSE(pool.isPaused(runner, Start + test.end));
    CHECK_FALSE(pool.nextSend(runner, Start + test.end + MaxReturnTime));
}

// Guards against a pause that ends with a newer list, or that a successor at the same address or under the
// same id inherits.
TEST_CASE("A pause belongs to one incarnation of a runner", "[runnerpauses]")
{
    RunnerEntry leaving = makeEntry("a");
    leaving.report.emplace();
    const auto test = GENERATE_COPY(values<ListCase>({
            {"same again", {{makeEntry("a")}}, true, 0},
            {"with a report", {{leaving}}, true, 0},
            {"missing for a moment", {{makeEntry("b")}, {makeEntry("a")}}, true, 0},
            {"restarted", {{makeEntry("a", 2)}}, false, 1},
            {"restarted after it was missing", {{}, {makeEntry("a", 2)}}, false, 1},
            {"other address", {{makeEntry("a", 1, "10.0.0.2:80")}}, false, 1},
            {"other runner at its address", {{makeEntry("b")}}, false, 0},
    }));
    INFO(test.name);
    RunnerPool pool;
    Random random{1};
    pool.setFleet(std::vector{makeEntry("a")}, Start);
    pool.recordPause(*pool.find("a"), 10s, OneGateway, Start, random);
    size_t cutCount = 0;
    for (const auto &list : test.lists) {
        pool.setFleet(list, Start + 1s);
        for (const RunnerPauses::Cut &cut : pool.removeCutPauses(Start + 1s)) {
            ++cutCount;
            CHECK(cut.runnerId == "a");
            CHECK(cut.remaining == 9s);
        }
    }
    CHECK(cutCount == test.cutCount);
    const RunnerPool::Runner &runner = *pool.runners().begin()->second;
    CHECK(pool.isPaused(runner, Start + 1s) == test.isPaused);
}

// Guards against an answer of a stopped runner that comes late and pauses its successor.
TEST_CASE("A late answer of an earlier incarnation does not pause the new one", "[runnerpauses]")
{
    RunnerPool pool;
    Random random{1};
    pool.setFleet(std::vector{makeEntry("a")}, Start);
    const RunnerPool::RunnerPointer earlier = pool.find("a");
    pool.setFleet(std::vector{makeEntry("a", 2)}, Start);
    pool.recordPause(*earlier, 10s, OneGateway, Start, random);
    CHECK_FALSE(pool.isPaused(*pool.find("a"), Start));
}

namespace {

/// What is done during the pauses of a runner.
struct PauseStep
{
    enum class Kind {
        Pause,     ///< The runner asks for a pause of 3 s.
        Reserve,   ///< A stream is about to leave the runner.
        GiveBack,  ///< The streams that have reserved calls stay.
        CallFirst, ///< Sends a call of the first stream that has reserved any.
        Call,      ///< Sends a call of a stream that has reserved none.
    };
    Duration at;
    Kind kind;
    /// Whether it is allowed; not used for Pause and GiveBack.
    bool isAllowed = true;
};

struct PauseCallsCase
{
    const char *name;
    std::vector<PauseStep> steps;
};

} // namespace

// Guards against more calls than a runner takes during its pause, and against a stream that leaves the runner
// while its run there cannot be ended.
TEST_CASE("Two calls may be sent to a runner during its pause", "[runnerpauses]")
{
    using enum PauseStep::Kind;
    const auto test = GENERATE(values<PauseCallsCase>({
            {"no pause", {{0s, Reserve}, {0s, Reserve}, {0s, Call}, {0s, Call}, {0s, Call}, {0s, CallFirst}}},
            {"one stream",
             {{0s, Pause}, {1s, Reserve}, {1s, CallFirst}, {1s, CallFirst}, {1s, CallFirst, false}}},
            {"second stream", {{0s, Pause}, {1s, Reserve}, {1s, Reserve, false}, {1s, Call, false}}},
            {"given back", {{0s, Pause}, {1s, Reserve}, {1s, GiveBack}, {2s, Reserve}}},
            {"given back after a call",
             {{0s, Pause}, {1s, Reserve}, {1s, CallFirst}, {1s, GiveBack}, {2s, Reserve, false}, {2s, Call}}},
            {"without reservation",
             {{0s, Pause}, {1s, Call}, {1s, Reserve, false}, {1s, Call}, {1s, Call, false}}},
            {"just begun", {{0s, Pause}, {200ms, Call}, {200ms, Call}, {200ms, Call}, {200ms, Reserve}}},
            {"extended", {{0s, Pause}, {1s, Call}, {1s, Call}, {2s, Pause}, {4s, Call, false}}},
            {"after the end", {{0s, Pause}, {1s, Call}, {1s, Call}, {3s, Call}, {3s, Reserve}}},
            {"next pause",
             {{0s, Pause}, {1s, Call}, {1s, Call}, {4s, Pause}, {5s, Reserve}, {5s, Call, false}}},
            {"reserved in an earlier pause",
             {{0s, Pause}, {1s, Reserve}, {4s, Pause}, {5s, Call}, {5s, CallFirst}, {5s, CallFirst, false}}},
    }));
    INFO(test.name);
    RunnerPool pool;
    Random random{1};
    pool.setFleet(std::vector{makeEntry("a")}, Start);
    const RunnerPool::Runner &runner = *pool.find("a");
    std::vector<PauseCalls> reserved;
    PauseCalls none;
    for (const PauseStep &step : test.steps) {
        INFO(toMilliseconds(step.at) << " ms");
        const TimePoint now = Start + step.at;
        if (step.kind == Pause)
            pool.recordPause(runner, 3s, OneGateway, now, random);
        if (step.kind == GiveBack)
            reserved.clear();
        if (step.kind == Reserve) {
            auto calls = pool.reserveCalls(runner, now);
            CHECK(calls.has_value() == step.isAllowed);
            if (calls)
                reserved.push_back(std::move(*calls));
        }
        if (step.kind == CallFirst)
            CHECK(pool.useCall(runner, reserved.front(), now) == step.isAllowed);
        if (step.kind == Call)
            CHECK(pool.useCall(runner, none, now) == step.isAllowed);
    }
}

// Guards against a paused runner that is used as the last resort, and against a wait for one while another
// runner can be used.
TEST_CASE("The choice leaves out paused runners and tells when the first one may be used", "[runnerpauses]")
{
    using Reason = NoRunner::Reason;
    const auto test = GENERATE(values<ChoiceCase>({
            {"none", 0s, 0s, true, false, "b", Reason::NoneAvailable, 0s},
            {"one", 1s, 0s, false, false, "b", Reason::NoneAvailable, 0s},
            {"both", 2s, 1s, false, false, "", Reason::AllPaused, 1s},
            {"the only one that may be used", 1s, 2s, true, false, "", Reason::AllPaused, 2s},
            {"one, the other ejected", 1s, 0s, false, true, "b", Reason::NoneAvailable, 0s},
            {"both, one ejected", 2s, 1s, false, true, "", Reason::AllPaused, 1s},
    }));
    const bool isGeneration = GENERATE(false, true);
    INFO(test.name << (isGeneration ? ", generation" : ", call"));
    const EngineTraits engine{64, 34000, 262144, true, true, 4};
    RunnerPool pool;
    Random random{1};
    pool.setFleet(std::vector{makeEntry("a"), makeEntry("b")}, Start);
    pool.recordPause(*pool.find("a"), test.pauseOfA, OneGateway, Start, random);
    pool.recordPause(*pool.find("b"), test.pauseOfB, OneGateway, Start, random);
    for (int i = 0; test.isBEjected && i < 3; ++i)
        RunnerPool::recordSend(*pool.find("b"), SendHealth::Failed, 10ms, Start);
    const std::set<std::string> excluded{"a"};
    RunnerCriteria criteria{"s", "z", std::nullopt};
    if (isGeneration)
        criteria.size = GenerationSize{3000, 900};
    if (test.isAExcluded)
        criteria.excluded = &excluded;
    const auto placed = pool.choose(criteria, isGeneration ? &engine : nullptr, Start, random);
    if (!test.chosenId.empty()) {
        REQUIRE(std::holds_alternative<RunnerPool::RunnerPointer>(placed));
        CHECK(std::get<RunnerPool::RunnerPointer>(placed)->entry.id == test.chosenId);
        return;
    }
    REQUIRE(std::holds_alternative<NoRunner>(placed));
    const auto &none = std::get<NoRunner>(placed);
    CHECK(none.reason == test.reason);
    CHECK(none.nextSend >= Start + test.firstEnd);
    CHECK(none.nextSend <= Start + test.firstEnd + MaxReturnTime);
}

namespace {

/// 75 gateways with waiting requests, and a runner that asks all of them for the same pause. Time advances in
/// milliseconds; an answer takes one.
class FleetReplay
{
public:
    static constexpr uint32_t GatewayCount = 75;
    static constexpr uint32_t RequestsPerGateway = 4;
    static constexpr uint32_t Slots = 6;
    static constexpr uint32_t QueueSize = 6;
    static constexpr Duration CallTime = 30ms;
    static constexpr Duration Pause = 1s;

    FleetReplay()
    {
        for (Gateway &gateway : this->gateways)
            gateway.pool.setFleet(std::vector{makeEntry("a")}, Start);
    }

    /// Runs until all requests are done or the time is over.
    void run(Duration end)
    {
        for (TimePoint now = Start; now < Start + end && this->doneCount < GatewayCount * RequestsPerGateway;
             now += 1ms) {
            this->completeCalls(now);
            for (Gateway &gateway : this->gateways)
                this->sendWaiting(gateway, now);
            this->lastTime = now;
        }
    }

    /// Largest number of requests that arrive after the first pause within the time.
    size_t peakArrivals(Duration window) const
    {
        size_t peak = 0;
        for (auto first = this->arrivals.begin(); first != this->arrivals.end(); ++first) {
            const auto last = std::ranges::lower_bound(first, this->arrivals.end(), *first + window);
            peak = std::max(peak, static_cast<size_t>(last - first));
        }
        return peak;
    }

    uint32_t doneCount = 0;
    uint32_t refusedCount = 0;
    uint32_t sentDuringPause = 0;
    TimePoint lastTime{};

private:
    struct Gateway
    {
        RunnerPool pool;
        uint32_t waiting = RequestsPerGateway;
    };
    struct Call
    {
        Gateway *gateway = nullptr;
        TimePoint endsAt{};
    };

    void completeCalls(TimePoint now)
    {
        while (!this->calls.empty() && this->calls.front().endsAt <= now) {
            this->calls.front().gateway->pool.find("a")->ownLoad -= RunnerLoad{1, {}, 0};
            this->calls.pop_front();
            ++this->doneCount;
        }
    }

    void sendWaiting(Gateway &gateway, TimePoint now)
    {
        const RunnerCriteria criteria{"s", "z", std::nullopt};
        // A gateway learns of a refusal before it sends again.
        bool isAccepted = true;
        while (gateway.waiting > 0 && isAccepted) {
            const auto placed = gateway.pool.choose(criteria, nullptr, now, this->random);
            const auto *runner = std::get_if<RunnerPool::RunnerPointer>(&placed);
            if (runner == nullptr)
                return;
            gateway.pool.countSendAfterPause(**runner, now);
            isAccepted = this->handleArrival(gateway, **runner, now);
        }
    }

    /// Returns whether the runner accepts the request.
    bool handleArrival(Gateway &gateway, RunnerPool::Runner &runner, TimePoint now)
    {
        const bool isOverloaded = now < Start + 1ms;
        if (!isOverloaded)
            this->arrivals.push_back(now);
        if (gateway.pool.isPaused(runner, now))
            ++this->sentDuringPause;
        if (isOverloaded || this->calls.size() >= Slots + QueueSize) {
            this->refusedCount += isOverloaded ? 0 : 1;
            gateway.pool.recordPause(runner, Pause, GatewayCount, now, this->random);
            return false;
        }
        --gateway.waiting;
        runner.ownLoad += RunnerLoad{1, {}, 0};
        // The slots take the calls in turn.
        const size_t ahead = this->calls.size();
        const TimePoint startsAt = ahead < Slots ? now : this->calls[ahead - Slots].endsAt;
        this->calls.push_back({&gateway, startsAt + CallTime});
        return true;
    }

    Random random{1};
    std::vector<Gateway> gateways{GatewayCount};
    std::deque<Call> calls;
    std::vector<TimePoint> arrivals;
};

} // namespace

// Load pattern: 75 gateways learn of the same pause within a millisecond, and each of them has four requests
// that wait for its end. Guards against 300 requests that arrive in the same instant.
TEST_CASE("After a pause the requests of 75 gateways do not arrive at once", "[runnerpauses]")
{
    FleetReplay replay;
    replay.run(20s);
    CHECK(replay.sentDuringPause == 0);
    CHECK(replay.doneCount == FleetReplay::GatewayCount * FleetReplay::RequestsPerGateway);
    INFO("peak " << replay.peakArrivals(10ms) << ", refused " << replay.refusedCount << ", done after "
                 << toMilliseconds(replay.lastTime - Start) << " ms");
    // What the runner can hold.
    CHECK(replay.peakArrivals(10ms) <= FleetReplay::Slots + FleetReplay::QueueSize);
    // A tenth of all requests.
    CHECK(replay.refusedCount <= 30);
    // The runner needs 1.5 s for the requests after the pause of one second.
    CHECK(replay.lastTime - Start < 5s);
}

// Guards against requests of this gateway that fill the queue of a runner which others use again already.
TEST_CASE("After a pause a request is sent only to a runner with a free slot", "[runnerpauses]")
{
    struct Row
    {
        const char *name;
        uint32_t ownRequests;
        uint32_t otherRequests;
        /// Time after the earliest return.
        Duration at;
        bool isFree;
    };
    // At most one second between two requests: 6 slots for 75 gateways whose calls take 80 ms.
    constexpr Duration Pause = 2s;
    const auto row = GENERATE(values<Row>({
            {"idle", 0, 0, 0s, true},
            {"one free", 2, 3, 0s, true},
            {"full of others", 0, 6, 0s, false},
            {"full of its own", 6, 0, 0s, false},
            {"full of both", 3, 3, 0s, false},
            {"full, long after the pause", 0, 6, 10s, true},
    }));
    INFO(row.name);
    RunnerPool pool;
    Random random{1};
    pool.setFleet(std::vector{makeEntry("a")}, Start);
    RunnerPool::Runner &runner = *pool.find("a");
    RunnerPool::recordSend(runner, SendHealth::Good, 400ms, Start);
    pool.recordPause(runner, Pause, FleetReplay::GatewayCount, Start, random);
    const auto first = pool.nextSend(runner, Start);
    REQUIRE(first);
    CHECK(*first >= Start + Pause);
    CHECK(*first <= Start + Pause + 1s);
    runner.ownLoad.activeRequests = row.ownRequests;
    runner.otherLoad.activeRequests = row.otherRequests;
    CHECK(pool.nextSend(runner, *first + row.at).has_value() != row.isFree);
}
