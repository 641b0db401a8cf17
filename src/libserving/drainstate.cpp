#include "libserving/drainstate.h"

#include <algorithm>

namespace eelgrasslift {

DrainState::DrainState(DrainSettings settings)
    : settings(settings)
{}

std::vector<DrainAction> DrainState::terminate(TimePoint now)
{
    if (this->phase != Phase::Serving)
        return {};
    this->phase = Phase::Accepting;
    this->terminatedAt = now;
    return {DrainAction::FailHealthCheck};
}

std::vector<DrainAction> DrainState::update(size_t inFlight, TimePoint now)
{
    std::vector<DrainAction> actions;
    if (this->phase == Phase::Accepting && now >= this->terminatedAt + this->settings.acceptWindow) {
        this->phase = Phase::Finishing;
        actions.push_back(DrainAction::CloseListener);
    }
    if (this->phase != Phase::Finishing)
        return actions;
    const bool isOverLimit = this->settings.limit && now >= this->terminatedAt + *this->settings.limit;
    if (inFlight > 0 && isOverLimit && !this->isAborted) {
        this->isAborted = true;
        actions.push_back(DrainAction::AbortRemaining);
    }
    if (inFlight == 0) {
        this->phase = Phase::Done;
        actions.push_back(DrainAction::Exit);
    }
    return actions;
}

std::optional<TimePoint> DrainState::nextTick() const
{
    if (this->phase == Phase::Accepting)
        return this->terminatedAt + this->settings.acceptWindow;
    if (this->phase == Phase::Finishing && this->settings.limit && !this->isAborted)
        return this->terminatedAt + *this->settings.limit;
    return std::nullopt;
}

} // namespace eelgrasslift
