#pragma once

#include "gateway/configstore.h"
#include "gateway/exchange.h"
#include "gateway/fleetreader.h"
#include "gateway/nodesettings.h"

namespace eelgrasslift {

/// Ports of the processes' own exchange, counted from the first internal port.
constexpr uint16_t ConsensusPortOffset = 0;
constexpr uint16_t ExchangePortOffset = 1;

/// Calls of the exchange beside the status.
constexpr const char *PlacementPath = "/place";
constexpr const char *TransferPath = "/transfer";
constexpr const char *TransferEndPath = "/transfer-end";

/// State and calls of one control member. All functions run on the control-state thread.
class Coordinator
{
public:
    static Result<std::unique_ptr<Coordinator>, StorageError>
    open(boost::asio::io_context &io, const NodeSettings &settings, const WireFormat &format);

    void start();
    void stop();

    /// Calls of operators.
    boost::asio::awaitable<HttpResponse> handleOperator(HttpRequest request);
    /// Calls of gateways.
    boost::asio::awaitable<HttpResponse> handleExchange(HttpRequest request);

    Replicator &replicator() { return *this->replica; }

private:
    /// A call for a placement that waits for room.
    struct PlacementWaiter
    {
        const PlacementWish &wish;
        boost::asio::steady_timer &turn;
        RunnerPool::RunnerPointer runner;
    };

    Coordinator(boost::asio::io_context &io, const NodeSettings &settings, const WireFormat &format);

    boost::asio::awaitable<HttpResponse> writeConfig(std::string body);
    boost::asio::awaitable<HttpResponse> readConfig();
    HttpResponse refuseWithoutLead(const ProposalError &error, std::string_view call, uint64_t version) const;
    boost::asio::awaitable<HttpResponse> waitForTransfer(std::string body);
    HttpResponse finishTransfer(std::string_view body);
    void grantTransfers();
    /// Waits for room if there is none.
    boost::asio::awaitable<HttpResponse> place(std::string body);
    /// Gives room to waiting generations, in their order.
    void placeWaiting();
    void placeWaitingSoon();
    RunnerPool::RunnerPointer placeNow(const PlacementWish &wish);
    /// Empty if no runner has room, or none is known.
    RunnerPool::RunnerPointer choose(RunnerCriteria request);
    std::string chooseDestination(const TransferWish &wish);
    void followLeadership();
    void fleetUpdated(bool isUrgent);
    void wakeWaiters();
    CoordinatorStatus statusFor(const GatewayStatus &gateway);
    bool hasNews(const GatewayStatus &gateway) const;

    boost::asio::io_context &io;
    NodeSettings settings;
    const WireFormat &format;
    ConfigStore store;
    std::unique_ptr<Replicator> replica;
    ConnectionPool connections;
    std::unique_ptr<FleetReader> fleet;
    /// Cancelled when there is news for waiting gateways.
    boost::asio::steady_timer news;
    boost::asio::steady_timer leadershipTimer;
    boost::asio::steady_timer placementTimer;
    bool isPlacingSoon = false;
    FleetLoad load;
    /// Decoded from the stored configuration.
    std::map<std::string, EngineTraits, std::less<>> engines;
    uint64_t fleetNumber = 0;
    std::string encodedFleet;
    PlacementQueue placements;
    std::map<PlacementQueue::Ticket, PlacementWaiter *> placementWaiters;
    TransferQueue transfers;
    /// Cancelled when the ticket's turn has come.
    std::map<TransferQueue::Ticket, boost::asio::steady_timer *> transferWaiters;
    /// Runners with the work of all gateways, for the choice of destinations.
    RunnerPool pool;
    Random random{systemSeed()};
};

} // namespace eelgrasslift
