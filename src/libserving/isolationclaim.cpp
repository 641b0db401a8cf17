#include "libserving/isolationclaim.h"

#include "libserving/records.h"

#include <utility>

namespace eelgrasslift {

IsolationClaim::IsolationClaim(IsolationRequest request, std::set<std::string> liveEntries,
                               std::set<std::string> ownerEntries, uint32_t ownerSize,
                               IsolationClaimSettings settings)
    : request(std::move(request))
    , liveEntries(std::move(liveEntries))
    , ownerEntries(std::move(ownerEntries))
    , ownerSize(ownerSize)
    , settings(settings)
{}

std::vector<IsolationAction> IsolationClaim::start(const Instant &instant)
{
    if (this->state != State::Idle)
        return {};
    this->state = State::Requesting;
    this->deadline = instant.now + this->settings.timeout;
    this->liveEntries.insert(this->ownerEntries.begin(), this->ownerEntries.end());
    if (this->ownerEntries.size() < majorityOf(this->ownerSize))
        this->refuse(false);
    else
        this->sendRequests(instant);
    return this->takeActions();
}

std::vector<IsolationAction> IsolationClaim::handleReply(const std::string &entry, IsolationVerdict verdict,
                                                         const Instant &instant)
{
    const bool isActive = this->state == State::Requesting || this->state == State::Granted;
    if (!isActive || this->liveEntries.count(entry) == 0)
        return {};
    if (verdict == IsolationVerdict::Quarantined && this->state == State::Requesting) {
        this->refuse(true);
        return this->takeActions();
    }
    if (verdict == IsolationVerdict::Granted)
        this->grantedAt[entry] = instant.now;
    const bool hasReserved = verdict == IsolationVerdict::Granted || verdict == IsolationVerdict::Busy;
    if (hasReserved && !this->isFirstEntryReserved && entry == *this->liveEntries.begin()) {
        this->isFirstEntryReserved = true;
        this->sendRequests(instant);
    }
    if (this->state == State::Requesting && this->isGrantedByAll()) {
        this->state = State::Granted;
        this->nextSend = instant.now + this->settings.renewInterval;
        this->actions.emplace_back(IsolationGranted{});
    }
    return this->takeActions();
}

std::vector<IsolationAction> IsolationClaim::tick(const Instant &instant)
{
    if (this->state == State::Requesting && instant.now >= this->deadline)
        this->refuse(false);
    const bool isActive = this->state == State::Requesting || this->state == State::Granted;
    if (isActive && instant.now >= this->nextSend)
        this->sendRequests(instant);
    if (this->state != State::Granted || this->isIsolationLost)
        return this->takeActions();
    for (const auto &item : this->grantedAt) {
        if (instant.now - item.second < this->settings.isolationLimit)
            continue;
        this->isIsolationLost = true;
        this->actions.emplace_back(IsolationLost{});
        break;
    }
    return this->takeActions();
}

std::vector<IsolationAction> IsolationClaim::end()
{
    if (this->state != State::Ended)
        this->releaseAll();
    this->state = State::Ended;
    return this->takeActions();
}

std::optional<TimePoint> IsolationClaim::nextTick() const
{
    if (this->state == State::Requesting)
        return std::min(this->nextSend, this->deadline);
    return this->state == State::Granted ? std::optional{this->nextSend} : std::nullopt;
}

/// Sends only to the first entry in id order until it has reserved the target: competing claims conflict
/// there, instead of each getting the reservations of some entries.
void IsolationClaim::sendRequests(const Instant &instant)
{
    const bool isRenewal = this->state == State::Granted;
    this->nextSend = instant.now + (isRenewal ? this->settings.renewInterval : this->settings.resendInterval);
    for (const std::string &entry : this->liveEntries) {
        this->actions.emplace_back(SendIsolationRequest{entry, this->request});
        if (!this->isFirstEntryReserved)
            break;
    }
}

/// No grant can have expired: all are collected within the timeout, which is shorter than the lease.
bool IsolationClaim::isGrantedByAll() const
{
    return this->grantedAt.size() == this->liveEntries.size();
}

void IsolationClaim::refuse(bool isQuarantined)
{
    this->releaseAll();
    this->state = State::Ended;
    this->actions.emplace_back(IsolationRefused{isQuarantined});
}

void IsolationClaim::releaseAll()
{
    for (const std::string &entry : this->liveEntries)
        this->actions.emplace_back(SendIsolationRelease{entry, this->request.claimId});
}

std::vector<IsolationAction> IsolationClaim::takeActions()
{
    return std::exchange(this->actions, {});
}

} // namespace eelgrasslift
