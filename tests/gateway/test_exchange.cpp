#include "gateway/exchange.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

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

RunnerEntry sampleEntry()
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
    entry.report = RunnerReport{2, 5, 18000, 21855, true, 1500ms};
    return entry;
}

void checkEntry(const RunnerEntry &result, const RunnerEntry &entry)
{
    CHECK(result.id == entry.id);
    CHECK(result.service == entry.service);
    CHECK(result.address == entry.address);
    CHECK(result.domain == entry.domain);
    CHECK(result.slots == entry.slots);
    CHECK(result.isLeaving == entry.isLeaving);
    CHECK(result.seemsLeaving == entry.seemsLeaving);
    CHECK(result.warmUpRemaining == entry.warmUpRemaining);
    CHECK(result.startedAtMs == entry.startedAtMs);
    CHECK(result.isUnresponsive == entry.isUnresponsive);
    REQUIRE(result.report);
    CHECK(result.report->isLeaving == entry.report->isLeaving);
    CHECK(result.report->timeUntilStop == entry.report->timeUntilStop);
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
    const PlacementResult empty = decoded(decodePlacementResult(encodePlacementResult({})));
    CHECK(empty.runnerId.empty());
    CHECK_FALSE(empty.runner);
    const PlacementResult placed =
            decoded(decodePlacementResult(encodePlacementResult({"r1", sampleEntry()})));
    CHECK(placed.runnerId == "r1");
    REQUIRE(placed.runner);
    checkEntry(*placed.runner, sampleEntry());
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
    status.domain = "kapana";
    status.fleetVersion = 12;
    status.fleetSource = 0xfedcba9876543210;
    status.acceptsDelegate = true;
    status.loads.emplace("r1", RunnerLoad{2, SampleForecast, 3000});
    status.leavingRunners = {{"r2", "10.0.0.9:8080", 42}, {"r3", "10.0.0.8:8080", 0}};
    const GatewayStatus result = decoded(decodeGatewayStatus(encodeStatus(status)));
    CHECK(result.gateway == "g1");
    CHECK(result.domain == "kapana");
    CHECK(result.fleetVersion == 12);
    CHECK(result.fleetSource == 0xfedcba9876543210);
    CHECK(result.acceptsDelegate);
    CHECK(result.loads.at("r1").activeRequests == 2);
    CHECK(result.loads.at("r1").memory.tokens() == SampleForecast.tokens());
    CHECK(result.loads.at("r1").prefillTokens == 3000);
    CHECK(result.leavingRunners == status.leavingRunners);
}

// Guards against a coordinator that refuses the status of gateways that were not updated yet.
TEST_CASE("The status of an older gateway names no leaving runners", "[exchange]")
{
    nlohmann::json json = nlohmann::json::from_msgpack(encodeStatus(GatewayStatus{}));
    REQUIRE(json.erase("leaving") == 1);
    std::string body;
    nlohmann::json::to_msgpack(json, body);
    CHECK(decoded(decodeGatewayStatus(body)).leavingRunners.empty());
}

// Guards against a runner that is named in part or with other types and is taken for another one.
TEST_CASE("A status with a malformed leaving runner is refused", "[exchange]")
{
    const auto runner = GENERATE(as<nlohmann::json>{}, nlohmann::json("r2"), nlohmann::json::array({"r2"}),
                                 nlohmann::json::array({"r2", "10.0.0.9:8080", "42"}),
                                 nlohmann::json::array({2, "10.0.0.9:8080", 42}));
    INFO(runner.dump());
    nlohmann::json json = nlohmann::json::from_msgpack(encodeStatus(GatewayStatus{}));
    json["leaving"] = nlohmann::json::array({runner});
    std::string body;
    nlohmann::json::to_msgpack(json, body);
    CHECK(std::holds_alternative<ExchangeError>(decodeGatewayStatus(body)));
}

