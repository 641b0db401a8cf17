#pragma once

#include "libcore/result.h"
#include "libcore/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasslift {

/// Limits of one client account. They hold for all entries together.
struct AccountLimits
{
    /// Sustained requests per second.
    double rate = 10;
    /// Requests that may arrive at once after an idle period (capacity of the token bucket).
    double burst = 20;
    /// Maximum requests in flight.
    uint32_t concurrent = 100;
};

/// Recent usage of one account at one entry, which entries exchange by gossip.
struct AccountUsage
{
    std::string account;
    /// Requests per second that arrived, refused ones included, averaged over 10 s.
    double demand = 0;
    /// Peak number of requests in flight during the last 3 to 6 s.
    double concurrency = 0;
};

/// Refusal of a request by AccountLimiter.
struct LimitRefused
{
    enum class Reason { UnknownAccount, Rate, Concurrency };

    Reason reason = Reason::Rate;
    /// Time after which a retry may be admitted; 0 for an unknown account.
    Duration retryAfter{0};
};

/// Stable name for logs, metrics and error documents.
std::string_view toString(LimitRefused::Reason reason);

/// Success value of AccountLimiter::admit().
struct Admitted
{};

/// Enforces the rate and concurrency limits of each account over all entries without a remote call per
/// request.
///
/// Each entry holds a quota of the account's limit: its own recent demand plus a share of the unused limit,
/// or, when the account demands more than its limit, a share in proportion to its demand. Entries learn each
/// other's demand by gossip. An entry computes its own quota from the smallest demand that it has advertised
/// in the last 3 s, so that the quota grows only after the peers have received the demand, and shrinks at
/// once.
/// Small changes of demand are not advertised, so that random fluctuation does not move the quotas.
///
/// Error bound, for n entries and a gossip delay of at most 3 s: over any interval T the entries together
/// admit at most rate * T + burst + n requests, since each entry may always hold one whole request; at most
/// concurrent + n requests are in flight. The cost is utilization: an account whose traffic moves to other
/// entries stays below its limit for some seconds.
///
/// When no gossip has arrived from a peer for 5 s, its last quota stays reserved for it, and the peer keeps
/// that quota as well. Both sides of a network partition together therefore stay within the same bound, and
/// neither side can use the other's quota. An entry that has just started assumes rate / n until it receives
/// gossip, so that the quotas add up to the limit in the first seconds.
///
/// Single-threaded. The caller passes the time, which must not go backwards.
class AccountLimiter
{
public:
    /// Adds an account or changes its limits. A new or changed limit is divided equally until the next
    /// request, which recomputes the quotas from the demand.
    void setAccount(std::string_view account, const AccountLimits &limits, TimePoint now);

    /// Removes an account; admit() refuses its requests from then on.
    void removeAccount(std::string_view account);

    /// Sets the other live entries. The quota of an entry that is no longer listed is distributed among the
    /// others.
    void setPeers(std::span<const std::string> peers, TimePoint now);

    /// Counts an arriving request as demand, and admits it if the entry's quota allows. Every admitted
    /// request must be ended by release().
    Result<Admitted, LimitRefused> admit(std::string_view account, TimePoint now);

    /// Ends an admitted request.
    void release(std::string_view account, TimePoint now);

    /// This entry's usage for gossip. Accounts without recent demand are left out.
    std::vector<AccountUsage> usage(TimePoint now);

    /// Replaces the known usage of one peer by what its gossip contains; an account that is missing there has
    /// no demand at the peer. Ignored when the peer is not listed.
    void applyPeerUsage(std::string_view peer, std::span<const AccountUsage> usage, TimePoint now);

    /// Approximate memory use in bytes.
    size_t byteSize() const;

private:
    /// One account at one peer.
    struct PeerDemand
    {
        float demand = 0;
        float concurrency = 0;
        /// Quotas of the peer by its last gossip; they stay reserved for it while it is stale.
        float rateQuota = 0;
        float concurrencyQuota = 0;
    };

    /// Minimum of a value over the last 3 to 6 s (two windows of 3 s).
    class RecentMinimum
    {
    public:
        void update(double value, TimePoint now);
        double value() const { return this->previous < this->current ? this->previous : this->current; }

    private:
        double previous = 0;
        double current = 0;
        TimePoint windowStart{};
    };

    /// Usage that this entry advertises to its peers. Its own quota is computed from the recent minimum, the
    /// smallest value that any peer may still work with.
    struct AdvertisedUsage
    {
        double advertised = 0;
        RecentMinimum recentMinimum;

        void update(double measured, TimePoint now);
    };

    struct Account
    {
        AccountLimits limits;
        double demand = 0;
        TimePoint demandUpdatedAt{};
        uint32_t inFlight = 0;
        /// Peak number of requests in flight in the previous and the current window of 3 s.
        uint32_t previousPeak = 0;
        uint32_t peak = 0;
        TimePoint peakWindowStart{};
        AdvertisedUsage demandUsage;
        AdvertisedUsage concurrencyUsage;
        double rateQuota = 0;
        double concurrencyQuota = 0;
        double tokens = 0;
        TimePoint refilledAt{};
        TimePoint quotasRefreshedAt{};
        /// Same indices as AccountLimiter::peers.
        std::vector<PeerDemand> peers;
    };

    struct Peer
    {
        std::string name;
        bool isListed = true;
        TimePoint lastContact{};
    };

    void updateUsage(Account &account, TimePoint now) const;
    void refreshQuotas(Account &account, TimePoint now);
    void refill(Account &account, double previousQuota, TimePoint now);
    double burstQuota(const Account &account) const;
    bool isStale(uint32_t peer, TimePoint now) const;

    std::map<std::string, Account, std::less<>> accounts;
    std::vector<Peer> peers;
    uint32_t listedPeerCount = 0;
};

} // namespace eelgrasslift
