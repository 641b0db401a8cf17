#include "libserving/idempotencyreplica.h"

#include "libserving/recordmerge.h"

#include "libcore/uuid.h"

#include <algorithm>

namespace eelgrasslift {

namespace {

/// A key's time is checked against one clock and its record may be read with another: each may be off by
/// MaxClockSkew.
constexpr Duration KeyTimeMargin = 2 * MaxClockSkew;

constexpr Duration DefaultKeep = std::chrono::hours{24};

WallTime later(WallTime time, Duration duration)
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
    Entry *entry = this->find(request.key, instant);
    if (entry)
        return this->claimKnown(*entry, request, instant);
    if (!this->mayGrant(request.key, instant) || this->records.size() >= this->settings.maxRecords)
        return this->reply(RecordVerdict::Abstain);
    return this->grant(request, instant);
}

RecordReply IdempotencyReplica::claimKnown(Entry &entry, const ClaimRequest &request, const Instant &instant)
{
    const Record &record = entry.record;
    if (record.bodyHash != request.bodyHash)
        return this->reply(RecordVerdict::BodyMismatch, &record);
    if (record.claimId == request.claimId && record.state == RecordState::Claimed) {
        // A copied record does not show that this slot's earlier process granted no other claim.
        if (!entry.isGrantedHere && !this->mayGrant(request.key, instant))
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
    Entry entry;
    entry.record.key = request.key;
    entry.record.bodyHash = request.bodyHash;
    entry.record.claimId = request.claimId;
    entry.record.claimant = request.claimant;
    entry.record.claimedAt = instant.wall;
    entry.isGrantedHere = true;
    const Record &stored = (this->records[request.key] = std::move(entry)).record;
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
    Entry *entry = this->find(incoming.key, instant);
    if (!entry) {
        const Record &stored = (this->records[incoming.key] = Entry{incoming, false}).record;
        return this->reply(RecordVerdict::Granted, &stored);
    }
    const WallTime claimedAt = entry->record.claimedAt;
    entry->record = mergeRecords(entry->record, incoming);
    entry->record.claimedAt = std::max(claimedAt, entry->record.claimedAt);
    return this->reply(RecordVerdict::Granted, &entry->record);
}

RecordReply IdempotencyReplica::lookup(const LookupRequest &request, const Instant &instant)
{
    if (!this->isOwner(request.key))
        return this->reply(RecordVerdict::NotOwner);
    const Entry *entry = this->find(request.key, instant);
    if (entry && entry->record.state != RecordState::NotRun)
        return this->reply(RecordVerdict::Held, &entry->record);
    return this->reply(this->knowsAbsence(request.key, instant) ? RecordVerdict::Absent
                                                                : RecordVerdict::Abstain);
}

ReadRecordsReply IdempotencyReplica::readRecords(const ReadRecordsRequest &request, const Instant &instant)
{
    ReadRecordsReply answer;
    answer.replica = this->settings.identity;
    answer.scope = request.scope;
    if (request.reader.slot == this->settings.identity.slot) {
        // A successor has taken this slot over while this process was frozen or cut off.
        this->isSuperseded = this->isSuperseded || request.reader.incarnation > this->identity().incarnation;
        answer.readerIncarnation = this->identity().incarnation;
        return answer;
    }
    const auto newest = this->processes.find(request.reader.slot);
    if (newest != this->processes.end() && newest->second > request.reader.incarnation) {
        answer.readerIncarnation = newest->second;
        return answer;
    }
    this->noteProcess(request.reader);
    answer.readerIncarnation = request.reader.incarnation;
    answer.isReaderRegistered = true;
    answer.isRecovered = this->isRecovered(request.scope);
    answer.knownProcesses = this->knownSuccessors();
    for (const auto &[key, entry] : this->records) {
        if (this->scopeOf(key) == request.scope && !this->isExpired(entry.record, instant))
            answer.records.push_back(entry.record);
    }
    return answer;
}

std::optional<ReadRecordsRequest> IdempotencyReplica::recoveryRequest(RecordScope scope,
                                                                      const Instant &instant)
{
    this->advanceMembership(scope, instant);
    if (this->isRecovered(scope) || this->isSuperseded || !this->rules)
        return std::nullopt;
    return ReadRecordsRequest{this->settings.identity, scope};
}

void IdempotencyReplica::handleReadReply(const ReadRecordsReply &reply, const Instant &instant)
{
    if (!reply.isReaderRegistered) {
        if (reply.readerIncarnation < this->identity().incarnation)
            return;
        if (this->domainMembership.isRegistered || this->fleetMembership.isRegistered) {
            this->isSuperseded = true;
            return;
        }
        this->settings.identity.incarnation = reply.readerIncarnation + 1;
        this->domainMembership = Membership{};
        this->fleetMembership = Membership{};
        return;
    }
    if (reply.readerIncarnation != this->identity().incarnation)
        return;
    this->noteProcess(reply.replica);
    for (const ReplicaIdentity &process : reply.knownProcesses)
        this->noteProcess(process);
    for (const Record &record : reply.records) {
        Entry *entry = this->find(record.key, instant);
        if (!entry) {
            if (!this->isExpired(record, instant))
                this->records[record.key] = Entry{record, false};
        } else {
            entry->record = mergeRecords(entry->record, record);
        }
    }
    Membership &state = this->membership(reply.scope);
    state.registeredWith.insert(reply.replica.slot);
    if (reply.isRecovered)
        state.readFull.insert(reply.replica.slot);
    this->advanceMembership(reply.scope, instant);
}

void IdempotencyReplica::expire(const Instant &instant)
{
    std::erase_if(this->records,
                  [&](const auto &item) { return this->isExpired(item.second.record, instant); });
}

/// A group of one slot has no other members to read; the replica registers alone and stays recovering until
/// the retention of its predecessor's records has ended.
void IdempotencyReplica::advanceMembership(RecordScope scope, const Instant &instant)
{
    if (!this->rules)
        return;
    Membership &state = this->membership(scope);
    const uint32_t size = this->groupSize(scope);
    const uint32_t cover = readQuorumOf(size);
    if (!state.isRegistered && state.registeredWith.size() >= std::min(cover, size - 1)) {
        state.isRegistered = true;
        state.registeredAt = instant;
    }
    Duration longestKeep = DefaultKeep;
    for (const auto &service : this->rules->rules.services)
        longestKeep = std::max(longestKeep, service.second.keep);
    const bool isPastRetention =
            state.isRegistered && instant.now - state.registeredAt.now > longestKeep + KeyTimeMargin;
    state.isRecovered = state.isRecovered || state.readFull.size() >= cover || isPastRetention;
}

const IdempotencyReplica::Membership &IdempotencyReplica::membership(RecordScope scope) const
{
    return scope == RecordScope::Domain ? this->domainMembership : this->fleetMembership;
}

IdempotencyReplica::Membership &IdempotencyReplica::membership(RecordScope scope)
{
    return scope == RecordScope::Domain ? this->domainMembership : this->fleetMembership;
}

RecordScope IdempotencyReplica::scopeOf(const RecordKey &key) const
{
    if (!this->rules)
        return RecordScope::Domain;
    const auto service = this->rules->rules.services.find(key.service);
    return service == this->rules->rules.services.end() ? RecordScope::Domain : service->second.records;
}

Duration IdempotencyReplica::keepOf(const RecordKey &key) const
{
    if (!this->rules)
        return DefaultKeep;
    const auto service = this->rules->rules.services.find(key.service);
    return service == this->rules->rules.services.end() ? DefaultKeep : service->second.keep;
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

/// Whether the key's time, if it has one, lies within the retention. A key from the future is refused because
/// a successor of this process could otherwise take it for one that no process can have seen.
bool IdempotencyReplica::isTimely(const RecordKey &key, const Instant &instant) const
{
    const std::optional<WallTime> time = uuidV7Time(key.key);
    return !time ||
           (*time <= later(instant.wall, MaxClockSkew) && instant.wall <= later(*time, this->keepOf(key)));
}

bool IdempotencyReplica::knowsAbsence(const RecordKey &key, const Instant &instant) const
{
    const Membership &state = this->membership(this->scopeOf(key));
    if (!state.isRegistered || this->isSuperseded)
        return false;
    if (state.isRecovered || instant.now - state.registeredAt.now > this->keepOf(key) + KeyTimeMargin)
        return true;
    const std::optional<WallTime> time = uuidV7Time(key.key);
    return time && *time > later(state.registeredAt.wall, KeyTimeMargin);
}

bool IdempotencyReplica::mayGrant(const RecordKey &key, const Instant &instant) const
{
    return this->isTimely(key, instant) && this->knowsAbsence(key, instant);
}

/// Records outlive the retention by the margin: a key from an entry whose clock is ahead is accepted before
/// its own time, and must still be known when its time plus the retention has passed.
bool IdempotencyReplica::isExpired(const Record &record, const Instant &instant) const
{
    return instant.wall > later(record.claimedAt, this->keepOf(record.key) + KeyTimeMargin);
}

IdempotencyReplica::Entry *IdempotencyReplica::find(const RecordKey &key, const Instant &instant)
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
    RecordReply answer;
    answer.verdict = verdict;
    if (record)
        answer.record = *record;
    answer.rulesVersion = this->rules ? this->rules->version : 0;
    answer.replica = this->settings.identity;
    answer.knownProcesses = this->knownSuccessors();
    return answer;
}

std::vector<ReplicaIdentity> IdempotencyReplica::knownSuccessors() const
{
    std::vector<ReplicaIdentity> known;
    for (const auto &[slot, incarnation] : this->processes)
        known.push_back({slot, incarnation});
    return known;
}

void IdempotencyReplica::noteProcess(const ReplicaIdentity &process)
{
    if (process.slot == this->settings.identity.slot) {
        this->isSuperseded = this->isSuperseded || process.incarnation > this->identity().incarnation;
        return;
    }
    uint64_t &newest = this->processes[process.slot];
    newest = std::max(newest, process.incarnation);
}

} // namespace eelgrasslift
