#pragma once

#include "gateway/exchange.h"
#include "gateway/fleetreader.h"
#include "gateway/gatewayprocess.h"
#include "gateway/gatewaystate.h"

namespace eelgrasslift {

/// A gateway's client of the leading coordinator. Exchanges status with it continuously: sends the gateway's
/// own load and receives the configuration, the list of runners and the load of the other gateways. Without
/// contact for a while, the gateway polls the platform's list of runners itself.
class CoordinatorClient : public FleetScheduler
{
public:
    CoordinatorClient(GatewayState &gateway, SettingsLoader loadSettings);

    /// Starts the exchange; it runs until the process ends.
    void start();
    /// Adds the seeds to the coordinators that are tried.
    void addSeeds(const std::vector<Endpoint> &seeds);

    boost::asio::awaitable<std::optional<PlacementResult>> place(FleetPlacementRequest request) override;
    boost::asio::awaitable<std::optional<TransferPermit>> requestTransfer(TransferRequest request) override;
    void finishTransfer(uint64_t ticket) override;

private:
    boost::asio::awaitable<void> exchangeLoop();
    /// One exchange with the coordinator; returns false if it failed, after choosing the coordinator to try
    /// next.
    boost::asio::awaitable<bool> exchangeOnce(std::string address);
    void applyStatus(CoordinatorStatus status);
    void selectNext();
    /// Starts and stops the fallback polling as contact with the leader is lost and regained.
    void checkContact();
    std::string currentAddress() const
    {
        return this->coordinatorAddresses[this->currentIndex % this->coordinatorAddresses.size()];
    }

    GatewayState &gateway;
    SettingsLoader loadSettings;
    ConnectionPool connections;
    /// Polls the runners while there is no contact with the leader.
    FleetReader fallbackReader;
    std::vector<std::string> coordinatorAddresses;
    /// Index of the coordinator that is believed to lead.
    size_t currentIndex = 0;
    uint32_t consecutiveFailures = 0;
    uint64_t fleetVersion = 0;
    uint64_t fleetTerm = 0;
    /// Last successful exchange.
    std::optional<TimePoint> lastLeaderContact;
    TimePoint startedAt{};
    uint32_t gatewayCount = 1;
    bool hasLeaderContact = true;
    boost::asio::steady_timer contactTimer;
};

} // namespace eelgrasslift
