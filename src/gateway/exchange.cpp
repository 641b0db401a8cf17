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
                    {"fleet", status.fleetNumber},
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
        status.fleetNumber = json.at("fleet");
        status.fleetTerm = json.at("term");
        status.loads = loadsFrom(json.at("loads"));
        return status;
    });
}

std::string encodeWish(const TransferWish &wish)
{
    const Json json{{"gateway", wish.gateway},   {"source", wish.sourceId}, {"service", wish.service},
                    {"size", toJson(wish.size)}, {"made", wish.madeTokens}, {"worth", wish.worth},
                    {"excluded", wish.excluded}};
    return json.dump();
}

Result<TransferWish, ExchangeError> decodeWish(std::string_view body)
{
    return decode<TransferWish>(body, [](const Json &json) {
        TransferWish wish;
        wish.gateway = json.at("gateway");
        wish.sourceId = json.at("source");
        wish.service = json.at("service");
        wish.size = sizeFrom(json.at("size"));
        wish.madeTokens = json.at("made");
        wish.worth = json.at("worth");
        wish.excluded = json.at("excluded").get<std::vector<std::string>>();
        return wish;
    });
}

std::string encodePlacementWish(const PlacementWish &wish)
{
    const Json json{{"gateway", wish.gateway},
                    {"service", wish.service},
                    {"domain", wish.domain},
                    {"size", toJson(wish.size)},
                    {"limit", wish.memoryLimit},
                    {"crossing", wish.crossingSeconds},
                    {"excluded", wish.excluded},
                    {"priority", wish.priority},
                    {"route_priority", wish.routePriority},
                    {"waited", toMilliseconds(wish.waited)}};
    return json.dump();
}

Result<PlacementWish, ExchangeError> decodePlacementWish(std::string_view body)
{
    return decode<PlacementWish>(body, [](const Json &json) {
        PlacementWish wish;
        wish.gateway = json.at("gateway");
        wish.service = json.at("service");
        wish.domain = json.at("domain");
        wish.size = sizeFrom(json.at("size"));
        wish.memoryLimit = json.at("limit");
        wish.crossingSeconds = json.at("crossing");
        wish.excluded = json.at("excluded").get<std::vector<std::string>>();
        wish.priority = json.at("priority");
        wish.routePriority = json.at("route_priority");
        wish.waited = std::chrono::milliseconds{json.at("waited").get<int64_t>()};
        return wish;
    });
}

std::string encodePlacement(const PlacementAnswer &answer)
{
    return Json{{"runner", answer.runnerId}}.dump();
}

Result<PlacementAnswer, ExchangeError> decodePlacement(std::string_view body)
{
    return decode<PlacementAnswer>(body, [](const Json &json) { return PlacementAnswer{json.at("runner")}; });
}

std::string encodeTurn(const TransferTurn &turn)
{
    return Json{{"ticket", turn.ticket}, {"destination", turn.destinationId}}.dump();
}

Result<TransferTurn, ExchangeError> decodeTurn(std::string_view body)
{
    return decode<TransferTurn>(body, [](const Json &json) {
        return TransferTurn{json.at("ticket"), json.at("destination")};
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
    Json json{{"coordinators", status.coordinators},
              {"gateways", status.gatewayCount},
              {"number", status.fleetNumber},
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
        status.coordinators = json.at("coordinators").get<std::vector<std::string>>();
        status.gatewayCount = json.at("gateways");
        status.fleetNumber = json.at("number");
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
