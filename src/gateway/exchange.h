#pragma once

#include "gateway/fleetscheduler.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace eelgrasslift {

// Calls from gateways to coordinators.

/// Exchange of status: a GatewayStatus, answered with a CoordinatorStatus.
constexpr const char *StatusPath = "/status";
/// Waits for a configuration newer than the version in the query; answered with a ConfigUpdate.
constexpr const char *ConfigurationPath = "/configuration?after=";
constexpr const char *PlacementPath = "/place";
constexpr const char *TransferPath = "/transfer";
constexpr const char *TransferEndPath = "/transfer-end";

/// Largest configuration that coordinators replicate and gateways accept, in bytes.
constexpr size_t MaxConfigBytes = size_t{5} << 20;

/// Status that a gateway sends to the coordinator that schedules for it.
struct GatewayStatus
{
    /// Name of the gateway.
    std::string gateway;
    /// Failure domain of the gateway; its runners are those whose load the gateway needs.
    std::string domain;
    /// Version of the list of runners that the gateway uses; 0: none.
    uint64_t fleetVersion = 0;
    /// The coordinator process that assigned fleetVersion; versions of different ones are not comparable.
    uint64_t fleetSource = 0;
    /// The gateway has had no contact with the leader for a while: a coordinator that does not lead may
    /// schedule for it.
    bool acceptsDelegate = false;
    /// Load that the gateway itself has placed on each runner, by runner id.
    RunnerLoads loads;
    /// Listed runners that have stated in an answer to the gateway that they are leaving. Empty in the status
    /// of an older gateway; older coordinators ignore it.
    std::vector<RunnerIncarnation> leavingRunners;
    /// What has changed of the requests under which runners have ended. Older gateways and coordinators do
    /// not know this field and the next ones.
    std::vector<CrashReport> crashReports;
    /// Version of the coordinator's reports that the gateway has, and the coordinator process that assigned
    /// it.
    uint64_t crashVersion = 0;
    uint64_t crashSource = 0;
};

/// Response of a coordinator to a GatewayStatus.
struct CoordinatorStatus
{
    /// ip:port at which each coordinator accepts calls of gateways.
    std::vector<std::string> coordinatorAddresses;
    /// False if the coordinator schedules for gateways without contact with the leader.
    bool isLeader = true;
    /// ip:port of the leader; empty if unknown.
    std::string leaderAddress;
    /// Failure domain of the coordinator.
    std::string domain;
    /// Number of gateways that have sent their status to it within the last five seconds.
    uint32_t gatewayCount = 1;
    /// Version of the configuration in force; 0: none.
    uint64_t configVersion = 0;
    /// As in GatewayStatus.
    uint64_t fleetSource = 0;
    /// Changes of the list of runners since the gateway's version; absent if there are none.
    std::optional<FleetChanges> fleet;
    /// Load of all other gateways on the plain services and on the model runners of the gateway's failure
    /// domain, in a small fleet of all domains, by runner id.
    RunnerLoads otherLoads;
    /// Share of the KV cache of all usable runners that is expected to be in use, by model service.
    std::map<std::string, double, std::less<>> memoryUtilization;
    /// Changes of the requests that are refused by all gateways, since the gateway's version.
    CrashChanges refusals;
    /// Evacuated failure domains. Older coordinators do not send them; older gateways ignore them.
    Evacuations evacuations;
};

/// Response of a coordinator to a gateway that waits for a configuration.
struct ConfigUpdate
{
    /// Failure domain of the coordinator.
    std::string domain;
    /// Body of the configuration, as the operator sent it; absent if there is none newer than the gateway's.
    std::optional<std::string> body;
};

/// A body that could not be decoded.
struct ExchangeError
{
    /// Message of the parser, for the log.
    std::string detail;
};

// MessagePack bodies of the calls. The decode functions fail if the body is malformed or a field is missing
// or mistyped. A TransferPermit is the response to a TransferRequest, and the body with which the gateway
// reports the end of the copy.

std::string encodeStatus(const GatewayStatus &status);
Result<GatewayStatus, ExchangeError> decodeGatewayStatus(std::string_view body);
/// Of a runner's report it keeps the notice only, not the numbers that change all the time.
std::string encodeStatus(const CoordinatorStatus &status);
Result<CoordinatorStatus, ExchangeError> decodeCoordinatorStatus(std::string_view body);
std::string encodeTransferRequest(const TransferRequest &request);
Result<TransferRequest, ExchangeError> decodeTransferRequest(std::string_view body);
std::string encodePlacementRequest(const FleetPlacementRequest &request);
Result<FleetPlacementRequest, ExchangeError> decodePlacementRequest(std::string_view body);
std::string encodePlacementResult(const PlacementResult &result);
Result<PlacementResult, ExchangeError> decodePlacementResult(std::string_view body);
std::string encodeTransferPermit(const TransferPermit &permit);
Result<TransferPermit, ExchangeError> decodeTransferPermit(std::string_view body);
/// Compresses the body.
std::string encodeConfigUpdate(const ConfigUpdate &update);
Result<ConfigUpdate, ExchangeError> decodeConfigUpdate(std::string_view body);

} // namespace eelgrasslift
