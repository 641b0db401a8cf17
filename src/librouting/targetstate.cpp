#include "librouting/targetstate.h"

#include <algorithm>

namespace eelgrasslift {

namespace {

constexpr Duration SlowStartTime = std::chrono::seconds{10};
// A new target gets a tenth of its full load at once, which is enough to detect a broken target.
constexpr double SlowStartFloor = 0.1;

} // namespace

double TargetState::slowStartFactor(TimePoint now) const
{
    return std::clamp(toSeconds(now - this->slowStartBegin) / toSeconds(SlowStartTime), SlowStartFloor, 1.0);
}

double TargetState::slotLoad(TimePoint now) const
{
    const double slots = std::max(1.0, this->settings.slots * this->slowStartFactor(now));
    return (this->load.ownInFlight() + this->load.otherInFlight(now)) / slots;
}

bool TargetState::isReserved(TimePoint now) const
{
    return this->reservedUntil && now < *this->reservedUntil;
}

bool TargetState::isReservedForSuspect(TimePoint now) const
{
    return this->load.isolatedRunCount() > 0 || this->isReserved(now) || this->load.isReservedByPeer(now);
}

} // namespace eelgrasslift
