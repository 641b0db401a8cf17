#pragma once

#include "gateway/configsubscriber.h"
#include "gateway/exchange.h"
#include "gateway/fleetreader.h"
#include "gateway/gatewayprocess.h"
#include "gateway/gatewaystate.h"

namespace eelgrasslift {

/// A gateway's client of the coordinators. Exchanges status with the leader continuously: sends the gateway's
/// own load and receives changes of the list of runners and the load of the other gateways. Without contact
/// with the leader for a while it uses another coordinator as a delegate, and without any coordinator it
/// reads the platform's list of runners itself.
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
    /// One exchange with the coordinator; returns false if it failed.
    boost::asio::awaitable<bool> exchangeOnce(std::string address);
    /// The coordinator for the next exchange; empty if none is known.
    std::string nextAddress();
    void applyStatus(const std::string &address, const CoordinatorStatus &status);
    /// Records contact with a coordinator that schedules, and starts and stops the fallback polling as it is
    /// lost and regained.
    void checkContact();
    bool hasLeaderContact() const;
    /// Whether a coordinator schedules for this gateway.
    bool isScheduled() const { return !this->schedulerAddress.empty(); }

    GatewayState &gateway;
    SettingsLoader loadSettings;
    ConnectionPool connections;
    /// Polls the runners while there is no contact with the leader.
    FleetReader fallbackReader;
    CoordinatorDirectory coordinators;
    ConfigSubscriber configSubscriber;
    /// ip:port of the coordinator that schedules for this gateway; empty without one.
    std::string schedulerAddress;
    /// ip:port of the leader that another coordinator has named; empty if none is named or it has failed.
    std::string namedLeader;
    uint32_t consecutiveFailures = 0;
    uint64_t fleetVersion = 0;
    uint64_t fleetSource = 0;
    /// Last successful exchange with the leader, and with any coordinator; the start before the first one.
    TimePoint lastLeaderContact{};
    TimePoint lastContact{};
    TimePoint lastLeaderAttempt{};
    /// Why the last failed exchange failed, for the log.
    std::string lastFailure;
    uint32_t gatewayCount = 1;
    bool wasInContact = true;
    boost::asio::steady_timer contactTimer;
};

} // namespace eelgrasslift
