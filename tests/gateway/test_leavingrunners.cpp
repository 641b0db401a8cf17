#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{};

RunnerEntry makeEntry(std::string id, std::string address = "10.0.0.1:80", int64_t startedAtMs = 5)
{
    RunnerEntry entry;
    entry.id = std::move(id);
    entry.service = "s";
    entry.address = std::move(address);
    entry.domain = "z";
    entry.startedAtMs = startedAtMs;
    return entry;
}

FleetChanges changed(std::vector<RunnerEntry> entries, std::vector<std::string> removedIds = {})
{
    FleetChanges changes;
    changes.entries = std::move(entries);
    changes.removedIds = std::move(removedIds);
    return changes;
}

FleetChanges wholeList(std::vector<RunnerEntry> entries)
{
    FleetChanges changes = changed(std::move(entries));
    changes.isComplete = true;
    return changes;
}

RunnerEntry withHealthyReport(RunnerEntry entry)
{
    entry.report.emplace();
    return entry;
}

bool isChosen(const RunnerPool &pool, std::string_view service)
{
    Random random{1};
    const auto placed = pool.choose({service, "z", std::nullopt}, nullptr, Start + 1h, random);
    return std::holds_alternative<RunnerPool::RunnerPointer>(placed);
}

} // namespace

// Guards against a runner that gets new work again although it has stated that it is leaving, and against one
// that never gets work again after a restart.
TEST_CASE("A runner that states in an answer that it is leaving gets no work until it is another incarnation",
          "[leavingrunners]")
{
    struct ListCase
    {
        const char *name;
        std::vector<FleetChanges> changes;
        bool isUsable;
    };
    const RunnerEntry entry = makeEntry("a");
    const auto test = GENERATE_COPY(values<ListCase>({
            {"no other list", {}, false},
            {"a list with it as serving", {wholeList({entry})}, false},
            {"a change with it as serving", {changed({entry})}, false},
            {"a report that does not state it", {changed({withHealthyReport(entry)})}, false},
            {"missing in one list, back in the next", {wholeList({}), wholeList({entry})}, false},
            {"removed, back by a change", {changed({}, {"a"}), changed({entry})}, false},
            {"missing in two lists", {wholeList({}), wholeList({}), wholeList({entry})}, false},
            {"restarted", {wholeList({makeEntry("a", "10.0.0.1:80", 6)})}, true},
            {"restarted at another address", {wholeList({makeEntry("a", "10.0.0.2:80")})}, true},
            {"its address used by another runner", {wholeList({makeEntry("b")})}, true},
            {"restarted, then an older list",
             {wholeList({makeEntry("a", "10.0.0.1:80", 6)}), wholeList({entry})},
             false},
    }));
    INFO(test.name);
    RunnerPool pool;
    pool.setFleet(std::vector{entry}, Start);
    REQUIRE(isChosen(pool, "s"));
    CHECK(pool.recordLeavingAnswer(entry, AnswerSender::Expected).size() == 1);
    CHECK(pool.recordLeavingAnswer(entry, AnswerSender::Expected).empty());
    for (const FleetChanges &changes : test.changes)
        pool.applyChanges(changes, Start);
    CHECK(isChosen(pool, "s") == test.isUsable);
    CHECK(pool.areAllLeaving("s") != test.isUsable);
    CHECK(pool.listedLeaving().size() == (test.isUsable ? 0 : 1));
}

// Guards against requests to a leaving runner under the ids of earlier runners with its address, and against
// runners that lose their work because another one has the address.
TEST_CASE("An answer of an unknown runner concerns all listed runners with its address", "[leavingrunners]")
{
    const auto [sender, concerned] = GENERATE(table<AnswerSender, std::set<std::string>>({
            {AnswerSender::Expected, {"a"}},
            {AnswerSender::Other, {"a", "b"}},
    }));
    RunnerPool pool;
    pool.setFleet(std::vector{makeEntry("a"), makeEntry("b"), makeEntry("c", "10.0.0.2:80")}, Start);
    std::set<std::string> added;
    for (const RunnerIncarnation &runner : pool.recordLeavingAnswer(makeEntry("a"), sender))
        added.insert(runner.id);
    CHECK(added == concerned);
    for (const auto &[id, runner] : pool.runners())
        CHECK(runner->entry.isLeaving == concerned.contains(id));
}

// Guards against an answer that is lost because the runner is not listed while it arrives.
TEST_CASE("The answer of a runner that is not listed holds when it is listed again", "[leavingrunners]")
{
    RunnerPool pool;
    CHECK(pool.recordLeavingAnswer(makeEntry("a"), AnswerSender::Expected).size() == 1);
    CHECK(pool.hasStatedLeaving(makeEntry("a")));
    CHECK_FALSE(pool.hasStatedLeaving(makeEntry("a", "10.0.0.1:80", 6)));
    pool.setFleet(std::vector{makeEntry("a")}, Start);
    CHECK_FALSE(isChosen(pool, "s"));
}

// Guards against a service that counts as leaving because it is not known.
TEST_CASE("A service without known runners is not leaving", "[leavingrunners]")
{
    RunnerPool pool;
    pool.setFleet(std::vector{makeEntry("a"), makeEntry("b", "10.0.0.2:80")}, Start);
    CHECK_FALSE(pool.areAllLeaving("t"));
    pool.recordLeavingAnswer(makeEntry("a"), AnswerSender::Expected);
    CHECK_FALSE(pool.areAllLeaving("s"));
    pool.recordLeavingAnswer(makeEntry("b", "10.0.0.2:80"), AnswerSender::Expected);
    CHECK(pool.areAllLeaving("s"));
}

// Guards against a process that runs for months and remembers each runner that ever left.
TEST_CASE("The runners that were recorded first are forgotten first", "[leavingrunners]")
{
    LeavingRunners runners;
    for (size_t i = 0; i <= LeavingRunners::MaxRunners; ++i)
        CHECK(runners.add({std::to_string(i), "10.0.0.1:80", 0}));
    CHECK(runners.size() == LeavingRunners::MaxRunners);
    CHECK_FALSE(runners.contains(makeEntry("0", "10.0.0.1:80", 0)));
    CHECK(runners.contains(makeEntry("1", "10.0.0.1:80", 0)));
}

// Guards against a log that a faulty runner fills.
TEST_CASE("An occurrence is logged once per interval, with their number", "[leavingrunners]")
{
    OccurrenceLimiter limiter;
    CHECK(limiter.record(Start) == 1U);
    for (int i = 1; i < 100; ++i)
        CHECK_FALSE(limiter.record(Start + i * 90ms));
    CHECK(limiter.record(Start + 10s) == 100U);
    CHECK_FALSE(limiter.record(Start + 11s));
}
