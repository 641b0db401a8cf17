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
    RecordReply lookup(const LookupRequest &request, const Instant &instant) const;
    ReadRecordsReply readRecords(const ReadRecordsRequest &request, const Instant &instant);

    /// The request to send to every other live entry of the scope's group, periodically, until full. Nothing
    /// once the replica is full.
    std::optional<ReadRecordsRequest> recoveryRequest(RecordScope scope, const Instant &instant) const;
    void recordsRead(const ReadRecordsReply &reply, const Instant &instant);

    bool isRegistered(RecordScope scope) const;
    bool isFull(RecordScope scope) const;
    const ReplicaIdentity &identity() const { return this->settings.identity; }
    size_t recordCount() const { return this->records.size(); }

    /// Drops records whose retention has ended; to be called about once per minute.
    void expire(const Instant &instant);

private:
    struct Membership
    {
        bool isRegistered = false;
        bool isFull = false;
        /// Wall time of the registration: the predecessor granted nothing that still counts after it.
        WallTime registeredAt{};
        std::set<SlotId> registeredWith;
        std::set<SlotId> readFull;
    };

    const Membership &membership(RecordScope scope) const;
    Membership &membership(RecordScope scope);
    RecordScope scopeOf(const RecordKey &key) const;
    Duration retention(const RecordKey &key) const;
    uint32_t groupSize(RecordScope scope) const;
    bool isOwner(const RecordKey &key) const;
    bool mayGrant(const RecordKey &key, const Instant &instant) const;
    bool knowsAbsence(const RecordKey &key, const Instant &instant) const;
    void merge(const Record &record);
    RecordReply reply(RecordVerdict verdict, const Record *record = nullptr) const;
    void adoptIncarnation(uint64_t incarnation);

    ReplicaSettings settings;
    std::shared_ptr<const AcceptedRules> rules;
    Membership domainMembership;
    Membership fleetMembership;
    std::map<RecordKey, Record> records;
    std::map<SlotId, uint64_t> successors;
};

} // namespace eelgrasslift
