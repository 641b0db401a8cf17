#include "gateway/exchange.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

const MemoryForecast SampleForecast(MemoryForecast::Tokens{3000, 3070, 3100, 2500, 1200, 300});

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
    request.generatedTokens = 120;
    request.value = 12000;
    request.excluded = {"r2", "r3"};
    const TransferRequest result = decoded(decodeTransferRequest(encodeTransferRequest(request)));
    CHECK(result.gateway == request.gateway);
    CHECK(result.sourceId == request.sourceId);
    CHECK(result.service == request.service);
    CHECK(result.size.promptTokens == request.size.promptTokens);
    CHECK(result.size.outputTokens == request.size.outputTokens);
    CHECK(result.size.maxOutputTokens == request.size.maxOutputTokens);
    CHECK(result.generatedTokens == request.generatedTokens);
    CHECK(result.value == request.value);
    CHECK(result.excluded == request.excluded);
}

TEST_CASE("A placement request and its result are decoded as they were encoded", "[exchange]")
{
    const FleetPlacementRequest request{"g1", "s", "kapana", GenerationSize{2200, 12, 32}, 0.9, 0.6, {"r2"},
                                        3,    1,   250ms};
    const FleetPlacementRequest result = decoded(decodePlacementRequest(encodePlacementRequest(request)));
    CHECK(result.gateway == request.gateway);
    CHECK(result.service == request.service);
    CHECK(result.domain == request.domain);
    CHECK(result.size.promptTokens == request.size.promptTokens);
    CHECK(result.size.outputTokens == request.size.outputTokens);
    CHECK(result.size.maxOutputTokens == request.size.maxOutputTokens);
    CHECK(result.memoryLimit == request.memoryLimit);
    CHECK(result.crossDomainSeconds == request.crossDomainSeconds);
    CHECK(result.priority == request.priority);
    CHECK(result.routePriority == request.routePriority);
    CHECK(result.waited == request.waited);
    CHECK(result.excluded == request.excluded);
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
    status.loads.emplace("r1", RunnerLoad{2, SampleForecast, 3000});
    const GatewayStatus result = decoded(decodeGatewayStatus(encodeStatus(status)));
    CHECK(result.gateway == "g1");
    CHECK(result.configVersion == 7);
    CHECK(result.fleetVersion == 12);
    CHECK(result.fleetTerm == 3);
    CHECK(result.loads.at("r1").activeRequests == 2);
    CHECK(result.loads.at("r1").memory.tokens() == SampleForecast.tokens());
    CHECK(result.loads.at("r1").prefillTokens == 3000);
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
    status.otherLoads.emplace("r1", RunnerLoad{1, SampleForecast, 0});

    const CoordinatorStatus withoutFleet = decoded(decodeCoordinatorStatus(encodeStatus(status, {})));
    CHECK_FALSE(withoutFleet.fleet);
    CHECK(withoutFleet.coordinatorAddresses == status.coordinatorAddresses);
    CHECK(withoutFleet.gatewayCount == 9);
    CHECK(withoutFleet.config == status.config);
    CHECK(withoutFleet.fleetVersion == 5);
    CHECK(withoutFleet.fleetTerm == 2);
    CHECK(withoutFleet.otherLoads.at("r1").memory.tokens() == SampleForecast.tokens());

    const std::string fleet = encodeFleet({entry});
    const CoordinatorStatus result = decoded(decodeCoordinatorStatus(encodeStatus(status, fleet)));
    REQUIRE(result.fleet);
    REQUIRE(result.fleet->size() == 1);
    const RunnerEntry &decodedEntry = result.fleet->front();
    CHECK(decodedEntry.id == entry.id);
    CHECK(decodedEntry.service == entry.service);
    CHECK(decodedEntry.address == entry.address);
    CHECK(decodedEntry.domain == entry.domain);
    CHECK(decodedEntry.slots == entry.slots);
    CHECK(decodedEntry.isLeaving);
    CHECK(decodedEntry.seemsLeaving);
    CHECK(decodedEntry.warmUpRemaining == entry.warmUpRemaining);
    CHECK(decodedEntry.startedAtMs == entry.startedAtMs);
    CHECK(decodedEntry.isUnresponsive);
    REQUIRE(decodedEntry.report);
    CHECK(decodedEntry.report->queueDepth == report.queueDepth);
    CHECK(decodedEntry.report->running == report.running);
    CHECK(decodedEntry.report->memoryUsed == report.memoryUsed);
    CHECK(decodedEntry.report->memoryTotal == report.memoryTotal);
    CHECK(decodedEntry.report->isLeaving);
    CHECK(decodedEntry.report->timeUntilStop == report.timeUntilStop);
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
