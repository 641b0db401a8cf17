#pragma once

#include "gateway/exchange.h"
#include "gateway/generationscheduler.h"

#include <set>

namespace eelgrasslift {

/// A coordinator's side of the exchange of status: keeps what gateways wait for, and tells each of them the
/// changes of the list of runners and the load that concerns it.
class GatewayExchange
{
public:
    GatewayExchange(boost::asio::io_context &io, GenerationScheduler &scheduler);

    /// Records the list of runners. Gateways with load on a changed runner of a model service, and all
    /// gateways if a runner of a plain service has changed, get their response at once.
    void updateFleet(std::span<const RunnerEntry> entries, const std::set<std::string, std::less<>> &engines);
    /// Waits until there is an update for the gateway or the poll times out. isFleetKnown: whether the list
    /// was read since this coordinator began to schedule.
    boost::asio::awaitable<void> waitForUpdate(const GatewayStatus &gateway, bool isFleetKnown);
    /// Ends the wait of all gateways.
    void wakeAll();

    /// Fills in what the exchange knows: the number of gateways, changes of the list, and loads.
    void fillStatus(CoordinatorStatus &status, const GatewayStatus &gateway, bool isFleetKnown);

private:
    boost::asio::io_context &io;
    GenerationScheduler &scheduler;
    FleetChangeLog changeLog;
    /// Distinguishes the versions of this process from those of others.
    uint64_t source;
    /// Ids of the runners of plain services, and of model runners by failure domain.
    std::vector<std::string> plainRunners;
    std::map<std::string, std::vector<std::string>, std::less<>> enginesByDomain;
    size_t engineCount = 0;
    /// Timers of waiting exchanges by gateway; cancelled to end the wait.
    std::map<std::string, boost::asio::steady_timer *, std::less<>> waiting;
    std::map<std::string, double, std::less<>> memoryUtilization;
    TimePoint utilizationAt{};
};

} // namespace eelgrasslift
