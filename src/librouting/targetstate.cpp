#include "librouting/targetstate.h"

#include <algorithm>

namespace eelgrasslift {

namespace {

constexpr Duration SlowStartTime = std::chrono::seconds{10};
// A new target takes a tenth of its share at once: enough to find out whether it works.
constexpr double SlowStartFloor = 0.1;

} // namespace

double TargetState::ramp(TimePoint now) const
{
    return std::clamp(toSeconds(now - this->since) / toSeconds(SlowStartTime), SlowStartFloor, 1.0);
}

double TargetState::countLoad(TimePoint now) const
{
    const double slots = std::max(1.0, this->settings.slots * this->ramp(now));
    return (this->load.ownInFlight() + this->load.otherInFlight(now)) / slots;
}

bool TargetState::isReserved(TimePoint now) const
{
    return this->reservedUntil && now < *this->reservedUntil;
}

bool TargetState::isTakenBySuspect(TimePoint now) const
{
    return this->load.aloneCount() > 0 || this->isReserved(now) || this->load.isReservedByPeer(now);
}

} // namespace eelgrasslift
