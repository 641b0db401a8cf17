#pragma once

#include "libgateway/gateway.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <vector>

namespace eelgrasslift {

/// A gateway's request for permission to copy the KV cache of a generation away from a leaving runner.
struct TransferRequest
{
    /// Name of the requesting gateway; set by the FleetScheduler.
    std::string gateway;
    /// Id of the leaving runner.
    std::string sourceId;
    std::string service;
    GenerationSize size;
    /// Tokens that the generation has produced.
    double generatedTokens = 0;
    /// Value of the generation, which is lost if it is not copied; see generationValue().
    double value = 0;
    /// Ids of runners that rejected the copy for lack of memory.
    std::vector<std::string> excluded;
};

/// Permission to start a copy. Its holder reports the end of the copy with FleetScheduler::finishTransfer().
struct TransferPermit
{
    /// Identifies the transfer at the coordinator.
    uint64_t ticket = 0;
    /// Id of the runner that receives the copy.
    std::string destinationId;
};

/// A gateway's request to choose a runner for a new generation.
struct FleetPlacementRequest
{
    /// Name of the requesting gateway; set by the FleetScheduler.
    std::string gateway;
    std::string service;
    /// Failure domain of the gateway.
    std::string domain;
    GenerationSize size;
    /// Share of a runner's memory that its generations may be expected to occupy, at most 1.
    double memoryLimit = 1;
    /// Penalty in seconds for a runner in another failure domain.
    double crossDomainSeconds = 0;
    /// Ids of runners that must not be chosen.
    std::vector<std::string> excluded;
    /// Order among waiting generations; see WaitingGeneration.
    uint32_t priority = 0;
    uint32_t routePriority = 0;
    /// Time since the generation arrived.
    Duration waited{};
};

/// Response to a FleetPlacementRequest.
struct PlacementResult
{
    /// Id of the chosen runner; empty if no suitable runner has enough free memory or none is known, and the
    /// gateway should retry.
    std::string runnerId;
    /// The chosen runner, which the gateway may not have in its list yet.
    std::optional<RunnerEntry> runner;
};

/// Scheduling decisions that require knowledge of the load of all gateways. Implemented by a client of the
/// coordinators; used by stream sessions.
class FleetScheduler
{
public:
    virtual ~FleetScheduler() = default;

    /// Chooses a runner, and waits a short time for one with enough free memory. Returns nothing if no
    /// coordinator schedules for the gateway, which then chooses by itself.
    virtual boost::asio::awaitable<std::optional<PlacementResult>> place(FleetPlacementRequest request) = 0;

    /// Waits until the copy may start. Returns nothing if it was not permitted in time or no leading
    /// coordinator can be reached.
    virtual boost::asio::awaitable<std::optional<TransferPermit>>
    requestTransfer(TransferRequest request) = 0;
    /// Reports that the copy with the ticket has ended, successful or not.
    virtual void finishTransfer(uint64_t ticket) = 0;
};

} // namespace eelgrasslift
