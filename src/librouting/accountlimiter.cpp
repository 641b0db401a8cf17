#include "librouting/accountlimiter.h"

#include <algorithm>
#include <cmath>

namespace eelgrasslift {

namespace {

constexpr double DemandTimeConstantSeconds = 10;
// Two standard deviations of the average of 3 requests/s over 10 s.
constexpr double ClaimBand = 0.25;
// Gossip of section 5.5 reaches 9 entries in about 1.5 s and 400 in about 4.5 s; the domain's own in half
// that.
constexpr Duration HoldTime = std::chrono::seconds{3};
constexpr Duration SilentAfter = std::chrono::seconds{5};
constexpr Duration RefreshInterval = std::chrono::milliseconds{200};
// Half of the unused limit goes to all entries alike, so that a first request finds room anywhere; the other
// half follows demand.
constexpr double EqualShare = 0.5;
constexpr Duration MinRetryAfter = std::chrono::milliseconds{100};
constexpr Duration MaxRetryAfter = std::chrono::seconds{60};

/// The part of `limit` that is due to an entry with `demand` among `entries` whose demand sums up to `total`.
double partDue(double limit, double demand, double total, double entries)
{
    if (total >= limit)
        return total > 0 ? limit * demand / total : 0;
    const double byDemand = total > 0 ? demand / total : 1 / entries;
    return demand + (limit - total) * (EqualShare / entries + (1 - EqualShare) * byDemand);
}

} // namespace

std::string_view toString(LimitRefused::Reason reason)
{
    switch (reason) {
    case LimitRefused::Reason::UnknownAccount:
        return "unknown-account";
    case LimitRefused::Reason::Rate:
        return "rate";
    case LimitRefused::Reason::Concurrency:
        return "concurrency";
    }
    return "unknown";
}

void AccountLimiter::RecentMinimum::update(double value, TimePoint now)
{
    if (now - this->since >= HoldTime) {
        this->previous = this->current;
        this->current = value;
        this->since = now;
    }
    this->current = std::min(this->current, value);
}

void AccountLimiter::Claim::update(double wanted, TimePoint now)
{
    if (std::abs(wanted - this->told) > ClaimBand * this->told)
        this->told = wanted;
    this->known.update(this->told, now);
}

void AccountLimiter::setAccount(std::string_view name, const AccountLimits &limits, TimePoint now)
{
    const auto [entry, isNew] = this->accounts.try_emplace(std::string(name));
    Account &account = entry->second;
    const bool isChanged = account.limits.rate != limits.rate ||
                           account.limits.concurrent != limits.concurrent ||
                           account.limits.burst != limits.burst;
    account.limits = limits;
    if (!isNew && !isChanged)
        return;
    const double entries = this->listedPeers + 1.0;
    if (isNew) {
        account.demandAt = now;
        account.refilledAt = now;
        account.tokens = std::max(1.0, limits.burst / entries);
        account.peers.resize(this->peers.size());
    }
    account.ratePart = limits.rate / entries;
    account.concurrencyPart = limits.concurrent / entries;
    for (PeerDemand &peer : account.peers) {
        peer.ratePart = static_cast<float>(limits.rate / entries);
        peer.concurrencyPart = static_cast<float>(limits.concurrent / entries);
    }
    account.partsAt = now - RefreshInterval;
}

void AccountLimiter::removeAccount(std::string_view account)
{
    const auto entry = this->accounts.find(account);
    if (entry != this->accounts.end())
        this->accounts.erase(entry);
}

void AccountLimiter::setPeers(std::span<const std::string> names, TimePoint now)
{
    const auto isListed = [&](const std::string &name) {
        return std::find(names.begin(), names.end(), name) != names.end();
    };
    for (Peer &peer : this->peers)
        peer.isListed = peer.isListed && isListed(peer.name);
    for (const std::string &name : names) {
        const auto known = std::find_if(this->peers.begin(), this->peers.end(),
                                        [&](const Peer &peer) { return peer.isListed && peer.name == name; });
        if (known != this->peers.end())
            continue;
        // The place of an entry that has gone is reused, so that replaced VMs do not grow the state.
        auto place = std::find_if(this->peers.begin(), this->peers.end(),
                                  [](const Peer &peer) { return !peer.isListed; });
        if (place == this->peers.end())
            place = this->peers.insert(this->peers.end(), Peer{});
        *place = {name, true, now};
        const auto index = static_cast<size_t>(place - this->peers.begin());
        for (auto &[accountName, account] : this->accounts) {
            account.peers.resize(this->peers.size());
            account.peers[index] = {};
        }
    }
    this->listedPeers = static_cast<uint32_t>(names.size());
    const double entries = this->listedPeers + 1.0;
    for (auto &[name, account] : this->accounts) {
        for (PeerDemand &peer : account.peers) {
            if (peer.ratePart == 0 && peer.demand == 0) {
                peer.ratePart = static_cast<float>(account.limits.rate / entries);
                peer.concurrencyPart = static_cast<float>(account.limits.concurrent / entries);
            }
        }
        account.partsAt = now - RefreshInterval;
    }
}

bool AccountLimiter::isSilent(uint32_t peer, TimePoint now) const
{
    return now - this->peers[peer].heardAt > SilentAfter;
}

void AccountLimiter::updateClaims(Account &account, TimePoint now) const
{
    account.demand *= std::exp(-toSeconds(now - account.demandAt) / DemandTimeConstantSeconds);
    account.demandAt = now;
    if (now - account.peakSince >= HoldTime) {
        account.previousPeak = account.peak;
        account.peak = account.inFlight;
        account.peakSince = now;
    }
    account.peak = std::max(account.peak, account.inFlight);
    account.rateClaim.update(account.demand, now);
    account.concurrencyClaim.update(std::max(account.peak, account.previousPeak), now);
}

void AccountLimiter::refreshParts(Account &account, TimePoint now)
{
    if (now - account.partsAt < RefreshInterval)
        return;
    account.partsAt = now;
    const double ownDemand = account.rateClaim.known.value();
    const double ownConcurrency = account.concurrencyClaim.known.value();
    double rateLeft = account.limits.rate;
    double concurrencyLeft = account.limits.concurrent;
    double totalDemand = ownDemand;
    double totalConcurrency = ownConcurrency;
    double entries = 1;
    for (uint32_t i = 0; i < account.peers.size(); ++i) {
        if (!this->peers[i].isListed)
            continue;
        const PeerDemand &peer = account.peers[i];
        if (this->isSilent(i, now)) {
            rateLeft -= peer.ratePart;
            concurrencyLeft -= peer.concurrencyPart;
            continue;
        }
        totalDemand += peer.demand;
        totalConcurrency += peer.concurrency;
        ++entries;
    }
    rateLeft = std::max(rateLeft, 0.0);
    concurrencyLeft = std::max(concurrencyLeft, 0.0);
    account.ratePart = partDue(rateLeft, ownDemand, totalDemand, entries);
    account.concurrencyPart = partDue(concurrencyLeft, ownConcurrency, totalConcurrency, entries);
    for (uint32_t i = 0; i < account.peers.size(); ++i) {
        if (!this->peers[i].isListed || this->isSilent(i, now))
            continue;
        PeerDemand &peer = account.peers[i];
        peer.ratePart = static_cast<float>(partDue(rateLeft, peer.demand, totalDemand, entries));
        peer.concurrencyPart =
                static_cast<float>(partDue(concurrencyLeft, peer.concurrency, totalConcurrency, entries));
    }
}

double AccountLimiter::burstPart(const Account &account) const
{
    const double share = account.limits.rate > 0 ? account.ratePart / account.limits.rate : 0;
    return std::max(1.0, account.limits.burst * share);
}

void AccountLimiter::refill(Account &account, double previousPart, TimePoint now)
{
    // The part may have changed at any time since the last refill; the smaller one is safe.
    const double rate = std::min(previousPart, account.ratePart);
    const double gained = toSeconds(now - account.refilledAt) * rate;
    account.tokens = std::min(account.tokens + gained, this->burstPart(account));
    account.refilledAt = now;
}

Result<Admitted, LimitRefused> AccountLimiter::admit(std::string_view name, TimePoint now)
{
    const auto entry = this->accounts.find(name);
    if (entry == this->accounts.end())
        return LimitRefused{LimitRefused::Reason::UnknownAccount, Duration{0}};
    Account &account = entry->second;
    const double previousPart = account.ratePart;
    account.demand += 1 / DemandTimeConstantSeconds;
    this->updateClaims(account, now);
    this->refreshParts(account, now);
    this->refill(account, previousPart, now);

    const auto allowed = static_cast<uint32_t>(std::max(1.0, std::floor(account.concurrencyPart + 1e-6)));
    if (account.inFlight >= std::min(allowed, account.limits.concurrent))
        return LimitRefused{LimitRefused::Reason::Concurrency, std::chrono::seconds{1}};
    if (account.tokens < 1) {
        const double rate = std::max(account.ratePart, 0.01);
        const Duration wait = fromSeconds((1 - account.tokens) / rate);
        return LimitRefused{LimitRefused::Reason::Rate,
                            std::clamp<Duration>(wait, MinRetryAfter, MaxRetryAfter)};
    }
    account.tokens -= 1;
    ++account.inFlight;
    return Admitted{};
}

void AccountLimiter::release(std::string_view name, TimePoint now)
{
    const auto entry = this->accounts.find(name);
    if (entry == this->accounts.end() || entry->second.inFlight == 0)
        return;
    this->updateClaims(entry->second, now);
    --entry->second.inFlight;
}

std::vector<AccountUsage> AccountLimiter::usage(TimePoint now)
{
    std::vector<AccountUsage> list;
    for (auto &[name, account] : this->accounts) {
        this->updateClaims(account, now);
        // Less than one request per 100 s does not move any entry's part.
        if (account.rateClaim.told > 0.01 || account.concurrencyClaim.told > 0)
            list.push_back({name, account.rateClaim.told, account.concurrencyClaim.told});
    }
    return list;
}

void AccountLimiter::applyPeerUsage(std::string_view peerName, std::span<const AccountUsage> usage,
                                    TimePoint now)
{
    const auto peer = std::find_if(this->peers.begin(), this->peers.end(), [&](const Peer &candidate) {
        return candidate.isListed && candidate.name == peerName;
    });
    if (peer == this->peers.end())
        return;
    peer->heardAt = now;
    const auto index = static_cast<size_t>(peer - this->peers.begin());
    for (auto &[name, account] : this->accounts) {
        account.peers[index].demand = 0;
        account.peers[index].concurrency = 0;
    }
    for (const AccountUsage &entry : usage) {
        const auto account = this->accounts.find(entry.account);
        if (account == this->accounts.end())
            continue;
        account->second.peers[index].demand = static_cast<float>(entry.demand);
        account->second.peers[index].concurrency = static_cast<float>(entry.concurrency);
    }
}

size_t AccountLimiter::byteSize() const
{
    size_t bytes = sizeof(*this) + this->peers.size() * sizeof(Peer);
    for (const auto &[name, account] : this->accounts)
        bytes += sizeof(std::string) + sizeof(account) + 4 * sizeof(void *) +
                 account.peers.capacity() * sizeof(PeerDemand);
    return bytes;
}

} // namespace eelgrasslift
