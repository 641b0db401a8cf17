#pragma once

#include "libgateway/fleetview.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasslift {

/// Load by runner id.
using RunnerLoads = std::map<std::string, RunnerLoad, std::less<>>;

/// Load that all gateways together place on each runner: the last report of each gateway and the placements
/// made for it since.
/// Used by the leading coordinator.
///
/// Load pattern: 76 gateways place 75 generations a second on runners with memory for six each. A gateway
/// reports a placement some hundred milliseconds after it was made; if it did not count until then, two or
/// three generations would be placed in the same free memory.
class FleetLoad
{
public:
    /// Replaces the gateway's last report. Drops the placements made for it more than 60 ms ago, which the
    /// new report includes.
    void update(std::string_view gateway, RunnerLoads loads, TimePoint now);

    /// Counts a generation that was placed or copied for the gateway until one of its reports includes it.
    /// Ignored for an unknown gateway.
    void addPlacement(std::string_view gateway, std::string_view runner, const RunnerLoad &load,
                      TimePoint now);

    /// Removes the load of gateways whose last report is older than the timeout.
    void removeSilentGateways(TimePoint now, Duration timeout);

    /// Load of all gateways together.
    const RunnerLoads &total() const { return this->sum; }
    /// Load of all gateways but one on some runners; returned to that gateway as the load of the others.
    RunnerLoads totalExcluding(std::string_view gateway, std::span<const std::string> runners) const;
    /// Load of one gateway on a runner.
    RunnerLoad ownLoad(std::string_view gateway, std::string_view runner) const;
    /// Whether the gateway has load on any of the runners.
    bool hasLoadOn(std::string_view gateway, std::span<const std::string> runners) const;
    /// Number of gateways that have reported and were not removed.
    size_t gatewayCount() const { return this->gateways.size(); }

private:
    struct Placement
    {
        std::string runner;
        RunnerLoad load;
        TimePoint placedAt{};
    };

    struct Gateway
    {
        RunnerLoads reported;
        std::vector<Placement> pendingPlacements;
        TimePoint lastReportAt{};
    };

    /// Load that the gateway has reported or that was placed for it since.
    static RunnerLoad ownLoadOn(const Gateway &gateway, std::string_view runner);
    void add(std::string_view runner, const RunnerLoad &load);
    void subtract(std::string_view runner, const RunnerLoad &load);

    std::map<std::string, Gateway, std::less<>> gateways;
    RunnerLoads sum;
};

} // namespace eelgrasslift
