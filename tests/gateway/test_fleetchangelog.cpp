#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

#include <functional>
#include <map>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{};

RunnerEntry runner(const std::string &id)
{
    RunnerEntry entry;
    entry.id = id;
    entry.service = "s";
    entry.address = "10.0.0.1:" + id;
    entry.domain = "kapana";
    entry.slots = 24;
    return entry;
}

std::vector<std::string> idsOf(const FleetChanges &changes)
{
    std::vector<std::string> ids;
    for (const RunnerEntry &entry : changes.entries)
        ids.push_back(entry.id);
    return ids;
}

using Ids = std::vector<std::string>;

struct ChangeCase
{
    const char *name;
    std::function<void(RunnerEntry &)> change;
    bool isPassedOn;
};

} // namespace

// Load pattern: the list is read several times a second and seldom changes.
TEST_CASE("Only what a receiver needs to know is a change", "[fleetchangelog]")
{
    const auto test = GENERATE(values<ChangeCase>({
            {"nothing", [](RunnerEntry &) {}, false},
            {"queue", [](RunnerEntry &entry) { entry.report->queueDepth = 9; }, false},
            {"memory", [](RunnerEntry &entry) { entry.report->memoryUsed = 9; }, false},
            {"remaining warm-up", [](RunnerEntry &entry) { entry.warmUpRemaining = 10ms; }, false},
            {"leaving by list", [](RunnerEntry &entry) { entry.isLeaving = true; }, true},
            {"leaving by report", [](RunnerEntry &entry) { entry.report->isLeaving = true; }, true},
            {"leaving by health", [](RunnerEntry &entry) { entry.seemsLeaving = true; }, true},
            {"time of stop", [](RunnerEntry &entry) { entry.report->timeUntilStop = 2s; }, true},
            {"silent", [](RunnerEntry &entry) { entry.isUnresponsive = true; }, true},
            {"restarted", [](RunnerEntry &entry) { entry.startedAtMs = 5; }, true},
            {"address", [](RunnerEntry &entry) { entry.address = "10.0.0.2:1"; }, true},
            {"service", [](RunnerEntry &entry) { entry.service = "t"; }, true},
            {"slots", [](RunnerEntry &entry) { entry.slots = 6; }, true},
    }));
    INFO(test.name);
    FleetChangeLog log;
    std::vector<RunnerEntry> entries{runner("a"), runner("b")};
    entries[1].report = RunnerReport{};
    log.update(entries, Start);
    const uint64_t base = log.version();
    test.change(entries[1]);
    const Ids changed = log.update(entries, Start + 400ms);
    CHECK(changed == (test.isPassedOn ? Ids{"b"} : Ids{}));
    const FleetChanges changes = log.changesSince(base, Start + 400ms);
    CHECK(changes.isEmpty() == !test.isPassedOn);
    CHECK(idsOf(changes) == changed);
    CHECK_FALSE(changes.isComplete);
}

TEST_CASE("A receiver that applies changes from any version has the whole list", "[fleetchangelog]")
{
    // Random additions, removals and changes; a receiver at each earlier version.
    Random random(GENERATE(1, 2, 3, 4, 5));
    FleetChangeLog log;
    std::map<std::string, RunnerEntry> fleet;
    std::map<uint64_t, std::map<std::string, bool>> leavingAt;
    for (int step = 0; step < 60; ++step) {
        const std::string id = std::to_string(random.below(8));
        if (random.below(3) == 0)
            fleet.erase(id);
        else if (fleet.contains(id))
            fleet.at(id).isLeaving = !fleet.at(id).isLeaving;
        else
            fleet.emplace(id, runner(id));
        std::vector<RunnerEntry> entries;
        for (const auto &[known, entry] : fleet)
            entries.push_back(entry);
        log.update(entries, Start);
        auto &state = leavingAt[log.version()];
        state.clear();
        for (const RunnerEntry &entry : entries)
            state[entry.id] = entry.isLeaving;
    }
    for (const auto &[version, state] : leavingAt) {
        auto copy = state;
        const FleetChanges changes = log.changesSince(version, Start);
        REQUIRE_FALSE(changes.isComplete);
        for (const std::string &id : changes.removedIds)
            copy.erase(id);
        for (const RunnerEntry &entry : changes.entries)
            copy[entry.id] = entry.isLeaving;
        CHECK(copy == leavingAt.at(log.version()));
    }
}

TEST_CASE("A receiver without a usable version gets the whole list", "[fleetchangelog]")
{
    FleetChangeLog log;
    CHECK(log.version() == 0);
    log.update(std::vector{runner("a")}, Start);
    // Each of these lists has another runner, so that more removals happen than are remembered.
    for (int step = 0; step < 600; ++step)
        log.update(std::vector{runner(std::to_string(step))}, Start);
    for (const uint64_t version : {uint64_t{0}, uint64_t{1}, log.version() + 1}) {
        const FleetChanges changes = log.changesSince(version, Start);
        CHECK(changes.isComplete);
        CHECK(idsOf(changes) == Ids{"599"});
    }
    CHECK(log.changesSince(log.version(), Start).isEmpty());
    FleetChangeLog empty;
    empty.update({}, Start);
    CHECK(empty.changesSince(0, Start).isComplete);
}

// Guards against a gateway that learns of a leaving runner late and expects it to stay for the time that
// remained when the coordinator read the report.
TEST_CASE("Remaining times are relative to the time of the call", "[fleetchangelog]")
{
    FleetChangeLog log;
    RunnerEntry entry = runner("a");
    entry.warmUpRemaining = 1s;
    entry.report = RunnerReport{};
    entry.report->timeUntilStop = 2s;
    log.update(std::vector{entry}, Start);
    const FleetChanges changes = log.changesSince(0, Start + 1500ms);
    REQUIRE(changes.entries.size() == 1);
    CHECK(changes.entries.front().warmUpRemaining == 0ms);
    CHECK(changes.entries.front().report->timeUntilStop == 500ms);
}
