#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{};
const EngineTraits Engine{64, 34000, 262144, true, true, 4};

RunnerEntry makeEntry(std::string id, std::string domain, bool isLeaving = false)
{
    RunnerEntry entry;
    entry.id = std::move(id);
    entry.service = "s";
    entry.address = "10.0.0.1:" + std::to_string(8000 + entry.id.size());
    entry.domain = std::move(domain);
    entry.slots = 6;
    entry.isLeaving = isLeaving;
    return entry;
}

std::string chosenId(const RunnerPool &pool, const RunnerCriteria &criteria, Random &random,
                     const EngineTraits *engine = nullptr)
{
    const auto placed = pool.choose(criteria, engine, Start, random);
    const auto *runner = std::get_if<RunnerPool::RunnerPointer>(&placed);
    return runner == nullptr ? std::string{} : (*runner)->entry.id;
}

} // namespace

TEST_CASE("A leaving runner gets no requests and stays leaving after an outdated list", "[runnerpool]")
{
    RunnerPool pool;
    Random random{1};
    pool.setFleet(std::vector{makeEntry("a", "z"), makeEntry("bb", "z", true)}, Start);
    const RunnerCriteria criteria{"s", "z", std::nullopt};
    for (int i = 0; i < 20; ++i)
        CHECK(chosenId(pool, criteria, random) == "a");
    pool.setFleet(std::vector{makeEntry("a", "z"), makeEntry("bb", "z", false)}, Start);
    CHECK(pool.find("bb")->entry.isLeaving);
}

TEST_CASE("A runner that restarts under its id is not leaving", "[runnerpool]")
{
    RunnerPool pool;
    pool.setFleet(std::vector{makeEntry("a", "z", true)}, Start);
    RunnerEntry restarted = makeEntry("a", "z");
    restarted.startedAtMs = 5;
    pool.setFleet(std::vector{restarted}, Start);
    CHECK_FALSE(pool.find("a")->entry.isLeaving);
}

// Load pattern: all gateways see the same report of an idle runner.
TEST_CASE("The load of a gateway itself counts before any report includes it", "[runnerpool]")
{
    RunnerPool pool;
    Random random{2};
    pool.setFleet(std::vector{makeEntry("a", "z"), makeEntry("bb", "z")}, Start);
    std::map<std::string, int> counts;
    for (int i = 0; i < 8; ++i) {
        RunnerCriteria criteria{"s", "z", GenerationSize{3000, 900}};
        const std::string id = chosenId(pool, criteria, random, &Engine);
        ++counts[id];
        pool.find(id)->ownLoad += RunnerLoad{1, 3900, 3000};
    }
    CHECK(counts["a"] == 4);
    CHECK(counts["bb"] == 4);
}

TEST_CASE("The choice reports that all runners are full", "[runnerpool]")
{
    RunnerPool pool;
    Random random{3};
    pool.setFleet(std::vector{makeEntry("a", "z")}, Start);
    pool.setOtherLoad({{"a", RunnerLoad{8, 33000, 0}}});
    const RunnerCriteria criteria{"s", "z", GenerationSize{3000, 900}};
    const auto placed = pool.choose(criteria, &Engine, Start, random);
    REQUIRE(std::holds_alternative<NoRunner>(placed));
    CHECK(std::get<NoRunner>(placed).reason == NoRunner::Reason::AllFull);
}

TEST_CASE("Runners of the own failure domain are preferred unless they are busier", "[runnerpool]")
{
    RunnerPool pool;
    Random random{4};
    pool.setFleet(std::vector{makeEntry("near", "z"), makeEntry("faraway", "y")}, Start);
    RunnerCriteria criteria{"s", "z", GenerationSize{3000, 900}};
    criteria.crossDomainSeconds = 0.15;
    CHECK(chosenId(pool, criteria, random, &Engine) == "near");
    pool.find("near")->ownLoad += RunnerLoad{2, 7800, 6000};
    CHECK(chosenId(pool, criteria, random, &Engine) == "faraway");
}

TEST_CASE("A runner that fails repeatedly is ejected but used if it is the only one", "[runnerpool]")
{
    RunnerPool pool;
    Random random{5};
    pool.setFleet(std::vector{makeEntry("a", "z"), makeEntry("bb", "z")}, Start);
    for (int i = 0; i < 3; ++i)
        RunnerPool::recordSend(*pool.find("a"), SendHealth::Failed, 10ms, Start);
    const RunnerCriteria criteria{"s", "z", std::nullopt};
    for (int i = 0; i < 20; ++i)
        CHECK(chosenId(pool, criteria, random) == "bb");
    const std::set<std::string> excluded{"bb"};
    RunnerCriteria criteriaWithoutOther = criteria;
    criteriaWithoutOther.excluded = &excluded;
    CHECK(chosenId(pool, criteriaWithoutOther, random) == "a");
}

