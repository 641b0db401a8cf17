#include "libserving/idempotencyreplica.h"

#include "libserving/recordmerge.h"

#include "libcore/uuid.h"

#include <algorithm>

namespace eelgrasslift {

namespace {

/// The time in a key may be checked against the clock of one entry and its record against that of another,
/// and both may be off by MaxClockSkew.
constexpr Duration KeyTimeMargin = 2 * MaxClockSkew;

/// Retention of records whose service the rules do not define.
constexpr Duration DefaultRetention = std::chrono::hours{24};

WallTime addDuration(WallTime time, Duration duration)
{
    return time + std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

} // namespace

IdempotencyReplica::IdempotencyReplica(ReplicaSettings settings)
    : settings(std::move(settings))
{}

void IdempotencyReplica::setRules(std::shared_ptr<const AcceptedRules> rules)
{
    this->rules = std::move(rules);
}

RecordReply IdempotencyReplica::claim(const ClaimRequest &request, const Instant &instant)
{
    if (!this->isOwner(request.key))
        return this->reply(RecordVerdict::NotOwner);
    StoredRecord *storedRecord = this->find(request.key, instant);
    if (storedRecord)
        return this->claimExisting(*storedRecord, request, instant);
    if (!this->mayGrant(request.key, instant) || this->records.size() >= this->settings.maxRecords)
        return this->reply(RecordVerdict::Abstain);
    return this->grant(request, instant);
}

RecordReply IdempotencyReplica::claimExisting(StoredRecord &storedRecord, const ClaimRequest &request,
                                              const Instant &instant)
{
    const Record &record = storedRecord.record;
    if (record.bodyHash != request.bodyHash)
        return this->reply(RecordVerdict::BodyMismatch, &record);
    if (record.claimId == request.claimId && record.state == RecordState::Claimed) {
        // A copied record does not rule out that an earlier process of this slot granted another claim.
        if (!storedRecord.isGrantedByThisProcess && !this->mayGrant(request.key, instant))
            return this->reply(RecordVerdict::Abstain);
        return this->reply(this->isSuperseded ? RecordVerdict::Abstain : RecordVerdict::Granted, &record);
    }
    if (record.state != RecordState::NotRun || record.claimId == request.claimId)
        return this->reply(RecordVerdict::Held, &record);
    if (!this->mayGrant(request.key, instant))
        return this->reply(RecordVerdict::Abstain);
    return this->grant(request, instant);
}

RecordReply IdempotencyReplica::grant(const ClaimRequest &request, const Instant &instant)
{
    StoredRecord storedRecord;
    storedRecord.record.key = request.key;
    storedRecord.record.bodyHash = request.bodyHash;
    storedRecord.record.claimId = request.claimId;
    storedRecord.record.claimant = request.claimant;
    storedRecord.record.claimedAt = instant.wall;
    storedRecord.isGrantedByThisProcess = true;
    const Record &stored = (this->records[request.key] = std::move(storedRecord)).record;
    return this->reply(RecordVerdict::Granted, &stored);
}

RecordReply IdempotencyReplica::resolve(const ResolveRequest &request, const Instant &instant)
{
    if (!this->isOwner(request.record.key))
        return this->reply(RecordVerdict::NotOwner);
    Record incoming = request.record;
    if (incoming.response.size() > MaxRecordedResponseBytes) {
        incoming.response.clear();
        incoming.isResponseTruncated = true;
    }
    StoredRecord *storedRecord = this->find(incoming.key, instant);
    if (!storedRecord) {
        const Record &stored = (this->records[incoming.key] = StoredRecord{incoming, false}).record;
        return this->reply(RecordVerdict::Granted, &stored);
    }
    const WallTime claimedAt = storedRecord->record.claimedAt;
    storedRecord->record = mergeRecords(storedRecord->record, incoming);
    storedRecord->record.claimedAt = std::max(claimedAt, storedRecord->record.claimedAt);
    return this->reply(RecordVerdict::Granted, &storedRecord->record);
}

RecordReply IdempotencyReplica::lookup(const LookupRequest &request, const Instant &instant)
{
    if (!this->isOwner(request.key))
        return this->reply(RecordVerdict::NotOwner);
    const StoredRecord *storedRecord = this->find(request.key, instant);
    if (storedRecord && storedRecord->record.state != RecordState::NotRun)
        return this->reply(RecordVerdict::Held, &storedRecord->record);
    return this->reply(this->isAbsenceCertain(request.key, instant) ? RecordVerdict::Absent
                                                                    : RecordVerdict::Abstain);
}

ReadRecordsReply IdempotencyReplica::readRecords(const ReadRecordsRequest &request, const Instant &instant)
{
    ReadRecordsReply result;
    result.replica = this->settings.identity;
    result.scope = request.scope;
    if (request.reader.slot == this->settings.identity.slot) {
        // A successor has taken over this slot while this process was suspended or partitioned.
        this->isSuperseded = this->isSuperseded || request.reader.incarnation > this->identity().incarnation;
        result.readerIncarnation = this->identity().incarnation;
        return result;
    }
    const auto newest = this->newestIncarnations.find(request.reader.slot);
    if (newest != this->newestIncarnations.end() && newest->second > request.reader.incarnation) {
        result.readerIncarnation = newest->second;
        return result;
    }
    this->updateIncarnation(request.reader);
    result.readerIncarnation = request.reader.incarnation;
    result.isReaderRegistered = true;
    result.isRecovered = this->isRecovered(request.scope);
    result.knownProcesses = this->otherProcesses();
    for (const auto &[key, storedRecord] : this->records) {
        if (this->scopeOf(key) == request.scope && !this->isExpired(storedRecord.record, instant))
            result.records.push_back(storedRecord.record);
    }
    return result;
}

std::optional<ReadRecordsRequest> IdempotencyReplica::recoveryRequest(RecordScope scope,
                                                                      const Instant &instant)
{
    this->advanceRecovery(scope, instant);
    if (this->isRecovered(scope) || this->isSuperseded || !this->rules)
        return std::nullopt;
    return ReadRecordsRequest{this->settings.identity, scope};
}

void IdempotencyReplica::handleReadReply(const ReadRecordsReply &reply, const Instant &instant)
{
    if (!reply.isReaderRegistered) {
        if (reply.readerIncarnation < this->identity().incarnation)
            return;
        if (this->domainRecovery.isRegistered || this->fleetRecovery.isRegistered) {
            this->isSuperseded = true;
            return;
        }
        this->settings.identity.incarnation = reply.readerIncarnation + 1;
        this->domainRecovery = RecoveryState{};
        this->fleetRecovery = RecoveryState{};
        return;
    }
    if (reply.readerIncarnation != this->identity().incarnation)
        return;
    this->updateIncarnation(reply.replica);
    for (const ReplicaIdentity &process : reply.knownProcesses)
        this->updateIncarnation(process);
    for (const Record &record : reply.records) {
        StoredRecord *storedRecord = this->find(record.key, instant);
        if (!storedRecord) {
            if (!this->isExpired(record, instant))
                this->records[record.key] = StoredRecord{record, false};
        } else {
            storedRecord->record = mergeRecords(storedRecord->record, record);
        }
    }
    RecoveryState &recovery = this->recoveryState(reply.scope);
    recovery.registeredWith.insert(reply.replica.slot);
    if (reply.isRecovered)
        recovery.readFromRecovered.insert(reply.replica.slot);
    this->advanceRecovery(reply.scope, instant);
}

void IdempotencyReplica::expire(const Instant &instant)
{
    std::erase_if(this->records,
                  [&](const auto &item) { return this->isExpired(item.second.record, instant); });
}

/// In a group of one slot there are no other replicas to read from: the replica registers without any and is
/// recovering until the retention of its predecessor's records has ended.
void IdempotencyReplica::advanceRecovery(RecordScope scope, const Instant &instant)
{
    if (!this->rules)
        return;
    RecoveryState &recovery = this->recoveryState(scope);
    const uint32_t size = this->groupSize(scope);
    const uint32_t readQuorum = readQuorumOf(size);
    if (!recovery.isRegistered && recovery.registeredWith.size() >= std::min(readQuorum, size - 1)) {
        recovery.isRegistered = true;
        recovery.registeredAt = instant;
    }
    Duration longestRetention = DefaultRetention;
    for (const auto &service : this->rules->rules.services)
        longestRetention = std::max(longestRetention, service.second.keep);
    const bool isPastRetention = recovery.isRegistered &&
                                 instant.now - recovery.registeredAt.now > longestRetention + KeyTimeMargin;
    recovery.isRecovered =
            recovery.isRecovered || recovery.readFromRecovered.size() >= readQuorum || isPastRetention;
}

const IdempotencyReplica::RecoveryState &IdempotencyReplica::recoveryState(RecordScope scope) const
{
    return scope == RecordScope::Domain ? this->domainRecovery : this->fleetRecovery;
}

IdempotencyReplica::RecoveryState &IdempotencyReplica::recoveryState(RecordScope scope)
{
    return scope == RecordScope::Domain ? this->domainRecovery : this->fleetRecovery;
}

RecordScope IdempotencyReplica::scopeOf(const RecordKey &key) const
{
    if (!this->rules)
        return RecordScope::Domain;
    const auto service = this->rules->rules.services.find(key.service);
    return service == this->rules->rules.services.end() ? RecordScope::Domain : service->second.records;
}

Duration IdempotencyReplica::retentionOf(const RecordKey &key) const
{
    if (!this->rules)
        return DefaultRetention;
    const auto service = this->rules->rules.services.find(key.service);
    return service == this->rules->rules.services.end() ? DefaultRetention : service->second.keep;
}

uint32_t IdempotencyReplica::groupSize(RecordScope scope) const
{
    if (scope == RecordScope::Domain)
        return this->settings.entriesPerDomain;
    return this->settings.entriesPerDomain * std::max<uint32_t>(1, this->rules->rules.domains.size());
}

bool IdempotencyReplica::isOwner(const RecordKey &key) const
{
    if (!this->rules)
        return false;
    const RuleSet &ruleSet = this->rules->rules;
    const auto account = ruleSet.accounts.find(key.account);
    if (account == ruleSet.accounts.end())
        return false;
    return this->scopeOf(key) == RecordScope::Fleet ||
           account->second.previousDomain == this->settings.domain ||
           ruleSet.ownerDomain(account->second) == this->settings.domain;
}

/// Whether the time in the key, if it contains one, lies within the retention and not in the future. Keys
/// from the future are refused because a successor of this process could otherwise treat them as newer than
/// its registration, and thus as never granted.
bool IdempotencyReplica::isKeyTimeValid(const RecordKey &key, const Instant &instant) const
{
    const std::optional<WallTime> time = uuidV7Time(key.key);
    return !time || (*time <= addDuration(instant.wall, MaxClockSkew) &&
                     instant.wall <= addDuration(*time, this->retentionOf(key)));
}

bool IdempotencyReplica::isAbsenceCertain(const RecordKey &key, const Instant &instant) const
{
    const RecoveryState &recovery = this->recoveryState(this->scopeOf(key));
    if (!recovery.isRegistered || this->isSuperseded)
        return false;
    if (recovery.isRecovered ||
        instant.now - recovery.registeredAt.now > this->retentionOf(key) + KeyTimeMargin)
        return true;
    const std::optional<WallTime> time = uuidV7Time(key.key);
    return time && *time > addDuration(recovery.registeredAt.wall, KeyTimeMargin);
}

bool IdempotencyReplica::mayGrant(const RecordKey &key, const Instant &instant) const
{
    return this->isKeyTimeValid(key, instant) && this->isAbsenceCertain(key, instant);
}

/// Records are stored for the retention plus a margin: a key from an entry whose clock is ahead is accepted
/// before the time that it contains, and must still be known when that time plus the retention has passed.
bool IdempotencyReplica::isExpired(const Record &record, const Instant &instant) const
{
    return instant.wall > addDuration(record.claimedAt, this->retentionOf(record.key) + KeyTimeMargin);
}

IdempotencyReplica::StoredRecord *IdempotencyReplica::find(const RecordKey &key, const Instant &instant)
{
    const auto found = this->records.find(key);
    if (found == this->records.end())
        return nullptr;
    if (!this->isExpired(found->second.record, instant))
        return &found->second;
    this->records.erase(found);
    return nullptr;
}

RecordReply IdempotencyReplica::reply(RecordVerdict verdict, const Record *record) const
{
    RecordReply result;
    result.verdict = verdict;
    if (record)
        result.record = *record;
    result.rulesVersion = this->rules ? this->rules->version : 0;
    result.replica = this->settings.identity;
    result.knownProcesses = this->otherProcesses();
    return result;
}

std::vector<ReplicaIdentity> IdempotencyReplica::otherProcesses() const
{
    std::vector<ReplicaIdentity> identities;
    for (const auto &[slot, incarnation] : this->newestIncarnations)
        identities.push_back({slot, incarnation});
    return identities;
}

void IdempotencyReplica::updateIncarnation(const ReplicaIdentity &process)
{
    if (process.slot == this->settings.identity.slot) {
        this->isSuperseded = this->isSuperseded || process.incarnation > this->identity().incarnation;
        return;
    }
    uint64_t &newest = this->newestIncarnations[process.slot];
    newest = std::max(newest, process.incarnation);
}

} // namespace eelgrasslift
