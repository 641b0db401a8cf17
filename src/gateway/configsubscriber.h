#pragma once

#include "gateway/exchange.h"
#include "gateway/gatewaystate.h"

namespace eelgrasslift {

/// Keeps a gateway's configuration up to date: waits at a coordinator of its own failure domain for a newer
/// one, and asks the leader if that coordinator is late.
class ConfigSubscriber
{
public:
    ConfigSubscriber(GatewayState &gateway, CoordinatorDirectory &coordinators, ConnectionPool &connections);

    /// Starts to wait for configurations; runs until the process ends.
    void start();
    /// Records the version that the leader at the address has announced.
    void announce(uint64_t version, const std::string &leaderAddress);

private:
    boost::asio::awaitable<void> run();
    /// One call to the coordinator; returns false if it failed.
    boost::asio::awaitable<bool> fetch(std::string address);
    uint64_t version() const { return this->gateway.routes() ? this->gateway.routes()->version() : 0; }

    GatewayState &gateway;
    CoordinatorDirectory &coordinators;
    ConnectionPool &connections;
    uint32_t consecutiveFailures = 0;
    /// When the leader first announced a version that the gateway does not have yet.
    std::optional<TimePoint> missingSince;
    bool isFetchingFromLeader = false;
};

} // namespace eelgrasslift