// Load pattern: the leading coordinator places the generations of all gateways. A random choice among the
// cheaper half sent every second stream to another failure domain, where a network partition stalls it.
TEST_CASE("The coordinator chooses the runner with the lowest cost", "[runnerpool]")
{
    RunnerPool pool;
    Random random{6};
    pool.setFleet(std::vector{makeEntry("near", "z"), makeEntry("a", "y"), makeEntry("b", "y")}, Start);
    RunnerCriteria criteria{"s", "z", GenerationSize{3000, 900}};
    criteria.crossDomainSeconds = 0.6;
    criteria.isFromCoordinator = true;
    pool.find("near")->ownLoad += RunnerLoad{1, 3900, 3000};
    for (int i = 0; i < 20; ++i)
        CHECK(chosenId(pool, criteria, random, &Engine) == "near");
}

// Guards against requests that wait for a connection to runners behind a network partition while others can
// be reached.
TEST_CASE("An unresponsive runner is used only if there is no other", "[runnerpool]")
{
    RunnerPool pool;
    Random random{7};
    RunnerEntry unresponsive = makeEntry("silent", "z");
    unresponsive.isUnresponsive = true;
    pool.setFleet(std::vector{unresponsive, makeEntry("a", "y")}, Start);
    const bool isFromCoordinator = GENERATE(false, true);
    RunnerCriteria criteria{"s", "z", GenerationSize{3000, 900}};
    criteria.isFromCoordinator = isFromCoordinator;
    for (int i = 0; i < 20; ++i)
        CHECK(chosenId(pool, criteria, random, &Engine) == "a");
    const std::set<std::string> excluded{"a"};
    criteria.excluded = &excluded;
    CHECK(chosenId(pool, criteria, random, &Engine) == "silent");
}

TEST_CASE("An unresponsive runner is not used while the other runners are full", "[runnerpool]")
{
    RunnerPool pool;
    Random random{8};
    RunnerEntry unresponsive = makeEntry("silent", "z");
    unresponsive.isUnresponsive = true;
    pool.setFleet(std::vector{unresponsive, makeEntry("a", "z")}, Start);
    pool.find("a")->ownLoad += RunnerLoad{8, 33000, 0};
    const RunnerCriteria criteria{"s", "z", GenerationSize{3000, 900}};
    const auto placed = pool.choose(criteria, &Engine, Start, random);
    REQUIRE(std::holds_alternative<NoRunner>(placed));
    CHECK(std::get<NoRunner>(placed).reason == NoRunner::Reason::AllFull);
}

// Guards against copies that start too late: the report of a leaving runner is up to half a second old.
TEST_CASE("The time until a runner stops is reduced by the age of its report", "[runnerpool]")
{
    RunnerPool pool;
    RunnerEntry entry = makeEntry("a", "z", true);
    entry.report = RunnerReport{};
    entry.report->isLeaving = true;
    entry.report->timeUntilStop = 1800ms;
    pool.setFleet(std::vector{entry}, Start);
    CHECK(pool.find("a")->stopForecast(Start).earliest == Duration{1300ms});
    CHECK(pool.find("a")->stopForecast(Start).latest == Duration{1800ms});
    // The same report in a later list does not postpone the stop.
    pool.setFleet(std::vector{entry}, Start + 400ms);
    CHECK(pool.find("a")->stopForecast(Start + 400ms).earliest == Duration{900ms});
    CHECK(pool.find("a")->stopForecast(Start + 400ms).latest == Duration{1400ms});
}

// Load pattern: memory is full everywhere except on a runner that has just started. It prefills one prompt
// after the other, so a dozen generations that are placed there at the same time all start late.
TEST_CASE("Generations go to other runners while recent prompts are still in prefill", "[runnerpool]")
{
    RunnerPool pool;
    Random random{6};
    pool.setFleet(std::vector{makeEntry("new", "z"), makeEntry("filled", "z")}, Start);
    pool.setOtherLoad({{"filled", RunnerLoad{5, 20000, 0}}});
    RunnerCriteria criteria{"s", "z", GenerationSize{3000, 900, 2196}};
    criteria.isFromCoordinator = true;
    std::map<std::string, int> counts;
    for (int i = 0; i < 6; ++i) {
        const std::string id = chosenId(pool, criteria, random, &Engine);
        ++counts[id];
        pool.find(id)->addPrefill(3000, Start);
    }
    CHECK(counts["new"] >= 3);
    CHECK(counts["filled"] >= 2);
}

TEST_CASE("Prompts whose prefill ended earlier do not delay later ones", "[runnerpool]")
{
    RunnerPool::Runner runner;
    runner.addPrefill(8000, Start);
    const TimePoint prefillEnd = *runner.prefillUntil;
    CHECK(prefillEnd > Start + 500ms);
    runner.addPrefill(8000, Start + 10s);
    CHECK(*runner.prefillUntil == Start + 10s + (prefillEnd - Start));
}

TEST_CASE("Memory utilization includes only usable runners", "[runnerpool]")
{
    RunnerPool pool;
    CHECK(pool.memoryUtilization("s", Engine) == 1.0);
    RunnerEntry unresponsive = makeEntry("silent", "z");
    unresponsive.isUnresponsive = true;
    pool.setFleet(std::vector{makeEntry("a", "z"), makeEntry("bb", "z"), makeEntry("gone", "z", true),
                              unresponsive},
                  Start);
    pool.setOtherLoad({{"a", RunnerLoad{4, 17000, 0}}, {"gone", RunnerLoad{8, 34000, 0}}});
    CHECK(pool.memoryUtilization("s", Engine) == Approx(0.25));
}
