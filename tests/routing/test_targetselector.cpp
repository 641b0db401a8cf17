#include "librouting/routing.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

struct Fixture
{
    explicit Fixture(SelectorOptions options = {.ownDomain = "a"})
        : selector(std::move(options), lengths)
    {}

    void add(const std::string &id, const std::string &domain, TimePoint since = Start - 1min)
    {
        TargetSettings settings;
        settings.id = id;
        settings.domain = domain;
        settings.models = {"planner"};
        selector.upsertTarget(settings, since);
    }

    void report(const std::string &id, uint32_t running, double memory, TimePoint now)
    {
        const int64_t time = toMilliseconds(now.time_since_epoch()) - 300;
        selector.applyReport(id, {1, time, running, 0, memory, 60000, 0}, now);
    }

    /// Id of the chosen target, or the reason for none in brackets.
    std::string selectTarget(SelectRequest request, TimePoint now)
    {
        request.model = request.model.empty() ? "planner" : request.model;
        return match(
                selector.select(request, now, random),
                [](const TargetChoice &choice) { return choice.targetId; },
                [](const NoTarget &none) { return "[" + std::string(toString(none.reason)) + "]"; });
    }

    std::map<std::string, int> countSelections(const SelectRequest &request, TimePoint now, int count = 1000)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < count; ++i)
            ++counts[selectTarget(request, now)];
        return counts;
    }

    LengthEstimator lengths;
    TargetSelector selector;
    Random random{7};
};

SelectRequest labelRequest()
{
    SelectRequest request;
    request.className = "label";
    request.promptTokens = 200;
    request.maxTokens = 256;
    return request;
}

} // namespace

// Guards against herding: all entries send to the one target that the last report shows idle.
TEST_CASE("Nine entries do not herd on one idle target")
{
    std::vector<std::unique_ptr<Fixture>> entries;
    for (int i = 0; i < 9; ++i) {
        auto entry = std::make_unique<Fixture>();
        entry->random = Random(static_cast<uint64_t>(i) + 1);
        for (int target = 0; target < 4; ++target) {
            entry->add("t" + std::to_string(target), "a");
            entry->report("t" + std::to_string(target), target == 0 ? 0 : 4, target == 0 ? 0 : 16000, Start);
        }
        entries.push_back(std::move(entry));
    }
    // 27 requests to four targets within one report interval.
    std::map<std::string, int> sent;
    for (int attempt = 0; attempt < 3; ++attempt) {
        for (auto &entry : entries) {
            SelectRequest request = labelRequest();
            request.model = "planner";
            const std::string id = entry->selectTarget(request, Start + 100ms);
            entry->selector.start(id, request, Start + 100ms);
            ++sent[id];
        }
    }
    CHECK(sent["t0"] <= 18);
    CHECK(sent.size() == 4);
}

// Guards against traffic that leaves its failure domain without need, or waits while another domain is idle.
TEST_CASE("The own failure domain is preferred until it is full or has no targets")
{
    Fixture fixture;
    fixture.add("a1", "a");
    fixture.add("a2", "a");
    fixture.add("b1", "b");
    fixture.report("a1", 5, 10000, Start);
    CHECK(fixture.countSelections(labelRequest(), Start).count("b1") == 0);

    // Above the score limit, a target of another domain is chosen if it is much better, not if it is slightly
    // better.
    fixture.report("a1", 11, 31000, Start + 500ms);
    fixture.report("a2", 11, 31000, Start + 500ms);
    fixture.report("b1", 10, 30000, Start + 500ms);
    CHECK(fixture.selectTarget(labelRequest(), Start + 500ms)[0] == 'a');
    fixture.report("b1", 2, 5000, Start + 600ms);
    CHECK(fixture.selectTarget(labelRequest(), Start + 600ms) == "b1");

    fixture.report("a1", 16, 59000, Start + 1s);
    fixture.report("a2", 16, 59000, Start + 1s);
    CHECK(fixture.selectTarget(labelRequest(), Start + 1s) == "b1");
    fixture.selector.markLeaving("b1");
    CHECK(fixture.selectTarget(labelRequest(), Start + 1s) == "[no-headroom]");
    fixture.selector.markLeaving("a1");
    fixture.selector.removeTarget("a2");
    CHECK(fixture.selectTarget(labelRequest(), Start + 1s) == "[all-leaving]");
    SelectRequest other = labelRequest();
    other.model = "unlisted";
    CHECK(fixture.selectTarget(other, Start + 1s) == "[unknown-model]");
}

