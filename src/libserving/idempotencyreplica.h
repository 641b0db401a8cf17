#pragma once

#include "libserving/instant.h"
#include "libserving/records.h"

#include <map>
#include <memory>
#include <set>

namespace eelgrasslift {

struct ReplicaSettings
{
    /// The slot must be unique in the fleet, and incarnation greater than 0.
    ReplicaIdentity identity;
    std::string domain;
    uint32_t entriesPerDomain = DefaultEntriesPerDomain;
    /// Claims beyond this number of records are not granted.
    size_t maxRecords = 2'000'000;
};

/// Idempotency records kept by one entry for its failure domain and for the fleet.
///
/// A new process grants nothing until it has registered with a cover of its group (see coverOf). If all of
/// these were full, it is full too, because it has read every record that its predecessor can have helped to
/// grant. Otherwise it is recovering and grants only UUIDv7 keys that are younger than its registration.
class IdempotencyReplica
{
public:
    explicit IdempotencyReplica(ReplicaSettings settings);

    /// Ownership, scope and retention follow these rules. Without rules every claim is answered NotOwner.
    void setRules(std::shared_ptr<const AcceptedRules> rules);

    RecordReply claim(const ClaimRequest &request, const Instant &instant);
    RecordReply resolve(const ResolveRequest &request, const Instant &instant);
    RecordReply lookup(const LookupRequest &request, const Instant &instant);
    ReadRecordsReply readRecords(const ReadRecordsRequest &request, const Instant &instant);

    /// The request to send to every other live entry of the scope's group, periodically, until it is full.
    /// Nothing once it is.
    std::optional<ReadRecordsRequest> recoveryRequest(RecordScope scope, const Instant &instant);
    void handleReadReply(const ReadRecordsReply &reply, const Instant &instant);

    bool isRegistered(RecordScope scope) const { return this->membership(scope).isRegistered; }
    bool isRecovered(RecordScope scope) const
    {
        return this->membership(scope).isRecovered && !this->isSuperseded;
    }
    /// A successor holds this slot: this process grants nothing any more and should be restarted.
    bool isReplaced() const { return this->isSuperseded; }
    const ReplicaIdentity &identity() const { return this->settings.identity; }
    size_t recordCount() const { return this->records.size(); }

    /// Drops records whose retention has ended; to be called about once per minute.
    void expire(const Instant &instant);

private:
    struct Membership
    {
        bool isRegistered = false;
        bool isRecovered = false;
        /// Grants of the predecessor after this moment count nowhere.
        Instant registeredAt;
        std::set<SlotId> registeredWith;
        std::set<SlotId> readFull;
    };
    struct Entry
    {
        Record record;
        /// Whether this process granted the record's claim, rather than copied the record from another.
        bool isGrantedHere = false;
    };

    const Membership &membership(RecordScope scope) const;
    Membership &membership(RecordScope scope);
    void advanceMembership(RecordScope scope, const Instant &instant);
    RecordScope scopeOf(const RecordKey &key) const;
    Duration keepOf(const RecordKey &key) const;
    uint32_t groupSize(RecordScope scope) const;
    bool isOwner(const RecordKey &key) const;
    bool isTimely(const RecordKey &key, const Instant &instant) const;
    bool knowsAbsence(const RecordKey &key, const Instant &instant) const;
    bool mayGrant(const RecordKey &key, const Instant &instant) const;
    bool isExpired(const Record &record, const Instant &instant) const;
    Entry *find(const RecordKey &key, const Instant &instant);
    RecordReply grant(const ClaimRequest &request, const Instant &instant);
    RecordReply claimKnown(Entry &entry, const ClaimRequest &request, const Instant &instant);
    RecordReply reply(RecordVerdict verdict, const Record *record = nullptr) const;
    std::vector<ReplicaIdentity> knownSuccessors() const;
    void noteProcess(const ReplicaIdentity &process);

    ReplicaSettings settings;
    std::shared_ptr<const AcceptedRules> rules;
    bool isSuperseded = false;
    Membership domainMembership;
    Membership fleetMembership;
    std::map<RecordKey, Entry> records;
    /// The newest process known in each other slot.
    std::map<SlotId, uint64_t> processes;
};

} // namespace eelgrasslift
