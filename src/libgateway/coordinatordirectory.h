#pragma once

#include "libcore/core.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasslift {

/// The coordinators that a gateway knows, and the choice of the one that it asks for configurations.
///
/// Load pattern: a configuration with 1,400 routes goes to 295 gateways at once. If all of them asked the
/// leader, its processor and link would be busy for seconds; any coordinator has the committed
/// configuration, so each gateway asks one in its own failure domain.
class CoordinatorDirectory
{
public:
    explicit CoordinatorDirectory(std::string_view ownDomain)
        : domain(ownDomain)
    {}

    /// Adds a coordinator at ip:port; has no effect if it is known.
    void add(std::string_view address);
    /// Replaces the coordinators by those that the leader names; keeps what is known about them.
    void setMembers(const std::vector<std::string> &addresses);
    /// Records a response, which states the failure domain of the coordinator.
    void recordResponse(std::string_view address, std::string_view coordinatorDomain);
    /// Records that a call got no response; the coordinator is avoided for a while.
    void recordFailure(std::string_view address, TimePoint now);

    /// Chooses a coordinator: one in the gateway's own failure domain; else one whose domain is not known
    /// yet, which is how the own one is found; else any. Those that failed lately are used only if there is
    /// no other. Empty if none is known, or only the excluded one.
    std::string choose(TimePoint now, Random &random, std::string_view excluded = {}) const;

    size_t size() const { return this->coordinators.size(); }

private:
    struct Coordinator
    {
        std::string address;
        /// Empty: unknown.
        std::string domain;
        std::optional<TimePoint> failedAt;
    };

    Coordinator *find(std::string_view address);
    /// Smaller is better.
    int rankOf(const Coordinator &coordinator, TimePoint now) const;

    std::string domain;
    std::vector<Coordinator> coordinators;
};

} // namespace eelgrasslift
