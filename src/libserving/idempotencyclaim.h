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
    /// Longest time to gather grants before the claim is released.
    Duration claimTimeout = std::chrono::seconds{1};
    /// Longest wait for the outcome of another claim on the same key: the service's timeout.
    Duration outcomeTimeout = std::chrono::seconds{5};
    /// Unanswered messages are sent again after this time.
    Duration resendInterval = std::chrono::milliseconds{100};
    /// After this time an outcome that no majority has confirmed is no longer sent again.
    Duration resolveTimeout = std::chrono::seconds{10};
};

struct SendClaim
{
    SlotId slot;
    ClaimRequest request;
};

struct SendLookup
{
    SlotId slot;
    LookupRequest request;
};

struct SendResolve
{
    SlotId slot;
    ResolveRequest request;
};

/// A majority of each group holds the claim: the request may be sent, once.
struct ClaimGranted
{};

enum class ClaimRefusal {
    /// No request with this key has run until now, and this one was not sent.
    NotRun,
    /// Another claim ran; its record has the answer.
    Ran,
    /// Another claim may have run: its entry is silent, or recorded the outcome as unknown.
    Unknown,
    /// Too few records could be read to tell whether an earlier request with this key ran. This request was
    /// not sent.
    RecordsUnreachable,
    BodyMismatch
};

struct ClaimRefused
{
    ClaimRefusal reason = ClaimRefusal::NotRun;
    std::optional<Record> record;
};

/// Nothing more will be sent for this claim.
struct ClaimFinished
{};

using ClaimAction =
        std::variant<SendClaim, SendLookup, SendResolve, ClaimGranted, ClaimRefused, ClaimFinished>;

enum class RecordCall { Claim, Lookup, Resolve };

/// A reply to one of the messages above. Lost replies need no event.
struct ReplicaReplied
{
    SlotId slot;
    RecordCall call = RecordCall::Claim;
    RecordReply reply;
};

/// Coordinator of one claim, in the entry that received the request.
///
/// Gathers grants from a majority of the configured slots of every group. If another claim holds the key,
/// this one is released and waits for the other's outcome; when the other one was released too, it claims
/// again under a new claim id, so that late messages of the first round cannot count for the second.
class IdempotencyClaim
{
public:
    IdempotencyClaim(ClaimRequest request, std::vector<OwnerGroup> groups, ClaimSettings settings);

    std::vector<ClaimAction> start(const Instant &instant);
    std::vector<ClaimAction> handle(const ReplicaReplied &event, const Instant &instant);
    std::vector<ClaimAction> tick(const Instant &instant);

    /// Records the outcome of the granted claim at a majority. Only after ClaimGranted, once.
    std::vector<ClaimAction> resolve(RecordState outcome, uint32_t status, std::string contentType,
                                     std::string answer, const Instant &instant);

    /// Gives up a claim that was not granted yet.
    std::vector<ClaimAction> abandon(const Instant &instant);

    bool isGranted() const { return this->state == State::Granted; }
    bool isFinished() const { return this->isFinishedSent; }
    std::optional<TimePoint> nextTick() const;

private:
    enum class State { Idle, Claiming, Granted, WaitingForOther, Ended };

    /// What a slot's current process last said about the key.
    struct View
    {
        uint64_t incarnation = 0;
        RecordVerdict verdict = RecordVerdict::Abstain;
        std::optional<Record> record;
    };
    /// A record change that is sent until a majority has confirmed it.
    struct Change
    {
        Record record;
        std::set<SlotId> confirmed;
        TimePoint until;
    };

    void claimReplied(const ReplicaReplied &event, const Instant &instant);
    void lookupReplied(const ReplicaReplied &event, const Instant &instant);
    void resolveReplied(const ReplicaReplied &event);
    bool updateView(const ReplicaReplied &event);
    void noteProcesses(const RecordReply &reply);
    void evaluateClaim(const Instant &instant, bool isTick);
    void evaluateWait(const Instant &instant);
    bool refuseByRecord(const Instant &instant);
    void stopClaiming(const Instant &instant);
    void beginClaim(const Instant &instant);
    void beginWait(const Instant &instant);
    void release(const Instant &instant);
    void refuse(ClaimRefusal reason, std::optional<Record> record = std::nullopt);
    Record ownRecord(RecordState outcome) const;
    void change(Record record, const Instant &instant);
    void sendDue(const Instant &instant);
    void sendToUnanswered();
    template <typename Predicate>
    bool everyGroupHas(uint32_t (*needed)(uint32_t), Predicate predicate) const;
    bool isMajorityHeldByOther() const;
    const Record *otherClaim() const;
    std::vector<ClaimAction> takeActions();

    ClaimRequest request;
    std::string baseClaimId;
    uint32_t round = 0;
    std::vector<OwnerGroup> groups;
    ClaimSettings settings;
    State state = State::Idle;
    bool isFinishedSent = false;
    std::set<SlotId> slots;
    std::map<SlotId, View> views;
    std::map<SlotId, uint64_t> processes;
    std::vector<Change> changes;
    std::optional<Record> awaited;
    WallTime claimedAt{};
    TimePoint claimDeadline;
    TimePoint outcomeDeadline;
    TimePoint resendAt;
    std::vector<ClaimAction> actions;
};

/// The groups that own the records of an account's requests to a service. size and slots come from the
/// live member list: liveSlots(domain) gives the slots of a domain that have a live process.
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
