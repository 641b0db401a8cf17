#pragma once

#include "libgateway/fleetview.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasslift {

/// Load by runner id.
using RunnerLoads = std::map<std::string, RunnerLoad, std::less<>>;

/// Load of all gateways on each runner: the last report of each gateway and the placements made for it since.
/// Used by the leading coordinator.
///
/// Load pattern: 76 gateways place 75 generations a second on runners with memory for six each. A gateway
/// reports a placement some hundred milliseconds after it was made; if it did not count until then, two or
/// three generations would be placed in the same free memory.
class FleetLoad
{
public:
    /// Replaces the gateway's last report, and drops the placements that are old enough to be part of the new
    /// one.
    void update(std::string_view gateway, RunnerLoads loads, TimePoint now);

    /// Counts a generation that was placed for the gateway and is not in its reports yet. Ignored for a
    /// gateway that has never reported.
    void addPlacement(std::string_view gateway, std::string_view runner, const RunnerLoad &load,
                      TimePoint now);

    /// Removes the load of gateways whose last report is older than the timeout.
    void removeSilentGateways(TimePoint now, Duration timeout);

    /// Load of all gateways together.
    const RunnerLoads &total() const { return this->sum; }
    /// Load of all gateways but one; returned to that gateway as the load of the others.
    RunnerLoads totalExcluding(std::string_view gateway) const;
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

    void add(std::string_view runner, const RunnerLoad &load);
    void subtract(std::string_view runner, const RunnerLoad &load);

    std::map<std::string, Gateway, std::less<>> gateways;
    RunnerLoads sum;
};

} // namespace eelgrasslift
