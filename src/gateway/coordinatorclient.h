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
    /// One exchange with the coordinator; returns false if it failed. mayDelegate: the coordinator may
    /// schedule for this gateway without being the leader, if there is no contact with that.
    boost::asio::awaitable<bool> exchangeOnce(std::string address, bool mayDelegate);
    void applyStatus(const std::string &address, const CoordinatorStatus &status);
    /// Takes over the coordinator's reports; it has received the gateway's own up to the version.
    void applyRefusals(const CoordinatorStatus &status, uint64_t reportedVersion);
    /// Logs that contact with the leader is lost or regained, and starts and stops the fallback polling.
    void checkContact();

    GatewayState &gateway;
    SettingsLoader loadSettings;
    /// Connections to coordinators, and of the fallbackReader to runners, whose reports name no request.
    ConnectionPool connections;
    /// Polls the runners while no coordinator can be reached.
    FleetReader fallbackReader;
    CoordinatorDirectory coordinators;
    ConfigSubscriber configSubscriber;
    SchedulerContact contact;
    uint32_t consecutiveFailures = 0;
    uint64_t fleetVersion = 0;
    uint64_t fleetSource = 0;
    /// Version of the coordinator's crash reports, the coordinator process that assigned it, and the version
    /// of the gateway's own reports that it has received.
    uint64_t crashVersion = 0;
    uint64_t crashSource = 0;
    uint64_t reportedCrashVersion = 0;
    /// Why the last failed exchange failed, for the log.
    std::string lastFailure;
    uint32_t gatewayCount = 1;
    bool wasInContact = true;
    boost::asio::steady_timer contactTimer;
};

} // namespace eelgrasslift
