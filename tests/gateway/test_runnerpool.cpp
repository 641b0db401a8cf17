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

std::string chosenId(const RunnerPool &pool, const RunnerCriteria &request, Random &random,
                     const EngineTraits *engine = nullptr)
{
    const auto placed = pool.choose(request, engine, Start, random);
    const auto *runner = std::get_if<RunnerPool::RunnerPointer>(&placed);
    return runner == nullptr ? std::string{} : (*runner)->entry.id;
}

} // namespace

TEST_CASE("A leaving runner gets no work and does not come back with a stale list", "[runnerpool]")
{
    RunnerPool pool;
    Random random{1};
    pool.setFleet(std::vector{makeEntry("a", "z"), makeEntry("bb", "z", true)}, Start);
    const RunnerCriteria request{"s", "z", std::nullopt};
    for (int i = 0; i < 20; ++i)
        CHECK(chosenId(pool, request, random) == "a");
    pool.setFleet(std::vector{makeEntry("a", "z"), makeEntry("bb", "z", false)}, Start);
    CHECK(pool.find("bb")->entry.isLeaving);
}

TEST_CASE("A runner that starts again under its id is a new one", "[runnerpool]")
{
    RunnerPool pool;
    pool.setFleet(std::vector{makeEntry("a", "z", true)}, Start);
    RunnerEntry again = makeEntry("a", "z");
    again.startedAtMs = 5;
    pool.setFleet(std::vector{again}, Start);
    CHECK_FALSE(pool.find("a")->entry.isLeaving);
}

// Load pattern: all gateways see the same report of an idle runner.
TEST_CASE("Own work in flight counts before any report shows it", "[runnerpool]")
{
    RunnerPool pool;
    Random random{2};
    pool.setFleet(std::vector{makeEntry("a", "z"), makeEntry("bb", "z")}, Start);
    std::map<std::string, int> counts;
    for (int i = 0; i < 8; ++i) {
        RunnerCriteria request{"s", "z", GenerationSize{3000, 900}};
        const std::string id = chosenId(pool, request, random, &Engine);
        ++counts[id];
        pool.find(id)->ownLoad += RunnerLoad{1, 3900, 3000};
    }
    CHECK(counts["a"] == 4);
    CHECK(counts["bb"] == 4);
}

TEST_CASE("A generation that does not fit any runner is told so", "[runnerpool]")
{
    RunnerPool pool;
    Random random{3};
    pool.setFleet(std::vector{makeEntry("a", "z")}, Start);
    pool.setOtherLoad({{"a", RunnerLoad{8, 33000, 0}}});
    const RunnerCriteria request{"s", "z", GenerationSize{3000, 900}};
    const auto placed = pool.choose(request, &Engine, Start, random);
    REQUIRE(std::holds_alternative<NoRunner>(placed));
    CHECK(std::get<NoRunner>(placed).reason == NoRunner::Reason::AllFull);
}

TEST_CASE("Runners of the own failure domain are preferred while they are not busier", "[runnerpool]")
{
    RunnerPool pool;
    Random random{4};
    pool.setFleet(std::vector{makeEntry("near", "z"), makeEntry("faraway", "y")}, Start);
    RunnerCriteria request{"s", "z", GenerationSize{3000, 900}};
    request.crossDomainSeconds = 0.15;
    CHECK(chosenId(pool, request, random, &Engine) == "near");
    pool.find("near")->ownLoad += RunnerLoad{2, 7800, 6000};
    CHECK(chosenId(pool, request, random, &Engine) == "faraway");
}

TEST_CASE("A runner that fails again and again is left alone for a while", "[runnerpool]")
{
    RunnerPool pool;
    Random random{5};
    pool.setFleet(std::vector{makeEntry("a", "z"), makeEntry("bb", "z")}, Start);
    for (int i = 0; i < 3; ++i)
        RunnerPool::recordSend(*pool.find("a"), SendHealth::Failed, 10ms, Start);
    const RunnerCriteria request{"s", "z", std::nullopt};
    for (int i = 0; i < 20; ++i)
        CHECK(chosenId(pool, request, random) == "bb");
    const std::set<std::string> excluded{"bb"};
    RunnerCriteria rest = request;
    rest.excluded = &excluded;
    CHECK(chosenId(pool, rest, random) == "a");
}

// Load pattern: the leading coordinator places for all gateways; a random choice among the cheaper half sent
// every second stream to another failure domain, where a partition stalls it.
TEST_CASE("Whoever chooses for all gateways takes the cheapest runner", "[runnerpool]")
{
    RunnerPool pool;
    Random random{6};
    pool.setFleet(std::vector{makeEntry("near", "z"), makeEntry("a", "y"), makeEntry("b", "y")}, Start);
    RunnerCriteria request{"s", "z", GenerationSize{3000, 900}};
    request.crossDomainSeconds = 0.6;
    request.isFromCoordinator = true;
    pool.find("near")->ownLoad += RunnerLoad{1, 3900, 3000};
    for (int i = 0; i < 20; ++i)
        CHECK(chosenId(pool, request, random, &Engine) == "near");
}

