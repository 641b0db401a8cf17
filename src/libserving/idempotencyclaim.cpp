#include "libserving/idempotencyclaim.h"

#include <algorithm>
#include <utility>

namespace eelgrasslift {

namespace {

/// Whether the record that a replica stores shows that the replica has merged the update.
bool confirms(const Record &stored, const Record &update)
{
    if (update.state != RecordState::NotRun)
        return stored.state == RecordState::Ran || stored.state == RecordState::Unknown;
    if (stored.claimId == update.claimId)
        return stored.state != RecordState::Claimed;
    return stored.state != RecordState::NotRun;
}

} // namespace

IdempotencyClaim::IdempotencyClaim(ClaimRequest request, std::vector<OwnerGroup> groups,
                                   ClaimSettings settings)
    : request(std::move(request))
    , baseClaimId(this->request.claimId)
    , groups(std::move(groups))
    , settings(settings)
{
    for (const OwnerGroup &group : this->groups)
        this->slots.insert(group.slots.begin(), group.slots.end());
}

std::vector<ClaimAction> IdempotencyClaim::start(const Instant &instant)
{
    if (this->state != State::Idle)
        return {};
    this->claimedAt = instant.wall;
    this->outcomeDeadline = instant.now + this->settings.outcomeTimeout;
    this->beginClaim(instant);
    return this->takeActions();
}

std::vector<ClaimAction> IdempotencyClaim::handle(const ReplicaReplied &event, const Instant &instant)
{
    this->updateIncarnations(event.reply);
    if (event.call == RecordCall::Resolve)
        this->resolveReplied(event);
    else if (event.call == RecordCall::Claim && this->state == State::Claiming)
        this->claimReplied(event, instant);
    else if (event.call == RecordCall::Lookup && this->state == State::WaitingForOther)
        this->lookupReplied(event, instant);
    return this->takeActions();
}

std::vector<ClaimAction> IdempotencyClaim::tick(const Instant &instant)
{
    if (this->state == State::Claiming)
        this->evaluateClaim(instant, true);
    else if (this->state == State::WaitingForOther)
        this->evaluateWait(instant);
    this->sendDueMessages(instant);
    return this->takeActions();
}

std::vector<ClaimAction> IdempotencyClaim::resolve(RecordState outcome, uint32_t status,
                                                   std::string contentType, std::string response,
                                                   const Instant &instant)
{
    if (this->state != State::Granted)
        return {};
    this->state = State::Ended;
    Record record = this->ownRecord(outcome);
    record.status = status;
    record.contentType = std::move(contentType);
    if (response.size() <= MaxRecordedResponseBytes)
        record.response = std::move(response);
    else
        record.isResponseTruncated = true;
    this->sendUpdate(std::move(record), instant);
    return this->takeActions();
}

std::optional<TimePoint> IdempotencyClaim::nextTick() const
{
    if (this->state == State::Claiming)
        return std::min(this->resendAt, this->claimDeadline);
    if (this->state == State::WaitingForOther)
        return std::min(this->resendAt, this->outcomeDeadline);
    return this->pendingUpdates.empty() ? std::nullopt : std::optional{this->resendAt};
}

/// Ignores grants of earlier rounds: they belong to a claim that was released.
void IdempotencyClaim::claimReplied(const ReplicaReplied &event, const Instant &instant)
{
    const RecordReply &reply = event.reply;
    if (reply.verdict == RecordVerdict::Granted &&
        (!reply.record || reply.record->claimId != this->request.claimId))
        return;
    if (this->storeReply(event))
        this->evaluateClaim(instant, false);
}

void IdempotencyClaim::lookupReplied(const ReplicaReplied &event, const Instant &instant)
{
    if (this->storeReply(event))
        this->evaluateWait(instant);
}

void IdempotencyClaim::resolveReplied(const ReplicaReplied &event)
{
    if (event.reply.verdict != RecordVerdict::Granted || !event.reply.record)
        return;
    for (RecordUpdate &update : this->pendingUpdates) {
        if (confirms(*event.reply.record, update.record))
            update.confirmed.insert(event.slot);
    }
    std::erase_if(this->pendingUpdates, [&](const RecordUpdate &update) {
        return std::all_of(this->groups.begin(), this->groups.end(), [&](const OwnerGroup &group) {
            const auto confirmed =
                    std::count_if(group.slots.begin(), group.slots.end(),
                                  [&](const SlotId &slot) { return update.confirmed.count(slot) > 0; });
            return static_cast<uint32_t>(confirmed) >= majorityOf(group.size);
        });
    });
}

/// Stores the reply if it comes from the newest known process of its slot. Returns whether it was stored.
bool IdempotencyClaim::storeReply(const ReplicaReplied &event)
{
    if (event.reply.replica.incarnation < this->newestIncarnations[event.slot])
        return false;
    SlotReply &latest = this->latestReplies[event.slot];
    if (latest.incarnation == event.reply.replica.incarnation && latest.verdict == RecordVerdict::Granted)
        return false; // a grant is valid until it is released
    latest = {event.reply.replica.incarnation, event.reply.verdict, event.reply.record};
    return true;
}

/// Discards the reply of a slot's process once any replica knows its successor: the successor may have
/// registered before the other replicas granted the claim, and would then have no record of it.
void IdempotencyClaim::updateIncarnations(const RecordReply &reply)
{
    std::vector<ReplicaIdentity> reportedProcesses = reply.knownProcesses;
    reportedProcesses.push_back(reply.replica);
    for (const ReplicaIdentity &process : reportedProcesses) {
        uint64_t &newest = this->newestIncarnations[process.slot];
        newest = std::max(newest, process.incarnation);
        const auto latest = this->latestReplies.find(process.slot);
        if (latest != this->latestReplies.end() && latest->second.incarnation < newest)
            this->latestReplies.erase(latest);
    }
}

void IdempotencyClaim::evaluateClaim(const Instant &instant, bool isTick)
{
    const auto isGrant = [](const SlotReply &latest) { return latest.verdict == RecordVerdict::Granted; };
    if (this->refuseByRecord(instant))
        return;
    if (this->everyGroupHas(majorityOf, isGrant)) {
        this->state = State::Granted;
        this->actions.emplace_back(ClaimGranted{});
        return;
    }
    const Record *other = this->competingClaim();
    const bool mustYield = other && isTick && other->claimId < this->request.claimId;
    if (mustYield || this->isMajorityHeldByOther() || instant.now >= this->claimDeadline)
        this->abandonClaim(instant);
}

void IdempotencyClaim::evaluateWait(const Instant &instant)
{
    if (this->refuseByRecord(instant))
        return;
    if (const Record *other = this->competingClaim())
        this->awaitedClaim = *other;
    if (instant.now >= this->outcomeDeadline) {
        if (this->awaitedClaim) {
            this->awaitedClaim->state = RecordState::Unknown;
            this->sendUpdate(*this->awaitedClaim, instant);
        }
        this->refuse(ClaimRefusal::Unknown);
    } else if (this->everyGroupHas(readQuorumOf, [](const SlotReply &latest) {
                   return latest.verdict == RecordVerdict::Absent;
               })) {
        this->beginClaim(instant);
    }
}

/// Refuses the claim if a reply decides its outcome. Returns whether it did.
bool IdempotencyClaim::refuseByRecord(const Instant &instant)
{
    const SlotReply *decisive = nullptr;
    for (const auto &item : this->latestReplies) {
        const SlotReply &latest = item.second;
        const bool isMismatch = latest.verdict == RecordVerdict::BodyMismatch;
        const bool isHeld = latest.verdict == RecordVerdict::Held && latest.record;
        const bool hasRun = isHeld && latest.record->state == RecordState::Ran;
        const bool isUnknown = isHeld && latest.record->state == RecordState::Unknown;
        if (isMismatch || hasRun || (isUnknown && !decisive))
            decisive = &latest;
    }
    if (!decisive)
        return false;
    if (this->state == State::Claiming)
        this->release(instant);
    if (decisive->verdict == RecordVerdict::BodyMismatch)
        this->refuse(ClaimRefusal::BodyMismatch);
    else if (decisive->record->state == RecordState::Ran)
        this->refuse(ClaimRefusal::Ran, decisive->record);
    else
        this->refuse(ClaimRefusal::Unknown);
    return true;
}

/// Releases a claim that has no majority, and waits for a competing claim or refuses. The grants of a read
/// quorum, all held by this claim at the same time, prove that no request with this key has run.
void IdempotencyClaim::abandonClaim(const Instant &instant)
{
    const bool isAbsenceCertain = this->everyGroupHas(
            readQuorumOf, [](const SlotReply &latest) { return latest.verdict == RecordVerdict::Granted; });
    const bool isContended = this->competingClaim() != nullptr;
    this->release(instant);
    if (isContended)
        this->beginWait(instant);
    else
        this->refuse(isAbsenceCertain ? ClaimRefusal::NotRun : ClaimRefusal::RecordsUnreachable);
}

void IdempotencyClaim::beginClaim(const Instant &instant)
{
    this->state = State::Claiming;
    ++this->round;
    this->request.claimId = this->baseClaimId + "." + std::to_string(this->round);
    this->claimDeadline = instant.now + this->settings.claimTimeout;
    this->resendAt = instant.now + this->settings.resendInterval;
    this->latestReplies.clear();
    this->sendRequests();
}

void IdempotencyClaim::beginWait(const Instant &instant)
{
    this->state = State::WaitingForOther;
    if (const Record *other = this->competingClaim())
        this->awaitedClaim = *other;
    this->latestReplies.clear();
    this->resendAt = instant.now + this->settings.resendInterval;
}

/// Stores that this round was not run. Only valid in state Claiming, before the request is sent: no grant is
/// counted afterwards.
void IdempotencyClaim::release(const Instant &instant)
{
    this->sendUpdate(this->ownRecord(RecordState::NotRun), instant);
}

Record IdempotencyClaim::ownRecord(RecordState outcome) const
{
    Record record;
    record.key = this->request.key;
    record.bodyHash = this->request.bodyHash;
    record.state = outcome;
    record.claimId = this->request.claimId;
    record.claimant = this->request.claimant;
    record.claimedAt = this->claimedAt;
    return record;
}

void IdempotencyClaim::refuse(ClaimRefusal reason, std::optional<Record> record)
{
    this->state = State::Ended;
    this->actions.emplace_back(ClaimRefused{reason, std::move(record)});
}

void IdempotencyClaim::sendUpdate(Record record, const Instant &instant)
{
    for (const SlotId &slot : this->slots)
        this->actions.emplace_back(SendResolve{slot, {record}});
    this->pendingUpdates.push_back({std::move(record), {}, instant.now + this->settings.resolveTimeout});
    this->resendAt = instant.now + this->settings.resendInterval;
}

void IdempotencyClaim::sendDueMessages(const Instant &instant)
{
    std::erase_if(this->pendingUpdates,
                  [&](const RecordUpdate &update) { return instant.now >= update.until; });
    if (instant.now < this->resendAt)
        return;
    this->resendAt = instant.now + this->settings.resendInterval;
    this->sendRequests();
    for (const RecordUpdate &update : this->pendingUpdates) {
        for (const SlotId &slot : this->slots) {
            if (update.confirmed.count(slot) == 0)
                this->actions.emplace_back(SendResolve{slot, {update.record}});
        }
    }
}

void IdempotencyClaim::sendRequests()
{
    for (const SlotId &slot : this->slots) {
        const auto latest = this->latestReplies.find(slot);
        const bool isGranted =
                latest != this->latestReplies.end() && latest->second.verdict == RecordVerdict::Granted;
        if (this->state == State::Claiming && !isGranted)
            this->actions.emplace_back(SendClaim{slot, this->request});
        else if (this->state == State::WaitingForOther)
            this->actions.emplace_back(SendLookup{slot, {this->request.key}});
    }
}

template <typename Predicate>
bool IdempotencyClaim::everyGroupHas(uint32_t (*needed)(uint32_t), Predicate predicate) const
{
    return !this->groups.empty() &&
           std::all_of(this->groups.begin(), this->groups.end(), [&](const OwnerGroup &group) {
               const auto matching =
                       std::count_if(group.slots.begin(), group.slots.end(), [&](const SlotId &slot) {
                           const auto latest = this->latestReplies.find(slot);
                           return latest != this->latestReplies.end() && predicate(latest->second);
                       });
               return static_cast<uint32_t>(matching) >= needed(group.size);
           });
}

bool IdempotencyClaim::isMajorityHeldByOther() const
{
    const Record *other = this->competingClaim();
    return other && this->everyGroupHas(majorityOf, [&](const SlotReply &latest) {
        return latest.verdict == RecordVerdict::Held && latest.record &&
               latest.record->claimId == other->claimId;
    });
}

/// Returns the record of the competing claim in progress with the smallest id: of two claims the one with the
/// larger id yields.
const Record *IdempotencyClaim::competingClaim() const
{
    const Record *smallest = nullptr;
    for (const auto &item : this->latestReplies) {
        const SlotReply &latest = item.second;
        if (latest.verdict != RecordVerdict::Held || !latest.record ||
            latest.record->state != RecordState::Claimed)
            continue;
        if (!smallest || latest.record->claimId < smallest->claimId)
            smallest = &*latest.record;
    }
    return smallest;
}

std::vector<ClaimAction> IdempotencyClaim::takeActions()
{
    if (this->state == State::Ended && this->pendingUpdates.empty() && !this->isFinishReported) {
        this->isFinishReported = true;
        this->actions.emplace_back(ClaimFinished{});
    }
    return std::exchange(this->actions, {});
}

} // namespace eelgrasslift
