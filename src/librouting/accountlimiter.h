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
    /// Requests per second that arrived, refused ones included, averaged over a few seconds.
    double demand = 0;
    /// Requests in flight, plus recently refused ones.
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
/// by gossip. A part shrinks at once and grows only after it was due for 3 s, the time that gossip takes, so
/// that two entries do not hold the same part.
///
/// Error bound, for n entries and a gossip delay of at most 3 s: over any interval T the entries together
/// admit at most rate * T + burst + n requests, since each entry may always hold one whole request. In
/// flight: at most concurrent + n. An entry that is not heard for 5 s keeps the part it held last, and so do
/// we for it: the sides of a partition together stay within the same bound, and no side can use the other's
/// part.
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
    std::vector<AccountUsage> usage(TimePoint now) const;

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

    /// A value that falls at once and rises only after it was due for the hold time.
    struct HeldValue
    {
        double value = 0;
        /// Lowest value that was due since pendingSince.
        double pending = 0;
        TimePoint pendingSince{};

        void update(double due, TimePoint now);
    };

    struct Account
    {
        AccountLimits limits;
        double demand = 0;
        TimePoint demandAt{};
        double refusedConcurrency = 0;
        uint32_t inFlight = 0;
        HeldValue ratePart;
        HeldValue concurrencyPart;
        double tokens = 0;
        TimePoint refilledAt{};
        TimePoint partsAt{};
        std::map<uint32_t, PeerDemand> peers;
    };

    struct Peer
    {
        std::string name;
        bool isListed = true;
        TimePoint heardAt{};
    };

    void decay(Account &account, TimePoint now) const;
    void refreshParts(Account &account, TimePoint now);
    void refill(Account &account, TimePoint now);
    double burstPart(const Account &account) const;
    bool isSilent(uint32_t peer, TimePoint now) const;

    std::map<std::string, Account, std::less<>> accounts;
    std::vector<Peer> peers;
    uint32_t listedPeers = 0;
};

} // namespace eelgrasslift