// Guards against requests that wait for a connection to runners behind a partition while others are in reach.
TEST_CASE("A runner that answers no questions is used last", "[runnerpool]")
{
    RunnerPool pool;
    Random random{7};
    RunnerEntry silent = makeEntry("silent", "z");
    silent.isUnresponsive = true;
    pool.setFleet(std::vector{silent, makeEntry("a", "y")}, Start);
    const bool isFromCoordinator = GENERATE(false, true);
    RunnerCriteria request{"s", "z", GenerationSize{3000, 900}};
    request.isFromCoordinator = isFromCoordinator;
    for (int i = 0; i < 20; ++i)
        CHECK(chosenId(pool, request, random, &Engine) == "a");
    const std::set<std::string> excluded{"a"};
    request.excluded = &excluded;
    CHECK(chosenId(pool, request, random, &Engine) == "silent");
}

TEST_CASE("A silent runner is not used while runners in reach are full for the moment", "[runnerpool]")
{
    RunnerPool pool;
    Random random{8};
    RunnerEntry silent = makeEntry("silent", "z");
    silent.isUnresponsive = true;
    pool.setFleet(std::vector{silent, makeEntry("a", "z")}, Start);
    pool.find("a")->ownLoad += RunnerLoad{8, 33000, 0};
    const RunnerCriteria request{"s", "z", GenerationSize{3000, 900}};
    const auto placed = pool.choose(request, &Engine, Start, random);
    REQUIRE(std::holds_alternative<NoRunner>(placed));
    CHECK(std::get<NoRunner>(placed).reason == NoRunner::Reason::AllFull);
}

// Guards against copies that begin too late: a report of a leaving runner is up to half a second old.
TEST_CASE("The time until a runner is gone is reduced by the age of its report", "[runnerpool]")
{
    RunnerPool pool;
    RunnerEntry entry = makeEntry("a", "z", true);
    entry.report = RunnerReport{};
    entry.report->isLeaving = true;
    entry.report->timeUntilStop = 1800ms;
    pool.setFleet(std::vector{entry}, Start);
    CHECK(pool.find("a")->timeUntilStop(Start) == Duration{1300ms});
    // The same report in a later list does not postpone it.
    pool.setFleet(std::vector{entry}, Start + 400ms);
    CHECK(pool.find("a")->timeUntilStop(Start + 400ms) == Duration{900ms});
}

// Load pattern: memory is full everywhere but on a runner that has just come. Its prompts are read one after
// the other, so a dozen generations that are placed there at once all start late.
TEST_CASE("Prompts that were placed a moment ago send the next one elsewhere", "[runnerpool]")
{
    RunnerPool pool;
    Random random{6};
    pool.setFleet(std::vector{makeEntry("new", "z"), makeEntry("filled", "z")}, Start);
    pool.setOtherLoad({{"filled", RunnerLoad{5, 20000, 0}}});
    RunnerCriteria request{"s", "z", GenerationSize{3000, 900, 2196}};
    request.isFromCoordinator = true;
    std::map<std::string, int> counts;
    for (int i = 0; i < 6; ++i) {
        const std::string id = chosenId(pool, request, random, &Engine);
        ++counts[id];
        pool.find(id)->addPrefill(3000, Start);
    }
    CHECK(counts["new"] >= 3);
    CHECK(counts["filled"] >= 2);
}

TEST_CASE("Prompts that were read long ago cost nothing", "[runnerpool]")
{
    RunnerPool::Runner runner;
    runner.addPrefill(8000, Start);
    const TimePoint read = *runner.prefillUntil;
    CHECK(read > Start + 500ms);
    runner.addPrefill(8000, Start + 10s);
    CHECK(*runner.prefillUntil == Start + 10s + (read - Start));
}

TEST_CASE("Memory in use counts runners that can be used", "[runnerpool]")
{
    RunnerPool pool;
    CHECK(pool.memoryUtilization("s", Engine) == 1.0);
    RunnerEntry silent = makeEntry("silent", "z");
    silent.isUnresponsive = true;
    pool.setFleet(
            std::vector{makeEntry("a", "z"), makeEntry("bb", "z"), makeEntry("gone", "z", true), silent},
            Start);
    pool.setOtherLoad({{"a", RunnerLoad{4, 17000, 0}}, {"gone", RunnerLoad{8, 34000, 0}}});
    CHECK(pool.memoryUtilization("s", Engine) == Approx(0.25));
}