TEST_CASE("A coordinator's status is decoded as it was encoded with and without changes of the list",
          "[exchange]")
{
    CoordinatorStatus status;
    status.coordinatorAddresses = {"10.0.0.1:7201"};
    status.isLeader = false;
    status.leaderAddress = "10.0.0.2:7201";
    status.domain = "kapana";
    status.gatewayCount = 9;
    status.configVersion = 7;
    status.fleetSource = 2;
    status.otherLoads.emplace("r1", RunnerLoad{1, SampleForecast, 0});
    status.memoryUtilization.emplace("s", 0.75);

    const CoordinatorStatus withoutFleet = decoded(decodeCoordinatorStatus(encodeStatus(status)));
    CHECK_FALSE(withoutFleet.fleet);
    CHECK(withoutFleet.coordinatorAddresses == status.coordinatorAddresses);
    CHECK_FALSE(withoutFleet.isLeader);
    CHECK(withoutFleet.leaderAddress == "10.0.0.2:7201");
    CHECK(withoutFleet.domain == "kapana");
    CHECK(withoutFleet.gatewayCount == 9);
    CHECK(withoutFleet.configVersion == 7);
    CHECK(withoutFleet.fleetSource == 2);
    CHECK(withoutFleet.otherLoads.at("r1").memory.tokens() == SampleForecast.tokens());
    CHECK(withoutFleet.memoryUtilization == status.memoryUtilization);

    status.fleet = FleetChanges{5, true, {sampleEntry()}, {"r9"}};
    const CoordinatorStatus result = decoded(decodeCoordinatorStatus(encodeStatus(status)));
    REQUIRE(result.fleet);
    CHECK(result.fleet->version == 5);
    CHECK(result.fleet->isComplete);
    CHECK(result.fleet->removedIds == std::vector<std::string>{"r9"});
    REQUIRE(result.fleet->entries.size() == 1);
    checkEntry(result.fleet->entries.front(), sampleEntry());
}

// Guards against crashes that one side reports and the other does not read.
TEST_CASE("Crash reports are decoded as they were encoded", "[exchange]")
{
    const std::vector<CrashReport> reports{
            {sha256("a"), {{{"r1", "10.0.0.9:8080", 42}, 1500ms}, {{"r2", "10.0.0.8:8080", 0}, 0ms}}, {}},
            {sha256("b"), {}, Duration(3s)},
            {sha256("c"),
             {{{"r1", "10.0.0.9:8080", 42}, 10ms, 77}, {{"r2", "10.0.0.8:8080", 1}, 20ms, 78, false}},
             Duration(0s),
             CrashSubject::PromptPart,
             2}};
    GatewayStatus gateway;
    gateway.crashReports = reports;
    gateway.crashVersion = 5;
    gateway.crashSource = 0xffff'ffff'ffff'ffff;
    const GatewayStatus result = decoded(decodeGatewayStatus(encodeStatus(gateway)));
    CHECK(result.crashReports == reports);
    CHECK(result.crashVersion == 5);
    CHECK(result.crashSource == gateway.crashSource);
    CoordinatorStatus coordinator;
    coordinator.refusals = {9, reports};
    const CoordinatorStatus answer = decoded(decodeCoordinatorStatus(encodeStatus(coordinator)));
    CHECK(answer.refusals.version == 9);
    CHECK(answer.refusals.reports == reports);
}

// Guards against gateways and coordinators that cannot be updated one after the other.
TEST_CASE("The status of an older process reports no crashes", "[exchange]")
{
    const auto without = [](std::string_view text) {
        nlohmann::json json = nlohmann::json::from_msgpack(text);
        REQUIRE(json.erase("crashes") == 1);
        json.erase("crash_version");
        json.erase("crash_source");
        std::string body;
        nlohmann::json::to_msgpack(json, body);
        return body;
    };
    CHECK(decoded(decodeGatewayStatus(without(encodeStatus(GatewayStatus{})))).crashReports.empty());
    CHECK(decoded(decodeCoordinatorStatus(without(encodeStatus(CoordinatorStatus{}))))
                  .refusals.reports.empty());
}

