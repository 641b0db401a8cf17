#pragma once

#include "libcore/digest.h"
#include "libcore/time.h"
#include "librules/ruleset.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

// Idempotency records and the messages about them between entries, which map one to one to proto/peer.proto.

namespace eelgrasslift {

/// Name of a configured replica position in a failure domain, "<domain>/<number>", for example "trakiya/0".
/// The successor of a replaced entry takes over its slot, with empty memory.
using SlotId = std::string;

/// Identifies one process in a slot. A successor has a greater incarnation than all predecessors in its slot.
struct ReplicaIdentity
{
    SlotId slot;
    uint64_t incarnation = 0;
    bool operator==(const ReplicaIdentity &) const = default;
};

/// Identifies an idempotency record: a client account, a service and the caller's Idempotency-Key.
struct RecordKey
{
    std::string account;
    std::string service;
    std::string key;
    bool operator==(const RecordKey &) const = default;
    bool operator<(const RecordKey &other) const
    {
        return std::tie(this->account, this->service, this->key) <
               std::tie(other.account, other.service, other.key);
    }
};

/// Outcome of the request of a claim. Claimed: not known yet. Unknown: the request may have run.
enum class RecordState { Claimed, Ran, NotRun, Unknown };

/// Largest response body that a record stores. Of a larger one only the outcome, status and content type are
/// stored.
inline constexpr size_t MaxRecordedResponseBytes = size_t{64} * 1024;

/// Idempotency record: the claim that holds a key, its outcome and, if the request ran, its response.
struct Record
{
    RecordKey key;
    /// Hash of the request. A request with the same key and another hash is rejected.
    Sha256 bodyHash{};
    RecordState state = RecordState::Claimed;
    std::string claimId;
    /// Slot of the entry that made the claim.
    std::string claimant;
    /// Time of the claim, from which the retention counts.
    WallTime claimedAt{};
    /// HTTP status of the response.
    uint32_t status = 0;
    std::string contentType;
    std::string response;
    /// Whether the response exceeded MaxRecordedResponseBytes and was not stored.
    bool isResponseTruncated = false;
    bool operator==(const Record &) const = default;
};

/// Result of a request to a replica.
enum class RecordVerdict {
    /// The claim holds the key at this replica, or the outcome was merged into its record.
    Granted,
    /// Another claim holds the key, or this claim already has an outcome. The reply contains the record.
    Held,
    /// The replica cannot grant the key: it cannot rule out that the key was claimed before, rejects the time
    /// in the
    /// key, has reached its maximum of records, or was replaced.
    Abstain,
    /// The key was claimed by a request with another body hash.
    BodyMismatch,
    /// Certainly no claim holds the key at this replica.
    Absent,
    /// The rules do not assign the records of the account to this replica.
    NotOwner
};

/// Asks a replica to grant a key to a claim.
struct ClaimRequest
{
    RecordKey key;
    Sha256 bodyHash{};
    std::string claimId;
    std::string claimant;
    uint64_t rulesVersion = 0;
};

/// Sends the outcome of a claim to a replica.
struct ResolveRequest
{
    Record record;
};

/// Asks a replica for the record of a key, without a claim.
struct LookupRequest
{
    RecordKey key;
};

/// Reply of a replica to a claim, resolve or lookup request.
struct RecordReply
{
    RecordVerdict verdict = RecordVerdict::Abstain;
    std::optional<Record> record;
    /// Version of the rules that the replica applied; 0 if it has none.
    uint64_t rulesVersion = 0;
    /// The replying process.
    ReplicaIdentity replica;
    /// Newest known process of each other slot. A grant by an older process of such a slot
    /// does not count: its successor may have read this replica's records before they contained the claim.
    std::vector<ReplicaIdentity> knownProcesses;
};

/// Registers the reader as the current process of its slot and requests all records of a scope, for recovery.
struct ReadRecordsRequest
{
    ReplicaIdentity reader;
    RecordScope scope = RecordScope::Domain;
};

/// Reply of a replica to a ReadRecordsRequest.
struct ReadRecordsReply
{
    /// The replying process.
    ReplicaIdentity replica;
    RecordScope scope = RecordScope::Domain;
    /// Incarnation of the reader, if it was registered. Otherwise the incarnation of the process that holds
    /// the reader's slot already: the reader must choose a greater one and register again.
    uint64_t readerIncarnation = 0;
    bool isReaderRegistered = false;
    /// Whether the replying replica has recovered, so that its records are complete.
    bool isRecovered = false;
    /// Newest known process of each other slot. Without them, a replica that is replaced
    /// itself would count grants of processes that were replaced before.
    std::vector<ReplicaIdentity> knownProcesses;
    std::vector<Record> records;
};

/// A group of slots that replicate the records of an account. Quorums are computed from the configured slots,
/// never from the live ones.
struct OwnerGroup
{
    /// Failure domain, or "fleet".
    std::string name;
    /// Number of configured slots: the setting entries-per-domain, multiplied by the number of failure
    /// domains in the rule file for records=fleet.
    uint32_t size = 0;
    /// Slots that have a live process now, at most size.
    std::vector<SlotId> slots;
};

/// Default of the setting entries-per-domain.
inline constexpr uint32_t DefaultEntriesPerDomain = 3;

/// Smallest number of slots of which any two sets intersect. A claim needs the grants of that many.
constexpr uint32_t majorityOf(uint32_t size)
{
    return size / 2 + 1;
}

/// Smallest number of slots that intersects every majority. As many other slots also intersect every majority
/// that contains one's own slot.
constexpr uint32_t readQuorumOf(uint32_t size)
{
    return size - majorityOf(size) + 1;
}

/// Maximum difference between the wall clocks of two entries, and therefore the furthest that the time in a
/// key may lie ahead of the clock that checks it.
inline constexpr Duration MaxClockSkew = std::chrono::seconds{2};

} // namespace eelgrasslift
