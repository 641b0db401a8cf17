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

// Guards against fields that one side writes and the other does not read: the coordinator would refuse the
// request, and generations would be copied away from a leaving runner without a permit.
TEST_CASE("A transfer request is decoded as it was encoded", "[exchange]")
{
    TransferRequest request;
    request.gateway = "g1";
    request.sourceId = "r1";
    request.service = "s";
    request.size = GenerationSize{3000, 900, 2196};
    request.madeTokens = 120;
    request.value = 12000;
    request.excluded = {"r2", "r3"};
    const TransferRequest read = decoded(decodeTransferRequest(encodeTransferRequest(request)));
    CHECK(read.gateway == request.gateway);
    CHECK(read.sourceId == request.sourceId);
    CHECK(read.service == request.service);
    CHECK(read.size.promptTokens == request.size.promptTokens);
    CHECK(read.size.outputTokens == request.size.outputTokens);
    CHECK(read.size.maxOutputTokens == request.size.maxOutputTokens);
    CHECK(read.madeTokens == request.madeTokens);
    CHECK(read.value == request.value);
    CHECK(read.excluded == request.excluded);
}

TEST_CASE("A placement request and its result are decoded as they were encoded", "[exchange]")
{
    const FleetPlacementRequest request{"g1", "s", "kapana", GenerationSize{2200, 12, 32}, 0.9, 0.6, {"r2"},
                                        3,    1,   250ms};
    const FleetPlacementRequest read = decoded(decodePlacementRequest(encodePlacementRequest(request)));
    CHECK(read.gateway == request.gateway);
    CHECK(read.service == request.service);
    CHECK(read.domain == request.domain);
    CHECK(read.size.promptTokens == request.size.promptTokens);
    CHECK(read.size.outputTokens == request.size.outputTokens);
    CHECK(read.size.maxOutputTokens == request.size.maxOutputTokens);
    CHECK(read.memoryLimit == request.memoryLimit);
    CHECK(read.crossingSeconds == request.crossingSeconds);
    CHECK(read.priority == request.priority);
    CHECK(read.routePriority == request.routePriority);
    CHECK(read.waited == request.waited);
    CHECK(read.excluded == request.excluded);
    CHECK(decoded(decodePlacementResult(encodePlacementResult({"r7"}))).runnerId == "r7");
}

TEST_CASE("A transfer permit is decoded as it was encoded", "[exchange]")
{
    const TransferPermit permit = decoded(decodeTransferPermit(encodeTransferPermit({17, "r4"})));
    CHECK(permit.ticket == 17);
    CHECK(permit.destinationId == "r4");
}

TEST_CASE("A gateway's status is decoded as it was encoded", "[exchange]")
{
    GatewayStatus status;
    status.gateway = "g1";
    status.configVersion = 7;
    status.fleetVersion = 12;
    status.fleetTerm = 3;
    status.loads.emplace("r1", RunnerLoad{2, Growing, 3000});
    const GatewayStatus read = decoded(decodeGatewayStatus(encodeStatus(status)));
    CHECK(read.gateway == "g1");
    CHECK(read.configVersion == 7);
    CHECK(read.fleetVersion == 12);
    CHECK(read.fleetTerm == 3);
    CHECK(read.loads.at("r1").activeRequests == 2);
    CHECK(read.loads.at("r1").memory.tokens() == Growing.tokens());
    CHECK(read.loads.at("r1").prefillTokens == 3000);
}

TEST_CASE("A coordinator's status is decoded as it was encoded with and without the list of runners",
          "[exchange]")
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
    status.coordinatorAddresses = {"10.0.0.1:7201"};
    status.gatewayCount = 9;
    status.config = "{}";
    status.fleetVersion = 5;
    status.fleetTerm = 2;
    status.otherLoads.emplace("r1", RunnerLoad{1, Growing, 0});

    const CoordinatorStatus bare = decoded(decodeCoordinatorStatus(encodeStatus(status, {})));
    CHECK_FALSE(bare.fleet);
    CHECK(bare.coordinatorAddresses == status.coordinatorAddresses);
    CHECK(bare.gatewayCount == 9);
    CHECK(bare.config == status.config);
    CHECK(bare.fleetVersion == 5);
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

TEST_CASE("Malformed bodies are decoded to errors", "[exchange]")
{
    const std::string text =
            GENERATE("", "{", "[]", "{\"gateway\":3}", R"({"gateway":"g","loads":{"r":[1]}})");
    INFO(text);
    CHECK(std::holds_alternative<ExchangeError>(decodeGatewayStatus(text)));
    CHECK(std::holds_alternative<ExchangeError>(decodeTransferRequest(text)));
    CHECK(std::holds_alternative<ExchangeError>(decodePlacementRequest(text)));
    CHECK(std::holds_alternative<ExchangeError>(decodeTransferPermit(text)));
    CHECK(std::holds_alternative<ExchangeError>(decodeCoordinatorStatus(text)));
}
