#pragma once

#include "libcore/core.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace eelgrasslift::soak {

/// What happened to a process between its start and its end.
struct ProcessLife
{
    struct Freeze
    {
        TimePoint from;
        /// Absent while it lasts.
        std::optional<TimePoint> until;
    };

    std::string name;
    std::optional<TimePoint> terminatedAt;
    std::optional<TimePoint> killedAt;
    std::vector<Freeze> freezes;

    bool wasFrozenWithin(TimePoint from, TimePoint until) const
    {
        return std::ranges::any_of(this->freezes, [&](const Freeze &freeze) {
            return freeze.from <= until && (!freeze.until || *freeze.until >= from);
        });
    }
};

} // namespace eelgrasslift::soak