// Guards against a request that returns to the target on which it just failed, and against work for a leaving
// target (G5 of docs/design.md).
TEST_CASE("Excluded and leaving targets get no requests but a reinstated one does")
{
    Fixture fixture;
    fixture.add("a1", "a");
    fixture.add("a2", "a");
    const std::vector<std::string> excluded{"a1"};
    SelectRequest request = labelRequest();
    request.excludedTargets = excluded;
    CHECK(fixture.countSelections(request, Start) == std::map<std::string, int>{{"a2", 1000}});
    fixture.selector.markLeaving("a2");
    CHECK(fixture.selectTarget(request, Start) == "[all-excluded]");
    fixture.selector.reinstateTarget("a2", Start);
    CHECK(fixture.selectTarget(request, Start) == "a2");
}

// Guards against a burst on a target that has just started and is still cold.
TEST_CASE("Slow start limits a new target to a growing fraction of its slots")
{
    const auto [age, maxRuns] = GENERATE(table<Duration, size_t>({{0s, 1}, {5s, 8}, {10s, 16}}));
    Fixture fixture;
    fixture.add("new", "a", Start - age);
    SelectRequest request = labelRequest();
    request.model = "planner";
    while (fixture.selectTarget(request, Start) == "new")
        fixture.selector.start("new", request, Start);
    CHECK(fixture.selector.inFlight("new") == maxRuns);
}

// Guards against memory that fills up during decoding because only the current use was counted.
TEST_CASE("Long expected outputs need headroom and more of it with a low stall-weight")
{
    const auto [weight, used, expected] = GENERATE(table<uint32_t, double, std::string>({
            {0, 20000, "a1"},
            {0, 38000, "[no-headroom]"},
            {100, 38000, "a1"},
            {100, 62000, "[no-headroom]"},
    }));
    Fixture fixture({.ownDomain = "a", .stallWeight = weight});
    for (int i = 0; i < 30; ++i)
        fixture.lengths.record("kiosk", "report", 8000);
    fixture.add("a1", "a");
    fixture.report("a1", 8, used, Start);
    SelectRequest report;
    report.account = "kiosk";
    report.className = "report";
    report.promptTokens = 2000;
    CHECK(fixture.selectTarget(report, Start) == expected);
}

// Guards against short requests that wait for memory which long ones are expected to need, and against use of
// the configured memory when the engine reports less.
TEST_CASE("Small requests may use more memory and a smaller reported memory applies")
{
    Fixture fixture;
    for (int i = 0; i < 30; ++i)
        fixture.lengths.record("cashier", "label", 40);
    fixture.add("a1", "a");
    fixture.report("a1", 8, 50000, Start);
    SelectRequest small = labelRequest();
    small.account = "cashier";
    CHECK(fixture.selectTarget(small, Start) == "a1");
    SelectRequest large = labelRequest();
    large.promptTokens = 4000;
    CHECK(fixture.selectTarget(large, Start) == "[no-headroom]");

    const int64_t time = toMilliseconds(Start.time_since_epoch());
    fixture.selector.applyReport("a1", {1, time, 8, 0, 50000, 50000, 0}, Start + 300ms);
    CHECK(fixture.selectTarget(small, Start + 300ms) == "[no-headroom]");
}

