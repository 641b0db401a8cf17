#pragma once

#include "libserving/instant.h"
#include "libserving/records.h"

#include <map>
#include <set>
#include <variant>
#include <vector>

namespace eelgrasslift {

struct ClaimSettings
{
    /// Maximum time to collect grants before the claim is released.
    Duration claimTimeout = std::chrono::seconds{1};
    /// Maximum time from the start to wait for the outcome of another claim on the same key: the service
    /// timeout.
    Duration outcomeTimeout = std::chrono::seconds{5};
    /// Messages without a sufficient reply are sent again after this time.
    Duration resendInterval = std::chrono::milliseconds{100};
    /// Time after which an outcome is no longer sent again, even if no majority has confirmed it.
    Duration resolveTimeout = std::chrono::seconds{10};
};

// Actions: messages to the replicas, whose replies are to be passed to handle(), and results.

/// Send a claim to the replica in a slot.
struct SendClaim
{
    SlotId slot;
    ClaimRequest request;
};

/// Send a lookup to the replica in a slot.
struct SendLookup
{
    SlotId slot;
    LookupRequest request;
};

/// Send an outcome to the replica in a slot.
struct SendResolve
{
    SlotId slot;
    ResolveRequest request;
};

/// A majority of each group has granted the claim: the request may be sent to a target, once.
struct ClaimGranted
{};

/// Why a claim was refused.
enum class ClaimRefusal {
    /// No majority granted the claim, and no request with this key has run so far.
    NotRun,
    /// The request of another claim ran. Its record contains the response.
    Ran,
    /// The request of another claim may have run: its outcome was stored as unknown, or was not stored in
    /// time.
    Unknown,
    /// Too few replicas replied to decide whether an earlier request with this key ran.
    RecordsUnreachable,
    /// The key was claimed by a request with another body.
    BodyMismatch
};

/// The request must not be sent and was not sent.
struct ClaimRefused
{
    ClaimRefusal reason = ClaimRefusal::NotRun;
    /// Record of the other claim; only for ClaimRefusal::Ran.
    std::optional<Record> record;
};

/// The claim sends no further messages and may be destroyed.
struct ClaimFinished
{};

using ClaimAction =
        std::variant<SendClaim, SendLookup, SendResolve, ClaimGranted, ClaimRefused, ClaimFinished>;

/// The kind of message that a replica replies to.
enum class RecordCall { Claim, Lookup, Resolve };

/// Event: a replica has replied to a message. Lost replies need no event.
struct ReplicaReplied
{
    SlotId slot;
    RecordCall call = RecordCall::Claim;
    RecordReply reply;
};

/// Coordinates one claim on an idempotency key, in the entry that received the request.
///
/// Collects grants from a majority of the configured slots of every group. If another claim holds the key,
/// this one is released and waits for the outcome of the other. If the other was released too, this one
/// claims the key again in a new round with a new claim id, so that late replies to an earlier round are not
/// counted.
///
/// Performs no I/O: the functions return the actions that the owner has to perform, in order.
class IdempotencyClaim
{
public:
    /// groups: all groups that own records of the account, see ownerGroups().
    IdempotencyClaim(ClaimRequest request, std::vector<OwnerGroup> groups, ClaimSettings settings);

    /// Sends the first claims. Further calls have no effect.
    std::vector<ClaimAction> start(const Instant &instant);
    /// Handles a reply of a replica.
    std::vector<ClaimAction> handle(const ReplicaReplied &event, const Instant &instant);
    /// Sends what is due again and checks timeouts; to be called at nextTick().
    std::vector<ClaimAction> tick(const Instant &instant);

    /// Stores the outcome of the granted claim at a majority of each group. To be called once, after
    /// ClaimGranted; has no effect otherwise. status, contentType and response are those of the HTTP
    /// response, if there is one.
    std::vector<ClaimAction> resolve(RecordState outcome, uint32_t status, std::string contentType,
                                     std::string response, const Instant &instant);

