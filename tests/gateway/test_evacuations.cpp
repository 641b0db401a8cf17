#include "gateway/configstore.h"
#include "gateway/exchange.h"
#include "libgateway/gateway.h"
#include "platform/platform.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace eelgrasslift;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

const TimePoint Now{1000s};

RunnerEntry entry(const std::string &id, const std::string &domain)
{
    RunnerEntry result;
    result.id = id;
    result.service = "s";
    result.address = "10.0.0.1:" + std::to_string(8000 + id.back());
    result.domain = domain;
    result.slots = 6;
    return result;
}

std::set<std::string> chosenDomains(const RunnerPool &pool)
{
    Random random(1);
    RunnerCriteria criteria;
    criteria.service = "s";
    criteria.domain = "east";
    std::set<std::string> domains;
    for (int i = 0; i < 200; ++i) {
        const auto placed = pool.choose(criteria, nullptr, Now, random);
        if (const auto *runner = std::get_if<RunnerPool::RunnerPointer>(&placed))
            domains.insert((*runner)->entry.domain);
    }
    return domains;
}

Evacuations evacuations(uint64_t sequence, std::set<std::string, std::less<>> domains)
{
    return {sequence, std::move(domains)};
}

/// Applies the changes as commands of the replicated log.
void apply(ConfigStore &store, const std::vector<EvacuationChange> &changes)
{
    for (const EvacuationChange &change : changes)
        store.apply(1, ConfigStore::encode(change));
}

} // namespace

// Guards against requests that reach an evacuated failure domain, and against a coordinator that is behind
// and ends an evacuation, or begins one again.
TEST_CASE("Runners of evacuated failure domains are not chosen", "[evacuations]")
{
    struct Case
    {
        const char *name;
        /// States in the order in which they arrive.
        std::vector<Evacuations> states;
        std::set<std::string> chosen;
    };
    const auto test = GENERATE(values<Case>({
            {"none", {}, {"east", "west", "north"}},
            {"one domain", {evacuations(1, {"east"})}, {"west", "north"}},
            {"two domains", {evacuations(2, {"east", "north"})}, {"west"}},
            {"all", {evacuations(3, {"east", "north", "west"})}, {}},
            {"withdrawn", {evacuations(1, {"east"}), evacuations(2, {})}, {"east", "west", "north"}},
            {"an older state that arrives later",
             {evacuations(2, {}), evacuations(1, {"east"})},
             {"east", "west", "north"}},
            {"a coordinator that knows nothing yet",
             {evacuations(1, {"east"}), evacuations(0, {})},
             {"west", "north"}},
            {"an unknown domain", {evacuations(1, {"south"})}, {"east", "west", "north"}},
    }));
    INFO(test.name);
    RunnerPool pool;
    const std::vector<RunnerEntry> entries{entry("r1", "east"), entry("r2", "west"), entry("r3", "north")};
    pool.setFleet(entries, Now);
    for (const Evacuations &state : test.states)
        pool.setEvacuations(state);
    // A gateway chooses among the cheaper half only.
    CHECK(std::ranges::includes(test.chosen, chosenDomains(pool)));
    CHECK(chosenDomains(pool).empty() == test.chosen.empty());
    // Without another runner requests are refused at once instead of waiting.
    CHECK(pool.areAllLeaving("s") == test.chosen.empty());
    // A new list changes nothing.
    pool.setFleet(entries, Now);
    CHECK(std::ranges::includes(test.chosen, chosenDomains(pool)));
    for (const auto &[id, runner] : pool.runners())
        CHECK(pool.acceptsMoves(*runner, Now) == test.chosen.contains(runner->entry.domain));
}