// Guards against new work for an engine that already queues requests.
TEST_CASE("An engine with queued requests gets no work while that report is recent")
{
    Fixture fixture;
    fixture.add("a1", "a");
    const int64_t time = toMilliseconds(Start.time_since_epoch());
    fixture.selector.applyReport("a1", {1, time, 2, 1, 5000, 60000, 0}, Start);
    CHECK(fixture.selectTarget(labelRequest(), Start) == "[no-headroom]");
    CHECK(fixture.selectTarget(labelRequest(), Start + 1s) == "a1");
}

// Guards against decisions based on outdated reports or on reports that arrive out of order.
TEST_CASE("A stale load report loses its weight and reports out of order are dropped")
{
    Fixture fixture;
    fixture.add("a1", "a");
    fixture.report("a1", 16, 59000, Start);
    CHECK(fixture.selectTarget(labelRequest(), Start) == "[no-headroom]");
    CHECK(fixture.selectTarget(labelRequest(), Start + 10s) == "a1");

    fixture.report("a1", 16, 59000, Start + 11s);
    fixture.report("a1", 0, 0, Start + 2s);
    CHECK(fixture.selectTarget(labelRequest(), Start + 11s) == "[no-headroom]");
    // A restarted engine has a new incarnation and a clock that may start at a lower time.
    fixture.selector.applyReport("a1", {2, 5, 0, 0, 0, 60000, 0}, Start + 12s);
    CHECK(fixture.selectTarget(labelRequest(), Start + 12s) == "a1");
}

// Guards against use of memory that a preempted request of a peer will need again, though the report does not
// show it.
TEST_CASE("Memory that peers advertise by gossip counts when the engine reports less")
{
    Fixture fixture;
    fixture.add("a1", "a");
    fixture.report("a1", 4, 5000, Start);
    const std::vector<TargetUsage> usage{{"a1", 4, 58000, false}};
    CHECK(fixture.selectTarget(labelRequest(), Start) == "a1");
    fixture.selector.applyPeerTargetUsage("entry-2", usage, Start);
    CHECK(fixture.selectTarget(labelRequest(), Start) == "[no-headroom]");
}

// Guards against runs of a peer that stay counted after its gossip has stopped.
TEST_CASE("Peer usage from gossip fills a target and expires")
{
    Fixture fixture;
    fixture.add("a1", "a");
    const std::vector<TargetUsage> usage{{"a1", 16, 10000, false}, {"gone", 3, 10, false}};
    fixture.selector.applyPeerTargetUsage("entry-2", usage, Start);
    CHECK(fixture.selectTarget(labelRequest(), Start + 1s) == "[no-headroom]");
    CHECK(fixture.selectTarget(labelRequest(), Start + 6s) == "a1");
    fixture.selector.applyPeerTargetUsage("entry-2", usage, Start + 7s);
    fixture.selector.applyPeerTargetUsage("entry-2", {}, Start + 8s);
    CHECK(fixture.selectTarget(labelRequest(), Start + 8s) == "a1");
}

