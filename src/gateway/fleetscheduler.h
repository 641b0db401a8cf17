#pragma once

#include "libgateway/gateway.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <vector>

namespace eelgrasslift {

/// A gateway's wish to copy a generation away from a leaving runner.
struct TransferWish
{
    std::string gateway;
    std::string sourceId;
    std::string service;
    GenerationSize size;
    double madeTokens = 0;
    /// What is lost if the copy does not come; see generationValue().
    double worth = 0;
    /// Runners that had no room for the copy.
    std::vector<std::string> excluded;
};

/// The turn to copy.
struct TransferTurn
{
    uint64_t ticket = 0;
    std::string destinationId;
};

/// A gateway's wish to place a generation.
struct PlacementWish
{
    std::string gateway;
    std::string service;
    std::string domain;
    GenerationSize size;
    double memoryLimit = 1;
    double crossingSeconds = 0;
    std::vector<std::string> excluded;
    /// See WaitingGeneration.
    uint32_t priority = 0;
    uint32_t routePriority = 0;
    /// Time since the generation arrived.
    Duration waited{};
};

/// The runner that was chosen; empty if all that could serve the generation are full and the gateway is to
/// ask again.
struct PlacementAnswer
{
    std::string runnerId;
};

/// Asks whoever knows the work of all gateways.
class FleetScheduler
{
public:
    virtual ~FleetScheduler() = default;

    /// Waits a while for a runner with room; nothing if nobody places for all gateways at present.
    virtual boost::asio::awaitable<std::optional<PlacementAnswer>> place(PlacementWish wish) = 0;

    /// Waits for the turn; nothing if nobody orders copies at present.
    virtual boost::asio::awaitable<std::optional<TransferTurn>> ask(TransferWish wish) = 0;
    virtual void finish(uint64_t ticket) = 0;
};

} // namespace eelgrasslift