    /// Whether the claim is granted and resolve() was not called yet.
    bool isGranted() const { return this->state == State::Granted; }
    /// Whether ClaimFinished was returned.
    bool isFinished() const { return this->isFinishReported; }
    /// Time of the next tick(); empty if there is nothing to send or to wait for.
    std::optional<TimePoint> nextTick() const;

private:
    enum class State { Idle, Claiming, Granted, WaitingForOther, Ended };

    /// Last reply of the current process of a slot to a claim or lookup.
    struct SlotReply
    {
        uint64_t incarnation = 0;
        RecordVerdict verdict = RecordVerdict::Abstain;
        std::optional<Record> record;
    };
    /// An outcome that is sent until a majority of each group has confirmed it.
    struct RecordUpdate
    {
        Record record;
        std::set<SlotId> confirmed;
        TimePoint until;
    };

    void claimReplied(const ReplicaReplied &event, const Instant &instant);
    void lookupReplied(const ReplicaReplied &event, const Instant &instant);
    void resolveReplied(const ReplicaReplied &event);
    bool storeReply(const ReplicaReplied &event);
    void updateIncarnations(const RecordReply &reply);
    void evaluateClaim(const Instant &instant, bool isTick);
    void evaluateWait(const Instant &instant);
    bool refuseByRecord(const Instant &instant);
    void abandonClaim(const Instant &instant);
    void beginClaim(const Instant &instant);
    void beginWait(const Instant &instant);
    void release(const Instant &instant);
    void refuse(ClaimRefusal reason, std::optional<Record> record = std::nullopt);
    Record ownRecord(RecordState outcome) const;
    void sendUpdate(Record record, const Instant &instant);
    void sendDueMessages(const Instant &instant);
    void sendRequests();
    template <typename Predicate>
    bool everyGroupHas(uint32_t (*needed)(uint32_t), Predicate predicate) const;
    bool isMajorityHeldByOther() const;
    const Record *competingClaim() const;
    std::vector<ClaimAction> takeActions();

    ClaimRequest request;
    std::string baseClaimId;
    uint32_t round = 0;
    std::vector<OwnerGroup> groups;
    ClaimSettings settings;
    State state = State::Idle;
    bool isFinishReported = false;
    std::set<SlotId> slots;
    std::map<SlotId, SlotReply> latestReplies;
    std::map<SlotId, uint64_t> newestIncarnations;
    std::vector<RecordUpdate> pendingUpdates;
    std::optional<Record> awaitedClaim;
    WallTime claimedAt{};
    TimePoint claimDeadline;
    TimePoint outcomeDeadline;
    TimePoint resendAt;
    std::vector<ClaimAction> actions;
};

/// Returns the groups that own the records of an account's requests to a service: the fleet, or the owner
/// domain and, while the account moves, its previous domain.
///
/// liveSlots(domain) returns the slots of a failure domain that have a live process.
template <typename LiveSlots>
std::vector<OwnerGroup> ownerGroups(const RuleSet &rules, const AccountRule &account,
                                    std::string_view service, uint32_t entriesPerDomain,
                                    LiveSlots &&liveSlots)
{
    const auto rule = rules.services.find(service);
    if (rule != rules.services.end() && rule->second.records == RecordScope::Fleet) {
        OwnerGroup fleet{"fleet", entriesPerDomain * static_cast<uint32_t>(rules.domains.size()), {}};
        for (const auto &domain : rules.domains) {
            const std::vector<SlotId> slots = liveSlots(domain.first);
            fleet.slots.insert(fleet.slots.end(), slots.begin(), slots.end());
        }
        return {std::move(fleet)};
    }
    const std::string owner = rules.ownerDomain(account);
    std::vector<OwnerGroup> groups{{owner, entriesPerDomain, liveSlots(owner)}};
    if (!account.previousDomain.empty() && account.previousDomain != owner)
        groups.push_back({account.previousDomain, entriesPerDomain, liveSlots(account.previousDomain)});
    return groups;
}

} // namespace eelgrasslift