// Guards against affinity that overloads the target with the cached prefix, and against use of cache events
// that are known to be incomplete.
TEST_CASE("Prefix affinity follows cache events within the load bound")
{
    const std::vector<PrefixHash> prefix{11, 12, 13};
    SelectRequest request = labelRequest();
    request.prefixHashes = prefix;
    Fixture fixture;
    for (const char *id : {"a1", "a2", "a3", "a4"}) {
        fixture.add(id, "a");
        fixture.report(id, 4, 10000, Start);
    }
    const auto event = [&](uint64_t incarnation, uint64_t sequence, CacheEvent::Kind kind) {
        fixture.selector.applyCacheEvent("a3", {incarnation, sequence, kind, prefix});
    };
    const auto selectedFraction = [&] { return fixture.countSelections(request, Start)["a3"] / 1000.0; };
    event(1, 1, CacheEvent::Kind::Stored);
    CHECK(selectedFraction() == 1.0);

    SECTION("a busier target gets no affinity")
    {
        fixture.report("a3", 8, 20000, Start + 1ms);
        CHECK(selectedFraction() < 0.1);
    }
    SECTION("an eviction ends the affinity")
    {
        event(1, 2, CacheEvent::Kind::Evicted);
        CHECK(selectedFraction() < 0.6);
    }
    SECTION("one gap halves the confidence and a second ends it")
    {
        fixture.selector.applyCacheEvent("a3", {1, 5, CacheEvent::Kind::Stored, {99}});
        CHECK(selectedFraction() == 1.0);
        fixture.selector.applyCacheEvent("a3", {1, 9, CacheEvent::Kind::Stored, {99}});
        CHECK(selectedFraction() < 0.6);
    }
    SECTION("a restart invalidates earlier events and repeated events are ignored")
    {
        fixture.selector.applyCacheEvent("a3", {2, 1, CacheEvent::Kind::Stored, {99}});
        CHECK(selectedFraction() < 0.6);
        event(2, 1, CacheEvent::Kind::Stored);
        CHECK(selectedFraction() < 0.6);
    }
}

// Guards against a suspect that crashes a target on which requests of other callers run.
TEST_CASE("A suspect runs isolated on a target that is reserved for it")
{
    Fixture fixture;
    fixture.add("a1", "a");
    fixture.add("b1", "b");
    SelectRequest request = labelRequest();
    request.model = "planner";
    SelectRequest suspect = request;
    suspect.requiresIsolation = true;
    const RunId busyA = fixture.selector.start("a1", request, Start);
    fixture.selector.start("b1", request, Start);
    CHECK(fixture.selectTarget(suspect, Start) == "[no-idle-target]");
    CHECK(fixture.selectTarget(request, Start) == "b1");
    fixture.selector.finish(busyA, RunOutcome::Completed, Start + 1s);
    REQUIRE(fixture.selectTarget(suspect, Start + 1s) == "a1");
    const RunId isolated = fixture.selector.start("a1", suspect, Start + 1s);
    CHECK(fixture.selector.ownUsage(Start + 1s).front().isReserved);
    CHECK(fixture.countSelections(request, Start + 1s).count("a1") == 0);
    fixture.selector.finish(isolated, RunOutcome::Completed, Start + 2s);
    CHECK(fixture.selectTarget(request, Start + 2s) == "a1");

    const std::vector<TargetUsage> reserved{{"a1", 0, 0, true}};
    fixture.selector.applyPeerTargetUsage("entry-2", reserved, Start + 3s);
    CHECK(fixture.selectTarget(request, Start + 3s) == "b1");
}

// Guards against a broken target that keeps getting requests, and against one that is never readmitted.
TEST_CASE("An ejected target is readmitted after one successful probe")
{
    Fixture fixture;
    fixture.add("a1", "a");
    fixture.add("a2", "a");
    SelectRequest request = labelRequest();
    request.model = "planner";
    for (int i = 0; i < 3; ++i)
        fixture.selector.finish(fixture.selector.start("a1", request, Start), RunOutcome::Failed, Start);
    CHECK(fixture.countSelections(request, Start).count("a1") == 0);

    fixture.selector.markLeaving("a2");
    CHECK(fixture.selectTarget(request, Start + 500ms) == "[all-ejected]");
    REQUIRE(fixture.selectTarget(request, Start + 1s) == "a1");
    const RunId probe = fixture.selector.start("a1", request, Start + 1s);
    CHECK(fixture.selectTarget(request, Start + 1s) == "[all-ejected]");
    // A cancelled probe is no evidence about the target, so the next request is the probe.
    fixture.selector.finish(probe, RunOutcome::Cancelled, Start + 1s);
    REQUIRE(fixture.selectTarget(request, Start + 1s) == "a1");
    const RunId second = fixture.selector.start("a1", request, Start + 1s);
    fixture.selector.recordProgress(second, 1, Start + 2s);
    CHECK(fixture.selectTarget(request, Start + 2s) == "a1");
}
