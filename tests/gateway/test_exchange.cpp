#include "gateway/exchange.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

const MemoryForecast Growing(MemoryForecast::Tokens{3000, 3070, 3100, 2500, 1200, 300});

template <typename Value>
Value decoded(Result<Value, ExchangeError> result)
{
    if (const auto *error = std::get_if<ExchangeError>(&result))
        FAIL(error->detail);
    return std::move(std::get<Value>(result));
}

} // namespace

// Guards against fields that one side writes and the other does not read: the coordinator refuses such a
// call, and each copy away from a leaving runner then goes without its turn.
TEST_CASE("A wish for a transfer survives the exchange", "[exchange]")
{
    TransferWish wish;
    wish.gateway = "g1";
    wish.sourceId = "r1";
    wish.service = "s";
    wish.size = GenerationSize{3000, 900, 2196};
    wish.madeTokens = 120;
    wish.worth = 12000;
    wish.excluded = {"r2", "r3"};
    const TransferWish read = decoded(decodeWish(encodeWish(wish)));
    CHECK(read.gateway == wish.gateway);
    CHECK(read.sourceId == wish.sourceId);
    CHECK(read.service == wish.service);
    CHECK(read.size.promptTokens == wish.size.promptTokens);
    CHECK(read.size.outputTokens == wish.size.outputTokens);
    CHECK(read.size.maxOutputTokens == wish.size.maxOutputTokens);
    CHECK(read.madeTokens == wish.madeTokens);
    CHECK(read.worth == wish.worth);
    CHECK(read.excluded == wish.excluded);
}

TEST_CASE("A wish for a placement survives the exchange", "[exchange]")
{
    const PlacementWish wish{"g1", "s", "kapana", GenerationSize{2200, 12, 32}, 0.9, 0.6, {"r2"},
                             3,    1,   250ms};
    const PlacementWish read = decoded(decodePlacementWish(encodePlacementWish(wish)));
    CHECK(read.gateway == wish.gateway);
    CHECK(read.service == wish.service);
    CHECK(read.domain == wish.domain);
    CHECK(read.size.promptTokens == wish.size.promptTokens);
    CHECK(read.size.outputTokens == wish.size.outputTokens);
    CHECK(read.size.maxOutputTokens == wish.size.maxOutputTokens);
    CHECK(read.memoryLimit == wish.memoryLimit);
    CHECK(read.crossingSeconds == wish.crossingSeconds);
    CHECK(read.priority == wish.priority);
    CHECK(read.routePriority == wish.routePriority);
    CHECK(read.waited == wish.waited);
    CHECK(read.excluded == wish.excluded);
    CHECK(decoded(decodePlacement(encodePlacement({"r7"}))).runnerId == "r7");
}

TEST_CASE("A transfer turn survives the exchange", "[exchange]")
{
    const TransferTurn turn = decoded(decodeTurn(encodeTurn({17, "r4"})));
    CHECK(turn.ticket == 17);
    CHECK(turn.destinationId == "r4");
}

TEST_CASE("A gateway's status survives the exchange", "[exchange]")
{
    GatewayStatus status;
    status.gateway = "g1";
    status.configVersion = 7;
    status.fleetNumber = 12;
    status.fleetTerm = 3;
    status.loads.emplace("r1", RunnerLoad{2, Growing, 3000});
    const GatewayStatus read = decoded(decodeGatewayStatus(encodeStatus(status)));
    CHECK(read.gateway == "g1");
    CHECK(read.configVersion == 7);
    CHECK(read.fleetNumber == 12);
    CHECK(read.fleetTerm == 3);
    CHECK(read.loads.at("r1").activeRequests == 2);
    CHECK(read.loads.at("r1").memory.tokens() == Growing.tokens());
    CHECK(read.loads.at("r1").prefillTokens == 3000);
}

TEST_CASE("A coordinator's status survives the exchange with and without the fleet", "[exchange]")
{
    RunnerEntry entry;
    entry.id = "r1";
    entry.service = "s";
    entry.address = "10.0.0.9:8080";
    entry.domain = "kapana";
    entry.slots = 24;
    entry.isLeaving = true;
    entry.seemsLeaving = true;
    entry.warmUpRemaining = 300ms;
    entry.startedAtMs = 42;
    entry.isUnresponsive = true;
    RunnerReport report;
    report.queueDepth = 2;
    report.running = 5;
    report.memoryUsed = 18000;
    report.memoryTotal = 21855;
    report.isLeaving = true;
    report.timeUntilStop = 1500ms;
    entry.report = report;
    CoordinatorStatus status;
    status.coordinators = {"10.0.0.1:7201"};
    status.gatewayCount = 9;
    status.config = "{}";
    status.fleetNumber = 5;
    status.fleetTerm = 2;
    status.otherLoads.emplace("r1", RunnerLoad{1, Growing, 0});

    const CoordinatorStatus bare = decoded(decodeCoordinatorStatus(encodeStatus(status, {})));
    CHECK_FALSE(bare.fleet);
    CHECK(bare.coordinators == status.coordinators);
    CHECK(bare.gatewayCount == 9);
    CHECK(bare.config == status.config);
    CHECK(bare.fleetNumber == 5);
    CHECK(bare.fleetTerm == 2);
    CHECK(bare.otherLoads.at("r1").memory.tokens() == Growing.tokens());

    const std::string fleet = encodeFleet({entry});
    const CoordinatorStatus read = decoded(decodeCoordinatorStatus(encodeStatus(status, fleet)));
    REQUIRE(read.fleet);
    REQUIRE(read.fleet->size() == 1);
    const RunnerEntry &same = read.fleet->front();
    CHECK(same.id == entry.id);
    CHECK(same.service == entry.service);
    CHECK(same.address == entry.address);
    CHECK(same.domain == entry.domain);
    CHECK(same.slots == entry.slots);
    CHECK(same.isLeaving);
    CHECK(same.seemsLeaving);
    CHECK(same.warmUpRemaining == entry.warmUpRemaining);
    CHECK(same.startedAtMs == entry.startedAtMs);
    CHECK(same.isUnresponsive);
    REQUIRE(same.report);
    CHECK(same.report->queueDepth == report.queueDepth);
    CHECK(same.report->running == report.running);
    CHECK(same.report->memoryUsed == report.memoryUsed);
    CHECK(same.report->memoryTotal == report.memoryTotal);
    CHECK(same.report->isLeaving);
    CHECK(same.report->timeUntilStop == report.timeUntilStop);
}

TEST_CASE("Unreadable messages are errors", "[exchange]")
{
    const std::string text =
            GENERATE("", "{", "[]", "{\"gateway\":3}", R"({"gateway":"g","loads":{"r":[1]}})");
    INFO(text);
    CHECK(std::holds_alternative<ExchangeError>(decodeGatewayStatus(text)));
    CHECK(std::holds_alternative<ExchangeError>(decodeWish(text)));
    CHECK(std::holds_alternative<ExchangeError>(decodePlacementWish(text)));
    CHECK(std::holds_alternative<ExchangeError>(decodeTurn(text)));
    CHECK(std::holds_alternative<ExchangeError>(decodeCoordinatorStatus(text)));
}
