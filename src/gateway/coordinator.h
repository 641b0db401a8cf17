#pragma once

#include "gateway/configstore.h"
#include "gateway/exchange.h"
#include "gateway/fleetreader.h"
#include "gateway/nodesettings.h"

namespace eelgrasslift {

/// Ports of a coordinator, relative to NodeSettings::firstInternalPort.
constexpr uint16_t ConsensusPortOffset = 0;
constexpr uint16_t ExchangePortOffset = 1;

/// Paths of the calls from gateways besides the exchange of status.
constexpr const char *PlacementPath = "/place";
constexpr const char *TransferPath = "/transfer";
constexpr const char *TransferEndPath = "/transfer-end";

/// A control member: replicates the configuration and handles the calls of operators and gateways. While it
/// leads, it polls the runners and schedules placements and transfers for all gateways. All functions run on
/// the thread of the io_context.
class Coordinator
{
public:
    /// Opens the data folder, or founds the cluster at the first start of a seed. Fails if the folder is
    /// unusable.
    static Result<std::unique_ptr<Coordinator>, StorageError>
    open(boost::asio::io_context &io, const NodeSettings &settings, const WireFormat &format);

    /// Starts replication and polling. Call it once.
    void start();
    /// Stops timers and replication.
    void stop();

    /// Handles an operator's request to read or replace the configuration. A member that does not lead
    /// redirects to the leader, or responds with 503 if none is known.
    boost::asio::awaitable<HttpResponse> handleOperator(HttpRequest request);
    /// Handles a gateway's status exchange, placement request, transfer request or end of a transfer. A
    /// member without a leader lease responds with 503; to an exchange with the leader's address as well, if
    /// known.
    boost::asio::awaitable<HttpResponse> handleExchange(HttpRequest request);

    /// For the process, which runs the gRPC service and transfers leadership at shutdown.
    Replicator &replicator() { return *this->replica; }

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

    Coordinator(boost::asio::io_context &io, const NodeSettings &settings, const WireFormat &format);

    boost::asio::awaitable<HttpResponse> writeConfig(std::string body);
    boost::asio::awaitable<HttpResponse> readConfig();
    /// Response to an operator's request that failed for lack of leadership.
    HttpResponse leadershipErrorResponse(const ProposalError &error, std::string_view call,
                                         uint64_t version) const;
    boost::asio::awaitable<HttpResponse> handleTransferRequest(std::string body);
    HttpResponse handleTransferEnd(std::string_view body);
    void grantTransfers();
    /// Queues the request until a runner has enough free memory or the poll times out.
    boost::asio::awaitable<HttpResponse> handlePlacement(std::string body);
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
    /// Polls the runners only while this member leads.
    void checkLeadership();
    void handleFleetUpdate(bool isUrgent);
    /// Ends the wait of all open exchanges.
    void wakeGateways();
    CoordinatorStatus statusFor(const GatewayStatus &gateway);
    /// Whether the response to the gateway should not wait.
    bool hasUpdateFor(const GatewayStatus &gateway) const;

    boost::asio::io_context &io;
    NodeSettings settings;
    const WireFormat &format;
    ConfigStore configStore;
    std::unique_ptr<Replicator> replica;
    ConnectionPool connections;
    std::unique_ptr<FleetReader> fleetReader;
    /// Cancelled when there is an update for the gateways with an open exchange.
    boost::asio::steady_timer updateSignal;
    boost::asio::steady_timer leadershipTimer;
    boost::asio::steady_timer placementTimer;
    bool isPlacementScheduled = false;
    FleetLoad fleetLoad;
    /// By service name, from the configuration in force.
    std::map<std::string, EngineTraits, std::less<>> engineTraits;
    /// Counts the updates of the list of runners in this process.
    uint64_t fleetVersion = 0;
    std::string encodedFleet;
    PlacementQueue placementQueue;
    std::map<PlacementQueue::Ticket, PendingPlacement *> pendingPlacements;
    TransferQueue transferQueue;
    /// Timers of waiting calls; cancelled when the transfer is granted.
    std::map<TransferQueue::Ticket, boost::asio::steady_timer *> pendingTransfers;
    /// Runners with the load of all gateways, for placements and transfers.
    RunnerPool runners;
    Random random{systemSeed()};
};

} // namespace eelgrasslift
