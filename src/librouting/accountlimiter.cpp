#include "librouting/accountlimiter.h"

#include <algorithm>
#include <cmath>

namespace eelgrasslift {

namespace {

constexpr double DemandTimeConstantSeconds = 10;
// Relative change below which the advertised value stays: two standard deviations of the average of 3
// requests/s over 10 s.
constexpr double AdvertiseThreshold = 0.25;
// Gossip reaches 9 entries in about 1.5 s and 400 in about 4.5 s, entries of the same failure domain in half
// that time.
constexpr Duration WindowLength = std::chrono::seconds{3};
constexpr Duration PeerTimeout = std::chrono::seconds{5};
constexpr Duration RefreshInterval = std::chrono::milliseconds{200};
// Fraction of the unused limit that is divided equally, so that every entry can admit a first request; the
// remainder follows demand.
constexpr double EqualFraction = 0.5;
constexpr Duration MinRetryAfter = std::chrono::milliseconds{100};
constexpr Duration MaxRetryAfter = std::chrono::seconds{60};

/// Quota of an entry with `demand`, when `entryCount` entries with a total demand of `total` share `limit`.
double fairQuota(double limit, double demand, double total, double entryCount)
{
    if (total >= limit)
        return total > 0 ? limit * demand / total : 0;
    const double byDemand = total > 0 ? demand / total : 1 / entryCount;
    return demand + (limit - total) * (EqualFraction / entryCount + (1 - EqualFraction) * byDemand);
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
    if (now - this->windowStart >= WindowLength) {
        this->previous = this->current;
        this->current = value;
        this->windowStart = now;
    }
    this->current = std::min(this->current, value);
}

void AccountLimiter::AdvertisedUsage::update(double measured, TimePoint now)
{
    if (std::abs(measured - this->advertised) > AdvertiseThreshold * this->advertised)
        this->advertised = measured;
    this->recentMinimum.update(this->advertised, now);
}

void AccountLimiter::setAccount(std::string_view name, const AccountLimits &limits, TimePoint now)
{
    const auto [found, isNew] = this->accounts.try_emplace(std::string(name));
    Account &account = found->second;
    const bool isChanged = account.limits.rate != limits.rate ||
                           account.limits.concurrent != limits.concurrent ||
                           account.limits.burst != limits.burst;
    account.limits = limits;
    if (!isNew && !isChanged)
        return;
    const double entryCount = this->listedPeerCount + 1.0;
    if (isNew) {
        account.demandUpdatedAt = now;
        account.refilledAt = now;
        account.tokens = std::max(1.0, limits.burst / entryCount);
        account.peers.resize(this->peers.size());
    }
    account.rateQuota = limits.rate / entryCount;
    account.concurrencyQuota = limits.concurrent / entryCount;
    for (PeerDemand &peer : account.peers) {
        peer.rateQuota = static_cast<float>(limits.rate / entryCount);
        peer.concurrencyQuota = static_cast<float>(limits.concurrent / entryCount);
    }
    account.quotasRefreshedAt = now - RefreshInterval;
}

void AccountLimiter::removeAccount(std::string_view account)
{
    const auto found = this->accounts.find(account);
    if (found != this->accounts.end())
        this->accounts.erase(found);
}

void AccountLimiter::setPeers(std::span<const std::string> names, TimePoint now)
{
    const auto isListed = [&](const std::string &name) {
        return std::find(names.begin(), names.end(), name) != names.end();
    };
    for (Peer &peer : this->peers)
        peer.isListed = peer.isListed && isListed(peer.name);
    for (const std::string &name : names) {
        const auto existing = std::find_if(this->peers.begin(), this->peers.end(), [&](const Peer &peer) {
            return peer.isListed && peer.name == name;
        });
        if (existing != this->peers.end())
            continue;
        // Reuses the slot of an entry that is no longer listed, so that replaced VMs do not grow the
        // state.
        auto slot = std::find_if(this->peers.begin(), this->peers.end(),
                                 [](const Peer &peer) { return !peer.isListed; });
        if (slot == this->peers.end())
            slot = this->peers.insert(this->peers.end(), Peer{});
        *slot = {name, true, now};
        const auto index = static_cast<size_t>(slot - this->peers.begin());
        for (auto &[accountName, account] : this->accounts) {
            account.peers.resize(this->peers.size());
            account.peers[index] = {};
        }
    }
    this->listedPeerCount = static_cast<uint32_t>(names.size());
    const double entryCount = this->listedPeerCount + 1.0;
    for (auto &[name, account] : this->accounts) {
        for (PeerDemand &peer : account.peers) {
            if (peer.rateQuota == 0 && peer.demand == 0) {
                peer.rateQuota = static_cast<float>(account.limits.rate / entryCount);
                peer.concurrencyQuota = static_cast<float>(account.limits.concurrent / entryCount);
            }
        }
        account.quotasRefreshedAt = now - RefreshInterval;
    }
}

bool AccountLimiter::isStale(uint32_t peer, TimePoint now) const
{
    return now - this->peers[peer].lastContact > PeerTimeout;
}

void AccountLimiter::updateUsage(Account &account, TimePoint now) const
{
    account.demand *= std::exp(-toSeconds(now - account.demandUpdatedAt) / DemandTimeConstantSeconds);
    account.demandUpdatedAt = now;
    if (now - account.peakWindowStart >= WindowLength) {
        account.previousPeak = account.peak;
        account.peak = account.inFlight;
        account.peakWindowStart = now;
    }
    account.peak = std::max(account.peak, account.inFlight);
    account.demandUsage.update(account.demand, now);
    account.concurrencyUsage.update(std::max(account.peak, account.previousPeak), now);
}

void AccountLimiter::refreshQuotas(Account &account, TimePoint now)
{
    if (now - account.quotasRefreshedAt < RefreshInterval)
        return;
    account.quotasRefreshedAt = now;
    const double ownDemand = account.demandUsage.recentMinimum.value();
    const double ownConcurrency = account.concurrencyUsage.recentMinimum.value();
    double remainingRate = account.limits.rate;
    double remainingConcurrency = account.limits.concurrent;
    double totalDemand = ownDemand;
    double totalConcurrency = ownConcurrency;
    double entryCount = 1;
    for (uint32_t i = 0; i < account.peers.size(); ++i) {
        if (!this->peers[i].isListed)
            continue;
        const PeerDemand &peer = account.peers[i];
        if (this->isStale(i, now)) {
            remainingRate -= peer.rateQuota;
            remainingConcurrency -= peer.concurrencyQuota;
            continue;
        }
        totalDemand += peer.demand;
        totalConcurrency += peer.concurrency;
        ++entryCount;
    }
    remainingRate = std::max(remainingRate, 0.0);
    remainingConcurrency = std::max(remainingConcurrency, 0.0);
    account.rateQuota = fairQuota(remainingRate, ownDemand, totalDemand, entryCount);
    account.concurrencyQuota = fairQuota(remainingConcurrency, ownConcurrency, totalConcurrency, entryCount);
    for (uint32_t i = 0; i < account.peers.size(); ++i) {
        if (!this->peers[i].isListed || this->isStale(i, now))
            continue;
        PeerDemand &peer = account.peers[i];
        peer.rateQuota = static_cast<float>(fairQuota(remainingRate, peer.demand, totalDemand, entryCount));
        peer.concurrencyQuota = static_cast<float>(
                fairQuota(remainingConcurrency, peer.concurrency, totalConcurrency, entryCount));
    }
}

double AccountLimiter::burstQuota(const Account &account) const
{
    const double share = account.limits.rate > 0 ? account.rateQuota / account.limits.rate : 0;
    return std::max(1.0, account.limits.burst * share);
}

void AccountLimiter::refill(Account &account, double previousQuota, TimePoint now)
{
    // The quota may have changed at any time since the last refill; the smaller of the two never over-admits.
    const double rate = std::min(previousQuota, account.rateQuota);
    const double gained = toSeconds(now - account.refilledAt) * rate;
    account.tokens = std::min(account.tokens + gained, this->burstQuota(account));
    account.refilledAt = now;
}

Result<Admitted, LimitRefused> AccountLimiter::admit(std::string_view name, TimePoint now)
{
    const auto found = this->accounts.find(name);
    if (found == this->accounts.end())
        return LimitRefused{LimitRefused::Reason::UnknownAccount, Duration{0}};
    Account &account = found->second;
    const double previousQuota = account.rateQuota;
    account.demand += 1 / DemandTimeConstantSeconds;
    this->updateUsage(account, now);
    this->refreshQuotas(account, now);
    this->refill(account, previousQuota, now);

    const auto allowed = static_cast<uint32_t>(std::max(1.0, std::floor(account.concurrencyQuota + 1e-6)));
    if (account.inFlight >= std::min(allowed, account.limits.concurrent))
        return LimitRefused{LimitRefused::Reason::Concurrency, std::chrono::seconds{1}};
    if (account.tokens < 1) {
        const double rate = std::max(account.rateQuota, 0.01);
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
    const auto found = this->accounts.find(name);
    if (found == this->accounts.end() || found->second.inFlight == 0)
        return;
    this->updateUsage(found->second, now);
    --found->second.inFlight;
}

std::vector<AccountUsage> AccountLimiter::usage(TimePoint now)
{
    std::vector<AccountUsage> list;
    for (auto &[name, account] : this->accounts) {
        this->updateUsage(account, now);
        // Less than one request per 100 s does not change any entry's quota noticeably.
        if (account.demandUsage.advertised > 0.01 || account.concurrencyUsage.advertised > 0)
            list.push_back({name, account.demandUsage.advertised, account.concurrencyUsage.advertised});
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
    peer->lastContact = now;
    const auto index = static_cast<size_t>(peer - this->peers.begin());
    for (auto &[name, account] : this->accounts) {
        account.peers[index].demand = 0;
        account.peers[index].concurrency = 0;
    }
    for (const AccountUsage &item : usage) {
        const auto account = this->accounts.find(item.account);
        if (account == this->accounts.end())
            continue;
        account->second.peers[index].demand = static_cast<float>(item.demand);
        account->second.peers[index].concurrency = static_cast<float>(item.concurrency);
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
