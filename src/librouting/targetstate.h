#pragma once

#include "librouting/target.h"
#include "librouting/targetload.h"

#include <cstdint>
#include <optional>

namespace eelgrasslift {

/// One target as TargetSelector keeps it.
struct TargetState
{
    TargetSettings settings;
    TargetLoad load;
    /// This target's part of the forecast of all own runs.
    TargetLoad::Forecast counted{};
    bool isPresent = false;
    bool isLeaving = false;
    /// When the target was added or reinstated.
    TimePoint since{};
    /// End of the time for which the target is kept free for a suspect.
    std::optional<TimePoint> reservedUntil;
    uint64_t cacheIncarnation = 0;
    uint64_t cacheSequence = 0;

    /// Share of its slots and memory that the target may use by its age.
    double ramp(TimePoint now) const;

    /// Requests in flight of all entries, as a share of the slots.
    double countLoad(TimePoint now) const;

    /// Whether this entry keeps the target free for a suspect.
    bool isReserved(TimePoint now) const;

    /// Whether a suspect runs on the target or will, from this entry or another.
    bool isTakenBySuspect(TimePoint now) const;
};

} // namespace eelgrasslift
