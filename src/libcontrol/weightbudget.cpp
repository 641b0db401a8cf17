#include "libcontrol/weightbudget.h"

#include <algorithm>
#include <cmath>

namespace eelgrasslift {

using std::chrono::milliseconds;

WeightBudget::WeightBudget(WallTime refilledAt, Reservations reservations)
    : refillTime(refilledAt)
    , openReservations(std::move(reservations))
{}

BudgetAction WeightBudget::handle(const BudgetEvent &event, WallTime now)
{
    return match(
            event,
            [&](const BudgetLimits &limits) -> BudgetAction {
                constexpr double MinuteMs = 60'000;
                this->interval =
                        milliseconds{std::max<int64_t>(1, std::llround(MinuteMs / limits.loadsPerMinute))};
                this->burstWindow = milliseconds{
                        std::llround(limits.burst * static_cast<double>(this->interval.count()))};
                return Done{};
            },
            [&](const ReserveLoad &load) { return this->reserve(load, now); },
            [&](const BudgetRelease &release) -> BudgetAction {
                this->openReservations.erase(release.target);
                return Done{};
            });
}

BudgetAction WeightBudget::reserve(const ReserveLoad &load, WallTime now)
{
    std::erase_if(this->openReservations,
                  [now](const auto &item) { return now - item.second.reservedAt >= ReservationLifetime; });
    const auto found = this->openReservations.find(load.target);
    if (found != this->openReservations.end() && found->second.incarnation == load.incarnation &&
        found->second.desired == load.desired)
        return LoadReserved{false};

    const WallTime next = std::max(this->refillTime, now) + this->interval;
    if (next - now > this->burstWindow)
        return LoadRefused{next - now - this->burstWindow};
    this->refillTime = next;
    this->openReservations[load.target] = {load.incarnation, load.desired, now};
    return LoadReserved{true};
}

} // namespace eelgrasslift
