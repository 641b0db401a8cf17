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

/// The load of this target has ended.
struct BudgetRelease
{
    std::string target;
};

using BudgetEvent = std::variant<BudgetLimits, ReserveLoad, BudgetRelease>;
using BudgetAction = std::variant<Done, LoadReserved, LoadRefused>;

struct LoadReservation
{
    uint64_t incarnation = 0;
    DesiredState desired;
    WallTime reservedAt{};

    bool operator==(const LoadReservation &) const = default;
};

/// The budget of loads from the weight store for the whole fleet, with one open reservation per target.
/// Part of the replicated state: its arithmetic is in whole milliseconds, so that all members agree.
class WeightBudget
{
public:
    using Reservations = std::map<std::string, LoadReservation, std::less<>>;

    /// A reservation is dropped after this time, so that a target that has gone does not hold it for ever.
    static constexpr std::chrono::minutes ReservationLife{10};

    WeightBudget() = default;
    WeightBudget(WallTime freeAt, Reservations reservations);

    BudgetAction handle(const BudgetEvent &event, WallTime now);

    const Reservations &reservations() const { return this->open; }

    /// When the budget will be full again.
    WallTime freeAt() const { return this->full; }

private:
    BudgetAction reserve(const ReserveLoad &load, WallTime now);

    std::chrono::milliseconds interval{30'000};
    std::chrono::milliseconds window{60'000};
    WallTime full{};
    Reservations open;
};

} // namespace eelgrasslift
