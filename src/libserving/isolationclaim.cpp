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
    this->state = State::Asking;
    this->deadline = instant.now + this->settings.timeout;
    this->liveEntries.insert(this->ownerEntries.begin(), this->ownerEntries.end());
    if (this->ownerEntries.size() < majorityOf(this->ownerSize))
        this->refuse(false);
    else
        this->ask(instant);
    return this->takeActions();
}

std::vector<IsolationAction> IsolationClaim::handleReply(const std::string &entry, IsolationVerdict verdict,
                                                         const Instant &instant)
{
    const bool isAwaited = this->state == State::Asking || this->state == State::Granted;
    if (!isAwaited || this->liveEntries.count(entry) == 0)
        return {};
    if (verdict == IsolationVerdict::Quarantined && this->state == State::Asking) {
        this->refuse(true);
        return this->takeActions();
    }
    if (verdict == IsolationVerdict::Granted)
        this->grantedAt[entry] = instant.now;
    const bool isReserved = verdict == IsolationVerdict::Granted || verdict == IsolationVerdict::Busy;
    if (isReserved && !this->isFirstReserved && entry == *this->liveEntries.begin()) {
        this->isFirstReserved = true;
        this->ask(instant);
    }
    if (this->state == State::Asking && this->isGrantedByAll()) {
        this->state = State::Granted;
        this->nextSend = instant.now + this->settings.renewInterval;
        this->actions.emplace_back(IsolationGranted{});
    }
    return this->takeActions();
}

std::vector<IsolationAction> IsolationClaim::tick(const Instant &instant)
{
    if (this->state == State::Asking && instant.now >= this->deadline)
        this->refuse(false);
    const bool isAwaited = this->state == State::Asking || this->state == State::Granted;
    if (isAwaited && instant.now >= this->nextSend)
        this->ask(instant);
    if (this->state != State::Granted || this->isLost)
        return this->takeActions();
    for (const auto &item : this->grantedAt) {
        if (instant.now - item.second < this->settings.isolationLimit)
            continue;
        this->isLost = true;
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
    if (this->state == State::Asking)
        return std::min(this->nextSend, this->deadline);
    return this->state == State::Granted ? std::optional{this->nextSend} : std::nullopt;
}

void IsolationClaim::ask(const Instant &instant)
{
    const bool isRenewal = this->state == State::Granted;
    this->nextSend = instant.now + (isRenewal ? this->settings.renewInterval : this->settings.resendInterval);
    for (const std::string &entry : this->liveEntries) {
        this->actions.emplace_back(SendIsolationRequest{entry, this->request});
        if (!this->isFirstReserved)
            break;
    }
}

/// Grants are gathered within the timeout, which is shorter than the lease, so none has ended meanwhile.
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
