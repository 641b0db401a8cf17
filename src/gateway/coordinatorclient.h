#pragma once

#include "gateway/exchange.h"
#include "gateway/fleetreader.h"
#include "gateway/gatewayprocess.h"
#include "gateway/gatewaystate.h"

namespace eelgrasslift {

/// Keeps a gateway in exchange with the leading coordinator: configuration, runners and loads come in, the
/// own load goes out. Without a lead for a while the gateway reads the list of runners itself.
class CoordinatorClient : public FleetScheduler
{
public:
    CoordinatorClient(GatewayState &gateway, SettingsLoader reload);

    void start();
    void useSeeds(const std::vector<Endpoint> &seeds);

    boost::asio::awaitable<std::optional<PlacementAnswer>> place(PlacementWish wish) override;
    boost::asio::awaitable<std::optional<TransferTurn>> ask(TransferWish wish) override;
    void finish(uint64_t ticket) override;

private:
    boost::asio::awaitable<void> exchangeForever();
    boost::asio::awaitable<bool> exchangeOnce(std::string address);
    void adopt(CoordinatorStatus status);
    void useNext();
    void watchContact();
    std::string currentAddress() const
    {
        return this->coordinators[this->current % this->coordinators.size()];
    }

    GatewayState &gateway;
    SettingsLoader reload;
    ConnectionPool connections;
    FleetReader ownReader;
    std::vector<std::string> coordinators;
    size_t current = 0;
    uint32_t failures = 0;
    uint64_t fleetNumber = 0;
    uint64_t fleetTerm = 0;
    std::optional<TimePoint> lastContact;
    TimePoint startedAt{};
    uint32_t gatewayCount = 1;
    bool hasContact = true;
    boost::asio::steady_timer watchTimer;
};

} // namespace eelgrasslift
