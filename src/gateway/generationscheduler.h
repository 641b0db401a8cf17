#pragma once

#include "gateway/exchange.h"
#include "gateway/httpservice.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <span>

namespace eelgrasslift {

/// Places generations and orders the copies away from leaving runners for all gateways that exchange status
/// with a coordinator. It decodes their requests and lets them wait; the decisions are those of RunnerPool,
/// PlacementQueue and TransferQueue.
class GenerationScheduler
{
public:
    explicit GenerationScheduler(boost::asio::io_context &io);

    /// Engines by service name, from the configuration in force.
    using Engines = std::map<std::string, EngineTraits, std::less<>>;
    void setEngines(Engines engines) { this->engineTraits = std::move(engines); }
    void setFleet(std::span<const RunnerEntry> entries);
    /// Places nothing at runners of the evacuated failure domains.
    void setEvacuations(const Evacuations &evacuations) { this->runners.setEvacuations(evacuations); }
    /// Records a gateway's own load, and places generations that wait for memory.
    void updateGateway(std::string_view gateway, RunnerLoads loads);
    /// Stops the timer.
    void stop();

    /// Queues the request until a runner has enough free memory or the poll times out. Responds with 400 if
    /// the body is malformed.
    boost::asio::awaitable<HttpResponse> place(std::string body);
    /// Waits until the copy may start. Responds with 503 if it may not in time or has no destination.
    boost::asio::awaitable<HttpResponse> requestTransfer(std::string body);
    HttpResponse endTransfer(std::string_view body);

    const FleetLoad &load() const { return this->fleetLoad; }
    /// Load of all gateways but one on some runners; at least the memory that the runners report.
    RunnerLoads loadOfOthers(std::string_view gateway, std::span<const std::string> runnerIds) const;
    /// Share of the KV cache that is expected to be in use, by service.
    std::map<std::string, double, std::less<>> memoryUtilization();

private:
    /// A placement request in the queue.
    struct PendingPlacement
    {
        const FleetPlacementRequest &placement;
        /// Cancelled to resume the waiting call.
        boost::asio::steady_timer &wakeUp;
        /// The chosen runner; nullptr until then.
        RunnerPool::RunnerPointer runner;
    };

    void grantTransfers();
    /// Tries to place the queued generations in the order of the queue.
    void placePending();
    /// Calls placePending() after a short delay, which batches the load reports of several gateways.
    void schedulePlacement();
    /// Chooses a runner and counts the generation as its load; nullptr if none has enough free memory.
    RunnerPool::RunnerPointer tryPlace(const FleetPlacementRequest &placement);
    /// nullptr if no runner has enough free memory, or none is known.
    RunnerPool::RunnerPointer chooseRunner(RunnerCriteria criteria);
    /// Id of the runner that is to receive the copy; empty if there is none.
    std::string chooseDestination(const TransferRequest &transfer);

    boost::asio::io_context &io;
    boost::asio::steady_timer placementTimer;
    bool isPlacementScheduled = false;
    FleetLoad fleetLoad;
    Engines engineTraits;
    PlacementQueue placementQueue;
    std::map<PlacementQueue::Ticket, PendingPlacement *> pendingPlacements;
    TransferQueue transferQueue;
    /// Timers of waiting calls; cancelled when the transfer is granted.
    std::map<TransferQueue::Ticket, boost::asio::steady_timer *> pendingTransfers;
    /// Runners with the load of all gateways.
    RunnerPool runners;
    Random random{systemSeed()};
};

} // namespace eelgrasslift
