#pragma once

#include "libcontrol/commands.h"

#include <map>
#include <variant>

namespace eelgrasslift {

/// Limits of the weight store, from the rule file.
struct BudgetLimits
{
    double loadsPerMinute = 2;
    double burst = 2;
};

/// The load of this target has ended; its reservation is deleted.
struct BudgetRelease
{
    std::string target;
};

using BudgetEvent = std::variant<BudgetLimits, ReserveLoad, BudgetRelease>;
using BudgetAction = std::variant<Done, LoadReserved, LoadRefused>;

/// A load that was reserved for an engine process and has not ended.
struct LoadReservation
{
    uint64_t incarnation = 0;
    DesiredState desired;
    WallTime reservedAt{};

    bool operator==(const LoadReservation &) const = default;
};

/// Rate limit of loads from the weight store for the whole fleet, with at most one open reservation per
/// target. Part of the replicated state: it computes in whole milliseconds, so that all members get equal
/// results.
class WeightBudget
{
public:
    using Reservations = std::map<std::string, LoadReservation, std::less<>>;

    /// A reservation expires after this time, so that a target that was removed does not keep it for ever.
    static constexpr std::chrono::minutes ReservationLifetime{10};

    WeightBudget() = default;
    WeightBudget(WallTime refilledAt, Reservations reservations);

    /// Processes an event at the time now. Only ReserveLoad has a result other than Done.
    BudgetAction handle(const BudgetEvent &event, WallTime now);

    /// Open reservations by target.
    const Reservations &reservations() const { return this->openReservations; }

    /// When the whole burst is available again.
    WallTime refilledAt() const { return this->refillTime; }

private:
    BudgetAction reserve(const ReserveLoad &load, WallTime now);

    /// Time per load at the allowed rate.
    std::chrono::milliseconds interval{30'000};
    /// Maximum time by which refillTime may be ahead of now: interval times burst.
    std::chrono::milliseconds burstWindow{60'000};
    WallTime refillTime{};
    Reservations openReservations;
};

} // namespace eelgrasslift
