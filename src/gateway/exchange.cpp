#include "gateway/exchange.h"

#include <nlohmann/json.hpp>
#include <zlib.h>

#include <algorithm>

namespace eelgrasslift {

namespace {

using Json = nlohmann::json;

// Far longer than any record is kept.
constexpr int64_t MaxReportedAgeMs = int64_t{24} * 3600 * 1000;

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

Json toJson(const RunnerLoads &loads)
{
    Json json = Json::object();
    for (const auto &[id, load] : loads)
        json[id] = {load.activeRequests, toJson(load.memory), std::lround(load.prefillTokens)};
    return json;
}

RunnerLoads loadsFrom(const Json &json)
{
    RunnerLoads loads;
    for (const auto &[id, load] : json.items())
        loads.emplace(id, RunnerLoad{load.at(0).get<uint32_t>(), forecastFrom(load.at(1)),
                                     load.at(2).get<double>()});
    return loads;
}

Json toJson(const RunnerEntry &entry)
{
    const bool isLeaving = entry.isLeaving || (entry.report && entry.report->isLeaving);
    Json stopMs;
    if (entry.report && entry.report->timeUntilStop)
        stopMs = toMilliseconds(*entry.report->timeUntilStop);
    return {entry.id,           entry.service,
            entry.address,      entry.domain,
            entry.slots,        isLeaving,
            entry.seemsLeaving, toMilliseconds(entry.warmUpRemaining),
            entry.startedAtMs,  entry.isUnresponsive,
            std::move(stopMs)};
}

Json toJson(const std::vector<RunnerIncarnation> &runners)
{
    Json json = Json::array();
    for (const RunnerIncarnation &runner : runners)
        json.push_back({runner.id, runner.address, runner.startedAtMs});
    return json;
}

std::vector<RunnerIncarnation> incarnationsFrom(const Json &json)
{
    std::vector<RunnerIncarnation> runners;
    for (const Json &runner : json)
        runners.push_back({runner.at(0), runner.at(1), runner.at(2)});
    return runners;
}

Json toJson(const std::vector<CrashReport> &reports)
{
    Json json = Json::array();
    for (const CrashReport &report : reports) {
        // Crashes before the response stand apart, since older processes would take them for others.
        Json crashes = Json::array();
        Json unanswered = Json::array();
        for (const auto &[runner, age, request, isAnswered] : report.crashes)
            (isAnswered ? crashes : unanswered)
                    .push_back({runner.id, runner.address, runner.startedAtMs, toMilliseconds(age), request});
        Json completedMs;
        if (report.completedAge)
            completedMs = toMilliseconds(*report.completedAge);
        json.push_back(
                {Json::binary(std::vector<uint8_t>(report.fingerprint.begin(), report.fingerprint.end())),
                 std::move(crashes), std::move(completedMs), report.subject == CrashSubject::PromptPart,
                 report.position, std::move(unanswered)});
    }
    return json;
}

Duration ageFrom(const Json &json)
{
    return std::chrono::milliseconds{std::clamp<int64_t>(json, 0, MaxReportedAgeMs)};
}

std::vector<CrashReport> crashReportsFrom(const Json &json)
{
    std::vector<CrashReport> reports;
    for (const Json &item : json) {
        CrashReport report;
        const Json::binary_t &fingerprint = item.at(0).get_binary();
        if (fingerprint.size() != report.fingerprint.size())
            continue;
        std::ranges::copy(fingerprint, report.fingerprint.begin());
        // Older processes do not send the last field of a crash and the last ones of a report.
        const auto addCrashes = [&report](const Json &crashes, bool isAnswered) {
            for (const Json &crash : crashes)
                report.crashes.push_back({{crash.at(0), crash.at(1), crash.at(2)},
                                          ageFrom(crash.at(3)),
                                          crash.size() > 4 ? crash.at(4).get<uint64_t>() : 0,
                                          isAnswered});
        };
        addCrashes(item.at(1), true);
        if (item.size() > 5)
            addCrashes(item.at(5), false);
        if (item.size() > 4) {
            report.subject = item.at(3).get<bool>() ? CrashSubject::PromptPart : CrashSubject::Request;
            report.position = item.at(4);
        }
        if (const Json &completedMs = item.at(2); !completedMs.is_null())
            report.completedAge = ageFrom(completedMs);
        reports.push_back(std::move(report));
    }
    return reports;
}

RunnerEntry entryFrom(const Json &json)
{
    RunnerEntry entry;
    entry.id = json.at(0);
    entry.service = json.at(1);
    entry.address = json.at(2);
    entry.domain = json.at(3);
    entry.slots = json.at(4);
    entry.isLeaving = json.at(5);
    entry.seemsLeaving = json.at(6);
    entry.warmUpRemaining = std::chrono::milliseconds{json.at(7).get<int64_t>()};
    entry.startedAtMs = json.at(8);
    entry.isUnresponsive = json.at(9);
    if (const Json &stopMs = json.at(10); !stopMs.is_null()) {
        RunnerReport report;
        report.isLeaving = entry.isLeaving;
        report.timeUntilStop = std::chrono::milliseconds{stopMs.get<int64_t>()};
        entry.report = report;
    }
    return entry;
}

Json toJson(const FleetChanges &changes)
{
    Json entries = Json::array();
    for (const RunnerEntry &entry : changes.entries)
        entries.push_back(toJson(entry));
    return {{"version", changes.version},
            {"complete", changes.isComplete},
            {"entries", std::move(entries)},
            {"removed", changes.removedIds}};
}

FleetChanges changesFrom(const Json &json)
{
    FleetChanges changes;
    changes.version = json.at("version");
    changes.isComplete = json.at("complete");
    for (const Json &entry : json.at("entries"))
        changes.entries.push_back(entryFrom(entry));
    changes.removedIds = json.at("removed").get<std::vector<std::string>>();
    return changes;
}

std::string encode(const Json &json)
{
    std::string text;
    Json::to_msgpack(json, text);
    return text;
}

Json::binary_t compress(std::string_view text)
{
    uLongf size = compressBound(text.size());
    std::vector<uint8_t> data(size);
    // Cannot fail: the buffer has the size that zlib asks for.
    ::compress(data.data(), &size, reinterpret_cast<const Bytef *>(text.data()), text.size());
    data.resize(size);
    return Json::binary_t(std::move(data));
}

std::optional<std::string> decompress(const Json::binary_t &data, size_t size)
{
    std::string text(size, '\0');
    uLongf actualSize = size;
    const int status =
            uncompress(reinterpret_cast<Bytef *>(text.data()), &actualSize, data.data(), data.size());
    if (status != Z_OK || actualSize != size)
        return std::nullopt;
    return text;
}

template <typename Value, typename Read>
Result<Value, ExchangeError> decode(std::string_view body, Read read)
{
    try {
        return read(Json::from_msgpack(body));
    } catch (const Json::exception &error) {
        return ExchangeError{error.what()};
    }
}

} // namespace

std::string encodeStatus(const GatewayStatus &status)
{
    return encode({{"gateway", status.gateway},
                   {"domain", status.domain},
                   {"fleet", status.fleetVersion},
                   {"source", status.fleetSource},
                   {"delegate", status.acceptsDelegate},
                   {"loads", toJson(status.loads)},
                   {"leaving", toJson(status.leavingRunners)},
                   {"crashes", toJson(status.crashReports)},
                   {"crash_version", status.crashVersion},
                   {"crash_source", status.crashSource}});
}

Result<GatewayStatus, ExchangeError> decodeGatewayStatus(std::string_view body)
{
    return decode<GatewayStatus>(body, [](const Json &json) {
        GatewayStatus status;
        status.gateway = json.at("gateway");
        status.domain = json.at("domain");
        status.fleetVersion = json.at("fleet");
        status.fleetSource = json.at("source");
        status.acceptsDelegate = json.at("delegate");
        status.loads = loadsFrom(json.at("loads"));
        if (const auto leaving = json.find("leaving"); leaving != json.end())
            status.leavingRunners = incarnationsFrom(*leaving);
        if (const auto crashes = json.find("crashes"); crashes != json.end()) {
            status.crashReports = crashReportsFrom(*crashes);
            status.crashVersion = json.at("crash_version");
            status.crashSource = json.at("crash_source");
        }
        return status;
    });
}

std::string encodeTransferRequest(const TransferRequest &request)
{
    const Json json{{"gateway", request.gateway},      {"source", request.sourceId},
                    {"service", request.service},      {"size", toJson(request.size)},
                    {"made", request.generatedTokens}, {"worth", request.value},
                    {"excluded", request.excluded}};
    return encode(json);
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
    return encode(json);
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
    Json json{{"runner", result.runnerId}};
    if (result.runner)
        json["entry"] = toJson(*result.runner);
    return encode(json);
}

Result<PlacementResult, ExchangeError> decodePlacementResult(std::string_view body)
{
    return decode<PlacementResult>(body, [](const Json &json) {
        PlacementResult result{json.at("runner"), std::nullopt};
        if (const auto entry = json.find("entry"); entry != json.end())
            result.runner = entryFrom(*entry);
        return result;
    });
}

std::string encodeTransferPermit(const TransferPermit &permit)
{
    return encode(Json{{"ticket", permit.ticket}, {"destination", permit.destinationId}});
}

Result<TransferPermit, ExchangeError> decodeTransferPermit(std::string_view body)
{
    return decode<TransferPermit>(body, [](const Json &json) {
        return TransferPermit{json.at("ticket"), json.at("destination")};
    });
}

std::string encodeStatus(const CoordinatorStatus &status)
{
    Json json{{"coordinators", status.coordinatorAddresses},
              {"leads", status.isLeader},
              {"leader", status.leaderAddress},
              {"domain", status.domain},
              {"gateways", status.gatewayCount},
              {"config", status.configVersion},
              {"source", status.fleetSource},
              {"others", toJson(status.otherLoads)},
              {"memory", status.memoryUtilization},
              {"crash_version", status.refusals.version},
              {"crashes", toJson(status.refusals.reports)}};
    if (status.fleet)
        json["fleet"] = toJson(*status.fleet);
    if (status.evacuations.sequence > 0)
        json["evacuations"] = {status.evacuations.sequence, status.evacuations.domains};
    return encode(json);
}

Result<CoordinatorStatus, ExchangeError> decodeCoordinatorStatus(std::string_view body)
{
    return decode<CoordinatorStatus>(body, [](const Json &json) {
        CoordinatorStatus status;
        status.coordinatorAddresses = json.at("coordinators").get<std::vector<std::string>>();
        status.isLeader = json.at("leads");
        status.leaderAddress = json.at("leader");
        status.domain = json.at("domain");
        status.gatewayCount = json.at("gateways");
        status.configVersion = json.at("config");
        status.fleetSource = json.at("source");
        status.otherLoads = loadsFrom(json.at("others"));
        for (const auto &[service, share] : json.at("memory").items())
            status.memoryUtilization.emplace(service, share.get<double>());
        if (const auto fleet = json.find("fleet"); fleet != json.end())
            status.fleet = changesFrom(*fleet);
        if (const auto crashes = json.find("crashes"); crashes != json.end())
            status.refusals = {json.at("crash_version"), crashReportsFrom(*crashes)};
        if (const auto evacuations = json.find("evacuations"); evacuations != json.end()) {
            status.evacuations.sequence = evacuations->at(0);
            for (const Json &domain : evacuations->at(1))
                status.evacuations.domains.insert(domain.get<std::string>());
        }
        return status;
    });
}

std::string encodeConfigUpdate(const ConfigUpdate &update)
{
    Json json{{"domain", update.domain}};
    if (update.body) {
        json["size"] = update.body->size();
        json["body"] = Json::binary(compress(*update.body));
    }
    return encode(json);
}

Result<ConfigUpdate, ExchangeError> decodeConfigUpdate(std::string_view body)
{
    return decode<ConfigUpdate>(body, [](const Json &json) -> Result<ConfigUpdate, ExchangeError> {
        ConfigUpdate update;
        update.domain = json.at("domain");
        const auto data = json.find("body");
        if (data == json.end())
            return update;
        const auto size = json.at("size").get<size_t>();
        if (size > MaxConfigBytes)
            return ExchangeError{"configuration of " + std::to_string(size) + " bytes"};
        update.body = decompress(data->get_binary(), size);
        if (!update.body)
            return ExchangeError{"configuration cannot be decompressed"};
        return update;
    });
}

} // namespace eelgrasslift
