#pragma once

#include "gateway/configpublisher.h"
#include "gateway/configstore.h"
#include "gateway/fleetreader.h"
#include "gateway/gatewayexchange.h"
#include "gateway/nodesettings.h"

namespace eelgrasslift {

/// Ports of a coordinator, relative to NodeSettings::firstInternalPort.
constexpr uint16_t ConsensusPortOffset = 0;
constexpr uint16_t ExchangePortOffset = 1;

/// A control member: replicates the configuration and handles the calls of operators and gateways. While it
/// leads, it polls the runners and schedules placements and transfers for all gateways. Without the lead it
/// does the same as a delegate, for gateways that have no contact with the leader: in a failure domain that
/// is cut off, one coordinator then polls the runners instead of each gateway. All functions run on the
/// thread of the io_context.
class Coordinator
{
public:
    /// Opens the data folder. If it is empty, NodeSettings::isBootstrap is set and this VM is a seed,
    /// bootstraps the cluster first. Fails if the folder is unusable.
    static Result<std::unique_ptr<Coordinator>, StorageError>
    open(boost::asio::io_context &io, const NodeSettings &settings, const WireFormat &format);

    /// Starts replication and polling. Call it once.
    void start();
    /// Stops timers and replication.
    void stop();

    /// Handles an operator's request to read or replace the configuration. A member that does not lead
    /// redirects to the leader, or responds with 503 if none is known.
    boost::asio::awaitable<HttpResponse> handleOperator(HttpRequest request);
    /// Handles a gateway's status exchange, wait for a configuration, placement request, transfer request or
    /// end of a transfer. A member that does not schedule responds with 503, except for configurations; to
    /// an exchange with the leader's address as well, if known. Responds with 404 to other calls.
    boost::asio::awaitable<HttpResponse> handleExchange(HttpRequest request);

    /// Replication of the configuration. The process runs its gRPC service and transfers the leadership at
    /// shutdown.
    Replicator &replicator() { return *this->replica; }

private:
    Coordinator(boost::asio::io_context &io, const NodeSettings &settings, const WireFormat &format);

    boost::asio::awaitable<HttpResponse> writeConfig(std::string body);
    boost::asio::awaitable<HttpResponse> readConfig();
    /// Replicates the change and acknowledges it. target is the path of the request.
    boost::asio::awaitable<HttpResponse> changeEvacuation(EvacuationChange change, std::string target);
    /// Excludes the runners of evacuated failure domains from placements and tells all gateways.
    void applyEvacuations();
    /// Response to an operator's request that failed for lack of leadership.
    HttpResponse leadershipErrorResponse(const ProposalError &error, std::string_view call, uint64_t version,
                                         std::string_view path) const;
    boost::asio::awaitable<HttpResponse> handleStatus(std::string body);
    /// Merges a gateway's reports. Tells all gateways at once if that changes which requests are refused.
    void mergeCrashReports(const GatewayStatus &gateway);
    /// Publishes the configuration that has come into force and takes the engines from it.
    void applyConfig();
    /// Whether this member leads, or schedules for gateways without contact with the leader.
    bool isScheduling() const;
    /// ip:port at which the leader accepts calls of gateways; empty if unknown.
    std::string leaderExchangeAddress() const;
    /// Polls the runners only while this member schedules.
    void checkLeadership();
    void handleFleetUpdate();

    boost::asio::io_context &io;
    NodeSettings settings;
    const WireFormat &format;
    ConfigStore configStore;
    std::unique_ptr<Replicator> replica;
    ConnectionPool connections;
    LeavingRunners leavingRunners;
    /// Requests under which runners have ended, at all gateways.
    CrashRecords crashRecords;
    std::unique_ptr<FleetReader> fleetReader;
    boost::asio::steady_timer leadershipTimer;
    ConfigPublisher configPublisher;
    GenerationScheduler scheduler;
    GatewayExchange exchange;
    /// Services of model runners, from the configuration in force.
    std::set<std::string, std::less<>> engineServices;
    /// The last status of a gateway without contact with the leader.
    std::optional<TimePoint> delegateUsedAt;
    bool hadLease = false;
};

} // namespace eelgrasslift
