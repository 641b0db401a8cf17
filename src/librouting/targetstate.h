#pragma once

#include "librouting/target.h"
#include "librouting/targetload.h"

#include <cstdint>
#include <optional>

namespace eelgrasslift {

/// State of one target in TargetSelector.
struct TargetState
{
    TargetSettings settings;
    TargetLoad load;
    /// Forecast of this entry's runs on the target, as last added to the total of TargetScorer.
    TargetLoad::Forecast countedForecast{};
    /// Whether the target was added and not removed since.
    bool isPresent = false;
    /// Whether the target gets no new requests.
    bool isLeaving = false;
    /// Time when the target was added or reinstated.
    TimePoint slowStartBegin{};
    /// End of the reservation of the target for a suspect.
    std::optional<TimePoint> reservedUntil;
    /// Incarnation and sequence number of the last cache event; the sequence number is 0 before the first
    /// event.
    uint64_t cacheIncarnation = 0;
    uint64_t cacheSequence = 0;

    /// Fraction of the slots and memory that may be used: grows from 0.1 to 1 within 10 s of slowStartBegin.
    double slowStartFactor(TimePoint now) const;

    /// Requests in flight of all entries, as a fraction of the usable slots.
    double slotLoad(TimePoint now) const;

    /// Whether this entry has reserved the target for a suspect.
    bool isReserved(TimePoint now) const;

    /// Whether this or another entry runs a suspect on the target or has reserved the target for one.
    bool isReservedForSuspect(TimePoint now) const;
};

} // namespace eelgrasslift
