#pragma once

#include "gateway/fleetscheduler.h"

#include <map>
#include <optional>
#include <string>
#include <variant>

namespace eelgrasslift {

/// What a gateway tells the leading coordinator at each exchange.
struct GatewayStatus
{
    std::string gateway;
    uint64_t configVersion = 0;
    /// Number of the fleet state that the gateway holds; 0: none.
    uint64_t fleetNumber = 0;
    /// The coordinator's term in which that number was given.
    uint64_t fleetTerm = 0;
    std::map<std::string, RunnerLoad, std::less<>> loads;
};

/// The coordinator's answer.
struct CoordinatorStatus
{
    /// ip:port of the exchange of all coordinators.
    std::vector<std::string> coordinators;
    uint32_t gatewayCount = 1;
    /// Present if newer than what the gateway holds.
    std::optional<std::string> config;
    uint64_t fleetNumber = 0;
    uint64_t fleetTerm = 0;
    std::optional<std::vector<RunnerEntry>> fleet;
    /// Work of the other gateways on each runner.
    std::map<std::string, RunnerLoad, std::less<>> otherLoads;
};

struct ExchangeError
{
    std::string detail;
};

std::string encodeStatus(const GatewayStatus &status);
Result<GatewayStatus, ExchangeError> decodeGatewayStatus(std::string_view body);
/// The fleet is passed as text, so that it is encoded once for all gateways.
std::string encodeStatus(const CoordinatorStatus &status, std::string_view encodedFleet);
Result<CoordinatorStatus, ExchangeError> decodeCoordinatorStatus(std::string_view body);
std::string encodeWish(const TransferWish &wish);
Result<TransferWish, ExchangeError> decodeWish(std::string_view body);
std::string encodePlacementWish(const PlacementWish &wish);
Result<PlacementWish, ExchangeError> decodePlacementWish(std::string_view body);
std::string encodePlacement(const PlacementAnswer &answer);
Result<PlacementAnswer, ExchangeError> decodePlacement(std::string_view body);
std::string encodeTurn(const TransferTurn &turn);
Result<TransferTurn, ExchangeError> decodeTurn(std::string_view body);
std::string encodeFleet(const std::vector<RunnerEntry> &fleet);

} // namespace eelgrasslift
