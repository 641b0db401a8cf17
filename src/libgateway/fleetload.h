#pragma once

#include "libgateway/fleetview.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasslift {

using RunnerLoads = std::map<std::string, RunnerLoad, std::less<>>;

/// Work of all gateways on each runner: what they told last, and what was placed for them since.
///
/// Load pattern: 76 gateways place 75 generations a second on runners that hold six each. What one of them
/// placed is told some hundred milliseconds later; without it two or three are placed on the same room.
class FleetLoad
{
public:
    /// The gateway's own count replaces what it told before and the placements that it must have begun.
    void update(std::string_view gateway, RunnerLoads loads, TimePoint now);

    /// A generation was placed for a gateway that has not told of it yet.
    void addPlacement(std::string_view gateway, std::string_view runner, const RunnerLoad &load,
                      TimePoint now);

    /// Drops gateways that have been silent for longer than the timeout.
    void removeSilentGateways(TimePoint now, Duration timeout);

    const RunnerLoads &total() const { return this->sum; }
    RunnerLoads totalExcluding(std::string_view gateway) const;
    size_t gatewayCount() const { return this->gateways.size(); }

private:
    struct Placement
    {
        std::string runner;
        RunnerLoad load;
        TimePoint at{};
    };

    struct Gateway
    {
        RunnerLoads told;
        std::vector<Placement> placed;
        TimePoint heardAt{};
    };

    void add(std::string_view runner, const RunnerLoad &load);
    void subtract(std::string_view runner, const RunnerLoad &load);

    std::map<std::string, Gateway, std::less<>> gateways;
    RunnerLoads sum;
};

} // namespace eelgrasslift