// Guards against a malformed report that ends the exchange of a process, or counts as a crash of the future.
TEST_CASE("A malformed crash report is refused or limited", "[exchange]")
{
    nlohmann::json json = nlohmann::json::from_msgpack(encodeStatus(GatewayStatus{}));
    const auto encoded = [&](const nlohmann::json &report) {
        json["crashes"] = nlohmann::json::array({report});
        std::string body;
        nlohmann::json::to_msgpack(json, body);
        return body;
    };
    const auto fingerprint = nlohmann::json::binary(std::vector<uint8_t>(32, 1));
    const auto crashAt = [](const nlohmann::json &age) {
        return nlohmann::json::array({nlohmann::json::array({"r1", "10.0.0.9:8080", 42, age})});
    };
    for (const nlohmann::json &report :
         {nlohmann::json("a"), nlohmann::json::array({"a", crashAt(1), nullptr}),
          nlohmann::json::array({fingerprint, "a", nullptr}),
          nlohmann::json::array({fingerprint, crashAt("a"), nullptr}),
          nlohmann::json::array({fingerprint, crashAt(1), "a"}),
          nlohmann::json::array({fingerprint, crashAt(1)})})
        CHECK(std::holds_alternative<ExchangeError>(decodeGatewayStatus(encoded(report))));
    const auto shortFingerprint = nlohmann::json::binary(std::vector<uint8_t>(31, 1));
    CHECK(decoded(decodeGatewayStatus(encoded({shortFingerprint, crashAt(1), nullptr})))
                  .crashReports.empty());
    for (const nlohmann::json &age :
         {nlohmann::json(-5), nlohmann::json(INT64_MAX), nlohmann::json(INT64_MIN)}) {
        const auto status = decoded(decodeGatewayStatus(encoded({fingerprint, crashAt(age), nullptr})));
        REQUIRE(status.crashReports.size() == 1);
        const Duration limited = status.crashReports.front().crashes.front().age;
        CHECK(limited >= Duration::zero());
        CHECK(limited <= Duration(24h));
    }
}

// Load pattern: 295 gateways fetch a configuration with 1,400 routes at once, over links of 10 Mbit/s.
TEST_CASE("A large configuration is decoded as it was encoded, from a tenth of its bytes", "[exchange]")
{
    std::string body;
    for (int route = 0; route < 1400; ++route)
        body += R"({"name":"r-)" + std::to_string(route) + R"(","host":"a.example","timeout_ms":6000,)" +
                R"("slo_ms":1500,"kind":"streaming","service":"huvo11a","public":false})";
    const std::string encoded = encodeConfigUpdate({"kapana", body});
    CHECK(encoded.size() < body.size() / 10);
    const ConfigUpdate update = decoded(decodeConfigUpdate(encoded));
    CHECK(update.domain == "kapana");
    CHECK(update.body == body);
    CHECK_FALSE(decoded(decodeConfigUpdate(encodeConfigUpdate({"kapana", std::nullopt}))).body);
}

// Guards against a peer that makes a gateway reserve memory, or put a truncated configuration in force.
TEST_CASE("A damaged configuration is decoded to an error", "[exchange]")
{
    const std::string encoded = encodeConfigUpdate({"kapana", std::string(500, 'a')});
    // The size is written as a 16-bit integer, 500 = 0x01f4.
    const size_t sizeAt = encoded.find("\x01\xf4");
    REQUIRE(sizeAt != std::string::npos);
    std::string larger = encoded;
    larger[sizeAt] = '\x02';
    std::string smaller = encoded;
    smaller[sizeAt] = '\x00';
    const std::string truncated = encoded.substr(0, encoded.size() - 4);
    const std::string oversized = encodeConfigUpdate({"kapana", std::string(MaxConfigBytes + 1, 'a')});
    for (const std::string &body : {larger, smaller, truncated, oversized})
        CHECK(std::holds_alternative<ExchangeError>(decodeConfigUpdate(body)));
}

// Guards against a process that ends because of a message of another version of the program, or a cut one.
TEST_CASE("Malformed bodies are decoded to errors", "[exchange]")
{
    GatewayStatus status;
    status.gateway = "g1";
    std::string truncated = encodeStatus(status);
    truncated.resize(truncated.size() / 2);
    const std::string body = GENERATE_COPY(
            std::string(), std::string("{"), std::string("\x80"), std::string("\x90"), std::string("\xc1"),
            std::string("\x81\xa7gateway\x03"), std::string(R"({"gateway":"g","config":7,"loads":{}})"),
            std::string("\xdf\xff\xff\xff\xff"), std::string("\xdd\xff\xff\xff\xff"), truncated);
    CAPTURE(body);
    CHECK(std::holds_alternative<ExchangeError>(decodeGatewayStatus(body)));
    CHECK(std::holds_alternative<ExchangeError>(decodeTransferRequest(body)));
    CHECK(std::holds_alternative<ExchangeError>(decodePlacementRequest(body)));
    CHECK(std::holds_alternative<ExchangeError>(decodePlacementResult(body)));
    CHECK(std::holds_alternative<ExchangeError>(decodeTransferPermit(body)));
    CHECK(std::holds_alternative<ExchangeError>(decodeCoordinatorStatus(body)));
    CHECK(std::holds_alternative<ExchangeError>(decodeConfigUpdate(body)));
}