// Guards against an acknowledged evacuation that is gone after a restart, and against snapshots of earlier
// versions, or without evacuations, that cannot be read.
TEST_CASE("Evacuations are part of the replicated state", "[evacuations]")
{
    struct Case
    {
        const char *name;
        std::vector<EvacuationChange> changes;
        Evacuations result;
    };
    const auto test = GENERATE(values<Case>({
            {"none", {}, {}},
            {"one", {{"east", true}}, evacuations(1, {"east"})},
            {"a repeat", {{"east", true}, {"east", true}}, evacuations(1, {"east"})},
            {"withdrawn", {{"east", true}, {"east", false}}, evacuations(2, {})},
            {"withdrawn before it began", {{"east", false}}, {}},
            {"two", {{"east", true}, {"west", true}, {"east", false}}, evacuations(3, {"west"})},
    }));
    INFO(test.name);
    ConfigStore store;
    store.apply(1, ConfigStore::encode(7, "body"));
    apply(store, test.changes);
    CHECK(store.evacuations() == test.result);
    CHECK(store.version() == 7);
    ConfigStore restored;
    restored.installSnapshot(store.takeSnapshot());
    CHECK(restored.evacuations() == test.result);
    CHECK(restored.version() == 7);
    CHECK(restored.body() == "body");
    if (test.result.sequence == 0)
        CHECK(store.takeSnapshot() == ConfigStore::encode(7, "body"));
    // A snapshot without evacuations replaces those of this process.
    restored.installSnapshot(ConfigStore::encode(8, "next"));
    CHECK(restored.evacuations() == Evacuations{});
}

// Guards against a broken snapshot or log entry that changes the state in part.
TEST_CASE("Unreadable evacuations change nothing", "[evacuations]")
{
    ConfigStore store;
    store.apply(1, ConfigStore::encode(7, "body"));
    apply(store, {{"east", true}});
    const std::string snapshot = store.takeSnapshot();
    const std::string command = ConfigStore::encode(EvacuationChange{"west", true});
    for (size_t size = ConfigStore::encode(7, "body").size() + 1; size < snapshot.size(); ++size) {
        ConfigStore other;
        other.installSnapshot(snapshot.substr(0, size));
        CHECK(other.version() == 0);
    }
    for (size_t size = 0; size < command.size(); ++size)
        store.apply(2, command.substr(0, size));
    CHECK(store.evacuations() == evacuations(1, {"east"}));
}

TEST_CASE("Operators' requests for evacuations are decoded", "[evacuations]")
{
    struct Case
    {
        http::verb method;
        const char *target;
        /// Empty: it is another request.
        std::string domain;
        bool isEvacuated;
    };
    const auto test = GENERATE(values<Case>({
            {http::verb::post, "/v1/evacuation/east", "east", true},
            {http::verb::delete_, "/v1/evacuation/east", "east", false},
            {http::verb::post, "/v1/evacuation/east?x=1", "east", true},
            {http::verb::get, "/v1/evacuation/east", "", false},
            {http::verb::put, "/v1/evacuation/east", "", false},
            {http::verb::post, "/v1/evacuation/", "", false},
            {http::verb::post, "/v1/evacuation", "", false},
            {http::verb::post, "/v1/evacuation/east/west", "", false},
            {http::verb::post, "/v1/config", "", false},
    }));
    INFO(test.target);
    RequestHeader header;
    header.method(test.method);
    header.target(test.target);
    const auto change = platform::PlatformFormat().decodeEvacuation(header);
    REQUIRE(change.has_value() == !test.domain.empty());
    if (change) {
        CHECK(change->domain == test.domain);
        CHECK(change->isEvacuated == test.isEvacuated);
    }
}

// Guards against gateways that do not hear of an evacuation, and against older processes that fail over it.
TEST_CASE("Evacuations pass through the exchange", "[evacuations]")
{
    const auto state =
            GENERATE(values<Evacuations>({{}, evacuations(1, {"east", "west"}), evacuations(2, {})}));
    CoordinatorStatus status;
    status.evacuations = state;
    const auto decoded = decodeCoordinatorStatus(encodeStatus(status));
    CHECK(std::get<CoordinatorStatus>(decoded).evacuations == state);
}
