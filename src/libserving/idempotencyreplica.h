#pragma once

#include "libserving/instant.h"
#include "libserving/records.h"

#include <map>
#include <memory>
#include <set>

namespace eelgrasslift {

struct ReplicaSettings
{
    /// The slot must be unique in the fleet, and the incarnation greater than 0.
    ReplicaIdentity identity;
    /// Failure domain of this entry.
    std::string domain;
    uint32_t entriesPerDomain = DefaultEntriesPerDomain;
    /// At this number of records, claims on further keys are not granted.
    size_t maxRecords = 2'000'000;
};

/// Replica of the idempotency records in one entry, for its failure domain and for the fleet (the two
/// scopes).
///
/// The records are in memory only, so a new process has to recover them from the other replicas: it registers
/// with a read quorum of its group (see readQuorumOf()) and reads their records. Before that it grants
/// nothing. Once it has read the records of a read quorum of recovered replicas, it has recovered too,
/// because it has every record of a claim that its predecessor granted. Until then it grants only UUIDv7 keys
/// that are younger than its registration, or any key after the retention of all older records has ended.
///
/// Performs no I/O: the owner passes the requests of other entries in and sends the replies.
class IdempotencyReplica
{
public:
    explicit IdempotencyReplica(ReplicaSettings settings);

    /// Sets the rules that determine ownership, scope and retention. Without rules the verdict of every
    /// request is NotOwner.
    void setRules(std::shared_ptr<const AcceptedRules> rules);

    /// Grants the key to the claim if no other claim holds it.
    RecordReply claim(const ClaimRequest &request, const Instant &instant);
    /// Merges the outcome of a claim into the record of its key and replies with the result.
    RecordReply resolve(const ResolveRequest &request, const Instant &instant);
    /// Replies with the record of a key (Held), that certainly no claim holds it (Absent), or that the
    /// replica cannot tell (Abstain).
    RecordReply lookup(const LookupRequest &request, const Instant &instant);
    /// Registers another replica that recovers, and replies with all records of the scope. A request by a
    /// newer process of this replica's own slot marks this process as replaced.
    ReadRecordsReply readRecords(const ReadRecordsRequest &request, const Instant &instant);

    /// Returns the request to send periodically to every other live entry of the scope's group; empty once
    /// this replica has recovered or was replaced, and without rules.
    std::optional<ReadRecordsRequest> recoveryRequest(RecordScope scope, const Instant &instant);
    /// Handles the reply to a recovery request. May raise this process's incarnation (see
    /// ReadRecordsReply::readerIncarnation) or mark it as replaced.
    void handleReadReply(const ReadRecordsReply &reply, const Instant &instant);

    /// Whether this process has registered with enough replicas of the scope's group to grant new keys.
    bool isRegistered(RecordScope scope) const { return this->recoveryState(scope).isRegistered; }
    /// Whether the records of the scope are complete, so that any key can be granted.
    bool isRecovered(RecordScope scope) const
    {
        return this->recoveryState(scope).isRecovered && !this->isSuperseded;
    }
    /// Whether a successor holds this slot. This process then grants nothing and has to be restarted.
    bool isReplaced() const { return this->isSuperseded; }
    const ReplicaIdentity &identity() const { return this->settings.identity; }
    /// Number of stored records, including expired ones that were not dropped yet.
    size_t recordCount() const { return this->records.size(); }

    /// Drops records whose retention has ended. To be called about once per minute.
    void expire(const Instant &instant);

private:
    struct RecoveryState
    {
        bool isRegistered = false;
        bool isRecovered = false;
        /// Grants that a predecessor gives after this time are not counted by any claim.
        Instant registeredAt;
        std::set<SlotId> registeredWith;
        /// Slots whose records were read and complete.
        std::set<SlotId> readFromRecovered;
    };
    struct StoredRecord
    {
        Record record;
        /// Whether this process granted the claim itself, instead of having copied the record from another
        /// replica.
        bool isGrantedByThisProcess = false;
    };

    const RecoveryState &recoveryState(RecordScope scope) const;
    RecoveryState &recoveryState(RecordScope scope);
    void advanceRecovery(RecordScope scope, const Instant &instant);
    RecordScope scopeOf(const RecordKey &key) const;
    Duration retentionOf(const RecordKey &key) const;
    uint32_t groupSize(RecordScope scope) const;
    bool isOwner(const RecordKey &key) const;
    bool isKeyTimeValid(const RecordKey &key, const Instant &instant) const;
    bool isAbsenceCertain(const RecordKey &key, const Instant &instant) const;
    bool mayGrant(const RecordKey &key, const Instant &instant) const;
    bool isExpired(const Record &record, const Instant &instant) const;
    StoredRecord *find(const RecordKey &key, const Instant &instant);
    RecordReply grant(const ClaimRequest &request, const Instant &instant);
    RecordReply claimExisting(StoredRecord &storedRecord, const ClaimRequest &request,
                              const Instant &instant);
    RecordReply reply(RecordVerdict verdict, const Record *record = nullptr) const;
    std::vector<ReplicaIdentity> otherProcesses() const;
    void updateIncarnation(const ReplicaIdentity &process);

    ReplicaSettings settings;
    std::shared_ptr<const AcceptedRules> rules;
    bool isSuperseded = false;
    RecoveryState domainRecovery;
    RecoveryState fleetRecovery;
    std::map<RecordKey, StoredRecord> records;
    /// Incarnation of the newest known process of each other slot.
    std::map<SlotId, uint64_t> newestIncarnations;
};

} // namespace eelgrasslift
