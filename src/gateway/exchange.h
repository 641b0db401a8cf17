#pragma once

#include "gateway/fleetscheduler.h"

#include <map>
#include <optional>
#include <string>
#include <variant>

namespace eelgrasslift {

/// Status that a gateway sends to the leading coordinator in each exchange.
struct GatewayStatus
{
    /// Name of the gateway.
    std::string gateway;
    /// Version of the configuration that the gateway uses; 0: none.
    uint64_t configVersion = 0;
    /// Version of the list of runners that the gateway uses; 0: none.
    uint64_t fleetVersion = 0;
    /// Term of the coordinator that assigned fleetVersion; versions of different terms are not comparable.
    uint64_t fleetTerm = 0;
    /// Load that the gateway itself has placed on each runner, by runner id.
    std::map<std::string, RunnerLoad, std::less<>> loads;
};

/// Response of the leading coordinator to a GatewayStatus.
struct CoordinatorStatus
{
    /// ip:port at which each coordinator accepts exchanges.
    std::vector<std::string> coordinatorAddresses;
    /// Number of live gateways.
    uint32_t gatewayCount = 1;
    /// Body of the configuration; present if newer than the gateway's.
    std::optional<std::string> config;
    /// Version and term of the list of runners, as in GatewayStatus.
    uint64_t fleetVersion = 0;
    uint64_t fleetTerm = 0;
    /// The list of runners; present if its version differs from the gateway's.
    std::optional<std::vector<RunnerEntry>> fleet;
    /// Load of all other gateways on each runner, by runner id.
    std::map<std::string, RunnerLoad, std::less<>> otherLoads;
};

/// A body that could not be decoded.
struct ExchangeError
{
    /// Message of the JSON parser, for the log.
    std::string detail;
};

// JSON bodies of the calls from gateways to coordinators. The decode functions fail if the body is malformed
// or a field is missing or mistyped.

std::string encodeStatus(const GatewayStatus &status);
Result<GatewayStatus, ExchangeError> decodeGatewayStatus(std::string_view body);
/// encodedFleet is the result of encodeFleet(), which is encoded once for all gateways; empty to leave the
/// list out.
std::string encodeStatus(const CoordinatorStatus &status, std::string_view encodedFleet);
Result<CoordinatorStatus, ExchangeError> decodeCoordinatorStatus(std::string_view body);
std::string encodeTransferRequest(const TransferRequest &request);
Result<TransferRequest, ExchangeError> decodeTransferRequest(std::string_view body);
std::string encodePlacementRequest(const FleetPlacementRequest &request);
Result<FleetPlacementRequest, ExchangeError> decodePlacementRequest(std::string_view body);
std::string encodePlacementResult(const PlacementResult &result);
Result<PlacementResult, ExchangeError> decodePlacementResult(std::string_view body);
std::string encodeTransferPermit(const TransferPermit &permit);
Result<TransferPermit, ExchangeError> decodeTransferPermit(std::string_view body);
std::string encodeFleet(const std::vector<RunnerEntry> &fleet);

} // namespace eelgrasslift
