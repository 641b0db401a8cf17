#include "libserving/idempotencyclaim.h"

#include <algorithm>
#include <utility>

namespace eelgrasslift {

namespace {

/// Whether a replica that holds this record has taken the change into account.
bool confirms(const Record &held, const Record &change)
{
    if (change.state != RecordState::NotRun)
        return held.state == RecordState::Ran || held.state == RecordState::Unknown;
    if (held.claimId == change.claimId)
        return held.state != RecordState::Claimed;
    return held.state != RecordState::NotRun;
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
    this->noteProcesses(event.reply);
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
    this->sendDue(instant);
    return this->takeActions();
}

std::vector<ClaimAction> IdempotencyClaim::resolve(RecordState outcome, uint32_t status,
                                                   std::string contentType, std::string answer,
                                                   const Instant &instant)
{
    if (this->state != State::Granted)
        return {};
    this->state = State::Ended;
    Record record = this->ownRecord(outcome);
    record.status = status;
    record.contentType = std::move(contentType);
    if (answer.size() <= MaxRecordedResponseBytes)
        record.response = std::move(answer);
    else
        record.isResponseTruncated = true;
    this->change(std::move(record), instant);
    return this->takeActions();
}

std::optional<TimePoint> IdempotencyClaim::nextTick() const
{
    if (this->state == State::Claiming)
        return std::min(this->resendAt, this->claimDeadline);
    if (this->state == State::WaitingForOther)
        return std::min(this->resendAt, this->outcomeDeadline);
    return this->changes.empty() ? std::nullopt : std::optional{this->resendAt};
}

/// A grant counts only for the round in which it was asked for: a late one belongs to a released claim.
void IdempotencyClaim::claimReplied(const ReplicaReplied &event, const Instant &instant)
{
    const RecordReply &reply = event.reply;
    if (reply.verdict == RecordVerdict::Granted &&
        (!reply.record || reply.record->claimId != this->request.claimId))
        return;
    if (this->updateView(event))
        this->evaluateClaim(instant, false);
}

void IdempotencyClaim::lookupReplied(const ReplicaReplied &event, const Instant &instant)
{
    if (this->updateView(event))
        this->evaluateWait(instant);
}

void IdempotencyClaim::resolveReplied(const ReplicaReplied &event)
{
    if (event.reply.verdict != RecordVerdict::Granted || !event.reply.record)
        return;
    for (Change &change : this->changes) {
        if (confirms(*event.reply.record, change.record))
            change.confirmed.insert(event.slot);
    }
    std::erase_if(this->changes, [&](const Change &change) {
        return std::all_of(this->groups.begin(), this->groups.end(), [&](const OwnerGroup &group) {
            const auto confirmed =
                    std::count_if(group.slots.begin(), group.slots.end(),
                                  [&](const SlotId &slot) { return change.confirmed.count(slot) > 0; });
            return static_cast<uint32_t>(confirmed) >= majorityOf(group.size);
        });
    });
}

/// Returns whether the reply came from the newest known process of its slot and changed the view.
bool IdempotencyClaim::updateView(const ReplicaReplied &event)
{
    if (event.reply.replica.incarnation < this->processes[event.slot])
        return false;
    View &view = this->views[event.slot];
    if (view.incarnation == event.reply.replica.incarnation && view.verdict == RecordVerdict::Granted)
        return false; // a grant stands until it is released
    view = {event.reply.replica.incarnation, event.reply.verdict, event.reply.record};
    return true;
}

/// Drops what an earlier process of a slot said once any replica knows its successor: the successor may have
/// registered before the other grants were given, and would then not know of this claim.
void IdempotencyClaim::noteProcesses(const RecordReply &reply)
{
    std::vector<ReplicaIdentity> named = reply.knownProcesses;
    named.push_back(reply.replica);
    for (const ReplicaIdentity &process : named) {
        uint64_t &newest = this->processes[process.slot];
        newest = std::max(newest, process.incarnation);
        const auto view = this->views.find(process.slot);
        if (view != this->views.end() && view->second.incarnation < newest)
            this->views.erase(view);
    }
}

void IdempotencyClaim::evaluateClaim(const Instant &instant, bool isTick)
{
    const auto isGrant = [](const View &view) { return view.verdict == RecordVerdict::Granted; };
    if (this->refuseByRecord(instant))
        return;
    if (this->everyGroupHas(majorityOf, isGrant)) {
        this->state = State::Granted;
        this->actions.emplace_back(ClaimGranted{});
        return;
    }
    const Record *other = this->otherClaim();
    const bool mustYield = other && isTick && other->claimId < this->request.claimId;
    if (mustYield || this->isMajorityHeldByOther() || instant.now >= this->claimDeadline)
        this->stopClaiming(instant);
}

void IdempotencyClaim::evaluateWait(const Instant &instant)
{
    if (this->refuseByRecord(instant))
        return;
    if (const Record *other = this->otherClaim())
        this->awaited = *other;
    if (instant.now >= this->outcomeDeadline) {
        if (this->awaited) {
            this->awaited->state = RecordState::Unknown;
            this->change(*this->awaited, instant);
        }
        this->refuse(ClaimRefusal::Unknown);
    } else if (this->everyGroupHas(readQuorumOf,
                                   [](const View &view) { return view.verdict == RecordVerdict::Absent; })) {
        this->beginClaim(instant);
    }
}

/// Ends the claim if a record decides its outcome.
bool IdempotencyClaim::refuseByRecord(const Instant &instant)
{
    const View *decisive = nullptr;
    for (const auto &item : this->views) {
        const View &view = item.second;
        const bool isMismatch = view.verdict == RecordVerdict::BodyMismatch;
        const bool isHeld = view.verdict == RecordVerdict::Held && view.record;
        const bool hasRun = isHeld && view.record->state == RecordState::Ran;
        const bool isUnknown = isHeld && view.record->state == RecordState::Unknown;
        if (isMismatch || hasRun || (isUnknown && !decisive))
            decisive = &view;
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

/// Without a majority: wait for the other claim, or say what is known. Grants of a cover show that no request
/// with this key has run, because they were held at the same time by this claim.
void IdempotencyClaim::stopClaiming(const Instant &instant)
{
    const bool isAbsenceKnown = this->everyGroupHas(
            readQuorumOf, [](const View &view) { return view.verdict == RecordVerdict::Granted; });
    const bool isContended = this->otherClaim() != nullptr;
    this->release(instant);
    if (isContended)
        this->beginWait(instant);
    else
        this->refuse(isAbsenceKnown ? ClaimRefusal::NotRun : ClaimRefusal::RecordsUnreachable);
}

void IdempotencyClaim::beginClaim(const Instant &instant)
{
    this->state = State::Claiming;
    ++this->round;
    this->request.claimId = this->baseClaimId + "." + std::to_string(this->round);
    this->claimDeadline = instant.now + this->settings.claimTimeout;
    this->resendAt = instant.now + this->settings.resendInterval;
    this->views.clear();
    this->sendToUnanswered();
}

void IdempotencyClaim::beginWait(const Instant &instant)
{
    this->state = State::WaitingForOther;
    if (const Record *other = this->otherClaim())
        this->awaited = *other;
    this->views.clear();
    this->resendAt = instant.now + this->settings.resendInterval;
}

/// Only before the send: the state is Claiming, and no grant is counted afterwards.
void IdempotencyClaim::release(const Instant &instant)
{
    this->change(this->ownRecord(RecordState::NotRun), instant);
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

void IdempotencyClaim::change(Record record, const Instant &instant)
{
    for (const SlotId &slot : this->slots)
        this->actions.emplace_back(SendResolve{slot, {record}});
    this->changes.push_back({std::move(record), {}, instant.now + this->settings.resolveTimeout});
    this->resendAt = instant.now + this->settings.resendInterval;
}

void IdempotencyClaim::sendDue(const Instant &instant)
{
    std::erase_if(this->changes, [&](const Change &change) { return instant.now >= change.until; });
    if (instant.now < this->resendAt)
        return;
    this->resendAt = instant.now + this->settings.resendInterval;
    this->sendToUnanswered();
    for (const Change &change : this->changes) {
        for (const SlotId &slot : this->slots) {
            if (change.confirmed.count(slot) == 0)
                this->actions.emplace_back(SendResolve{slot, {change.record}});
        }
    }
}

void IdempotencyClaim::sendToUnanswered()
{
    for (const SlotId &slot : this->slots) {
        const auto view = this->views.find(slot);
        const bool isGranted = view != this->views.end() && view->second.verdict == RecordVerdict::Granted;
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
                           const auto view = this->views.find(slot);
                           return view != this->views.end() && predicate(view->second);
                       });
               return static_cast<uint32_t>(matching) >= needed(group.size);
           });
}

bool IdempotencyClaim::isMajorityHeldByOther() const
{
    const Record *other = this->otherClaim();
    return other && this->everyGroupHas(majorityOf, [&](const View &view) {
        return view.verdict == RecordVerdict::Held && view.record && view.record->claimId == other->claimId;
    });
}

/// The other claim in progress with the smallest id; the larger one of two yields.
const Record *IdempotencyClaim::otherClaim() const
{
    const Record *smallest = nullptr;
    for (const auto &item : this->views) {
        const View &view = item.second;
        if (view.verdict != RecordVerdict::Held || !view.record || view.record->state != RecordState::Claimed)
            continue;
        if (!smallest || view.record->claimId < smallest->claimId)
            smallest = &*view.record;
    }
    return smallest;
}

std::vector<ClaimAction> IdempotencyClaim::takeActions()
{
    if (this->state == State::Ended && this->changes.empty() && !this->isFinishedSent) {
        this->isFinishedSent = true;
        this->actions.emplace_back(ClaimFinished{});
    }
    return std::exchange(this->actions, {});
}

} // namespace eelgrasslift
