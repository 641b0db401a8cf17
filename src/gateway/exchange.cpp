#include "gateway/exchange.h"

#include <nlohmann/json.hpp>

namespace eelgrasslift {

namespace {

using Json = nlohmann::json;

Json toJson(const MemoryForecast &memory)
{
    Json json = Json::array();
    for (const double tokens : memory.tokens())
        json.push_back(std::lround(tokens));
    return json;
}

MemoryForecast forecastFrom(const Json &json)
{
    return MemoryForecast(json.get<MemoryForecast::Tokens>());
}

Json toJson(const GenerationSize &size)
{
    return {size.promptTokens, size.outputTokens, size.maxOutputTokens};
}

GenerationSize sizeFrom(const Json &json)
{
    return {json.at(0), json.at(1), json.at(2)};
}

Json toJson(const std::map<std::string, RunnerLoad, std::less<>> &loads)
{
    Json json = Json::object();
    for (const auto &[id, load] : loads)
        json[id] = {load.activeRequests, toJson(load.memory), std::lround(load.prefillTokens)};
    return json;
}

std::map<std::string, RunnerLoad, std::less<>> loadsFrom(const Json &json)
{
    std::map<std::string, RunnerLoad, std::less<>> loads;
    for (const auto &[id, load] : json.items())
        loads.emplace(id, RunnerLoad{load.at(0).get<uint32_t>(), forecastFrom(load.at(1)),
                                     load.at(2).get<double>()});
    return loads;
}

Json toJson(const RunnerEntry &entry)
{
    Json json{{"id", entry.id},
              {"service", entry.service},
              {"address", entry.address},
              {"domain", entry.domain},
              {"slots", entry.slots},
              {"leaving", entry.isLeaving},
              {"seems_leaving", entry.seemsLeaving},
              {"warm", toMilliseconds(entry.warmUpRemaining)},
              {"started", entry.startedAtMs},
              {"silent", entry.isUnresponsive}};
    if (entry.report) {
        json["report"] = {{"queue", entry.report->queueDepth},
                          {"running", entry.report->running},
                          {"used", entry.report->memoryUsed},
                          {"total", entry.report->memoryTotal},
                          {"leaving", entry.report->isLeaving}};
        if (entry.report->timeUntilStop)
            json["report"]["leaves"] = toMilliseconds(*entry.report->timeUntilStop);
    }
    return json;
}

RunnerEntry entryFrom(const Json &json)
{
    RunnerEntry entry;
    entry.id = json.at("id");
    entry.service = json.at("service");
    entry.address = json.at("address");
    entry.domain = json.at("domain");
    entry.slots = json.at("slots");
    entry.isLeaving = json.at("leaving");
    entry.seemsLeaving = json.at("seems_leaving");
    entry.warmUpRemaining = std::chrono::milliseconds{json.at("warm").get<int64_t>()};
    entry.startedAtMs = json.at("started");
    entry.isUnresponsive = json.at("silent");
    if (const auto report = json.find("report"); report != json.end()) {
        RunnerReport decoded;
        decoded.queueDepth = report->at("queue");
        decoded.running = report->at("running");
        decoded.memoryUsed = report->at("used");
        decoded.memoryTotal = report->at("total");
        decoded.isLeaving = report->at("leaving");
        if (const auto leaves = report->find("leaves"); leaves != report->end())
            decoded.timeUntilStop = std::chrono::milliseconds{leaves->get<int64_t>()};
        entry.report = decoded;
    }
    return entry;
}

template <typename Value, typename Read>
Result<Value, ExchangeError> decode(std::string_view body, Read read)
{
    try {
        return read(Json::parse(body));
    } catch (const Json::exception &error) {
        return ExchangeError{error.what()};
    }
}

} // namespace

std::string encodeStatus(const GatewayStatus &status)
{
    const Json json{{"gateway", status.gateway},
                    {"config", status.configVersion},
                    {"fleet", status.fleetVersion},
                    {"term", status.fleetTerm},
                    {"loads", toJson(status.loads)}};
    return json.dump();
}

Result<GatewayStatus, ExchangeError> decodeGatewayStatus(std::string_view body)
{
    return decode<GatewayStatus>(body, [](const Json &json) {
        GatewayStatus status;
        status.gateway = json.at("gateway");
        status.configVersion = json.at("config");
        status.fleetVersion = json.at("fleet");
        status.fleetTerm = json.at("term");
        status.loads = loadsFrom(json.at("loads"));
        return status;
    });
}

std::string encodeTransferRequest(const TransferRequest &request)
{
    const Json json{{"gateway", request.gateway},      {"source", request.sourceId},
                    {"service", request.service},      {"size", toJson(request.size)},
                    {"made", request.generatedTokens}, {"worth", request.value},
                    {"excluded", request.excluded}};
    return json.dump();
}

Result<TransferRequest, ExchangeError> decodeTransferRequest(std::string_view body)
{
    return decode<TransferRequest>(body, [](const Json &json) {
        TransferRequest request;
        request.gateway = json.at("gateway");
        request.sourceId = json.at("source");
        request.service = json.at("service");
        request.size = sizeFrom(json.at("size"));
        request.generatedTokens = json.at("made");
        request.value = json.at("worth");
        request.excluded = json.at("excluded").get<std::vector<std::string>>();
        return request;
    });
}

std::string encodePlacementRequest(const FleetPlacementRequest &request)
{
    const Json json{{"gateway", request.gateway},
                    {"service", request.service},
                    {"domain", request.domain},
                    {"size", toJson(request.size)},
                    {"limit", request.memoryLimit},
                    {"crossing", request.crossDomainSeconds},
                    {"excluded", request.excluded},
                    {"priority", request.priority},
                    {"route_priority", request.routePriority},
                    {"waited", toMilliseconds(request.waited)}};
    return json.dump();
}

Result<FleetPlacementRequest, ExchangeError> decodePlacementRequest(std::string_view body)
{
    return decode<FleetPlacementRequest>(body, [](const Json &json) {
        FleetPlacementRequest request;
        request.gateway = json.at("gateway");
        request.service = json.at("service");
        request.domain = json.at("domain");
        request.size = sizeFrom(json.at("size"));
        request.memoryLimit = json.at("limit");
        request.crossDomainSeconds = json.at("crossing");
        request.excluded = json.at("excluded").get<std::vector<std::string>>();
        request.priority = json.at("priority");
        request.routePriority = json.at("route_priority");
        request.waited = std::chrono::milliseconds{json.at("waited").get<int64_t>()};
        return request;
    });
}

std::string encodePlacementResult(const PlacementResult &result)
{
    return Json{{"runner", result.runnerId}}.dump();
}

Result<PlacementResult, ExchangeError> decodePlacementResult(std::string_view body)
{
    return decode<PlacementResult>(body, [](const Json &json) { return PlacementResult{json.at("runner")}; });
}

std::string encodeTransferPermit(const TransferPermit &permit)
{
    return Json{{"ticket", permit.ticket}, {"destination", permit.destinationId}}.dump();
}

Result<TransferPermit, ExchangeError> decodeTransferPermit(std::string_view body)
{
    return decode<TransferPermit>(body, [](const Json &json) {
        return TransferPermit{json.at("ticket"), json.at("destination")};
    });
}

std::string encodeFleet(const std::vector<RunnerEntry> &fleet)
{
    Json json = Json::array();
    for (const RunnerEntry &entry : fleet)
        json.push_back(toJson(entry));
    return json.dump();
}

std::string encodeStatus(const CoordinatorStatus &status, std::string_view encodedFleet)
{
    Json json{{"coordinators", status.coordinatorAddresses},
              {"gateways", status.gatewayCount},
              {"number", status.fleetVersion},
              {"term", status.fleetTerm},
              {"others", toJson(status.otherLoads)}};
    if (status.config)
        json["config"] = *status.config;
    std::string text = json.dump();
    if (encodedFleet.empty())
        return text;
    text.pop_back();
    return text.append(",\"fleet\":").append(encodedFleet).append("}");
}

Result<CoordinatorStatus, ExchangeError> decodeCoordinatorStatus(std::string_view body)
{
    return decode<CoordinatorStatus>(body, [](const Json &json) {
        CoordinatorStatus status;
        status.coordinatorAddresses = json.at("coordinators").get<std::vector<std::string>>();
        status.gatewayCount = json.at("gateways");
        status.fleetVersion = json.at("number");
        status.fleetTerm = json.at("term");
        status.otherLoads = loadsFrom(json.at("others"));
        if (const auto config = json.find("config"); config != json.end())
            status.config = config->get<std::string>();
        if (const auto fleet = json.find("fleet"); fleet != json.end()) {
            std::vector<RunnerEntry> entries;
            for (const Json &entry : *fleet)
                entries.push_back(entryFrom(entry));
            status.fleet = std::move(entries);
        }
        return status;
    });
}

} // namespace eelgrasslift
