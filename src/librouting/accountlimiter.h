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

struct AccountLimits
{
    /// Requests per second over all entries together.
    double rate = 10;
    double burst = 20;
    /// Most requests in flight over all entries together.
    uint32_t concurrent = 100;
};

/// What one entry tells the others about one account.
struct AccountUsage
{
    std::string account;
    /// Requests per second that arrived, refused ones included, averaged over 10 s.
    double demand = 0;
    /// Most requests in flight in the last seconds.
    double concurrency = 0;
};

struct LimitRefused
{
    enum class Reason { UnknownAccount, Rate, Concurrency };

    Reason reason = Reason::Rate;
    Duration retryAfter{0};
};

std::string_view toString(LimitRefused::Reason reason);

struct Admitted
{};

/// Holds each account to a rate and a concurrency over all entries without a call per request.
///
/// Each entry owns a part of the account's limit: its own recent demand plus a part of what nobody uses, or
/// its share of the demand when the account asks for more than its limit. Entries learn each other's demand
/// by gossip. An entry computes its own part from the smallest demand that it has told its peers in the last
/// 3 s, so that it grows only once they know of it, and shrinks at once. Small changes are not told, so that
/// chance does not move the parts.
///
/// Error bound, for n entries and a gossip delay of at most 3 s: over any interval T the entries together
/// admit at most rate * T + burst + n requests, since each entry may always hold one whole request; in flight
/// are at most concurrent + n. The price is use: an account whose traffic moves to other entries is held
/// below its limit for some seconds.
///
/// An entry that is not heard for 5 s keeps the part it held last, and so do we for it: the sides of a
/// partition together stay within the same bound, and no side can use the other's part. An entry that has
/// just started assumes rate / n until it hears its peers, which adds up to rate / n for the first seconds.
class AccountLimiter
{
public:
    void setAccount(std::string_view account, const AccountLimits &limits, TimePoint now);
    void removeAccount(std::string_view account);

    /// The other live entries by the VM list. The part of an entry that is no longer listed is shared out.
    void setPeers(std::span<const std::string> peers, TimePoint now);

    Result<Admitted, LimitRefused> admit(std::string_view account, TimePoint now);

    /// Ends a request that was admitted.
    void release(std::string_view account, TimePoint now);

    /// Own usage for gossip: accounts with any recent demand.
    std::vector<AccountUsage> usage(TimePoint now);

    /// Usage of one peer as it arrived by gossip; accounts that are missing have no demand there.
    void applyPeerUsage(std::string_view peer, std::span<const AccountUsage> usage, TimePoint now);

    size_t byteSize() const;

private:
    struct PeerDemand
    {
        float demand = 0;
        float concurrency = 0;
        /// Parts that the peer held when it was last heard.
        float ratePart = 0;
        float concurrencyPart = 0;
    };

    /// Smallest value of the last 3 to 6 s (two windows of 3 s).
    class RecentMinimum
    {
    public:
        void update(double value, TimePoint now);
        double value() const { return this->previous < this->current ? this->previous : this->current; }

    private:
        double previous = 0;
        double current = 0;
        TimePoint since{};
    };

    /// What this entry claims of a limit: the value that it tells its peers, and the smallest value that
    /// any of them can still know, on which it relies itself.
    struct Claim
    {
        double told = 0;
        RecentMinimum known;

        void update(double wanted, TimePoint now);
    };

    struct Account
    {
        AccountLimits limits;
        double demand = 0;
        TimePoint demandAt{};
        uint32_t inFlight = 0;
        /// Most requests in flight in the previous and the present window of 3 s.
        uint32_t previousPeak = 0;
        uint32_t peak = 0;
        TimePoint peakSince{};
        Claim rateClaim;
        Claim concurrencyClaim;
        double ratePart = 0;
        double concurrencyPart = 0;
        double tokens = 0;
        TimePoint refilledAt{};
        TimePoint partsAt{};
        /// By index in AccountLimiter::peers.
        std::vector<PeerDemand> peers;
    };

    struct Peer
    {
        std::string name;
        bool isListed = true;
        TimePoint heardAt{};
    };

    void updateClaims(Account &account, TimePoint now) const;
    void refreshParts(Account &account, TimePoint now);
    void refill(Account &account, double previousPart, TimePoint now);
    double burstPart(const Account &account) const;
    bool isSilent(uint32_t peer, TimePoint now) const;

    std::map<std::string, Account, std::less<>> accounts;
    std::vector<Peer> peers;
    uint32_t listedPeers = 0;
};

} // namespace eelgrasslift
