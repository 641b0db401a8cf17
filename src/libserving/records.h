#pragma once

#include "libcore/digest.h"
#include "libcore/time.h"
#include "librules/ruleset.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

// Messages between entries about idempotency records; they map one to one to proto/peer.proto.

namespace eelgrasslift {

/// A fixed place in the group of entries that keep records, for example "trakiya/0". A replaced entry takes
/// over the slot of its predecessor with empty memory.
using SlotId = std::string;

/// One process in a slot. A successor has a greater incarnation than every predecessor in the same slot.
struct ReplicaIdentity
{
    SlotId slot;
    uint64_t incarnation = 0;
    bool operator==(const ReplicaIdentity &) const = default;
};

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

enum class RecordState { Claimed, Ran, NotRun, Unknown };

/// The largest answer that a record keeps; a larger one is reported as ran without its answer.
inline constexpr size_t MaxRecordedResponseBytes = size_t{64} * 1024;

struct Record
{
    RecordKey key;
    Sha256 bodyHash{};
    RecordState state = RecordState::Claimed;
    std::string claimId;
    std::string claimant;
    WallTime claimedAt{};
    uint32_t status = 0;
    std::string contentType;
    std::string response;
    bool isResponseTruncated = false;
    bool operator==(const Record &) const = default;
};

enum class RecordVerdict {
    Granted,
    Held,
    /// The replica cannot know whether the key was claimed before, or its clock rejects the key's time.
    Abstain,
    BodyMismatch,
    Absent,
    NotOwner
};

struct ClaimRequest
{
    RecordKey key;
    Sha256 bodyHash{};
    std::string claimId;
    std::string claimant;
    uint64_t rulesVersion = 0;
};

struct ResolveRequest
{
    Record record;
};

struct LookupRequest
{
    RecordKey key;
};

struct RecordReply
{
    RecordVerdict verdict = RecordVerdict::Abstain;
    std::optional<Record> record;
    uint64_t rulesVersion = 0;
    ReplicaIdentity replica;
    /// Successors that registered with this replica. A grant by an older process in one of these slots does
    /// not count, because the successor may have read this replica's records before this reply.
    std::vector<ReplicaIdentity> knownProcesses;
};

/// Registers the reader as the current process in its slot and asks for the records of a scope.
struct ReadRecordsRequest
{
    ReplicaIdentity reader;
    RecordScope scope = RecordScope::Domain;
};

struct ReadRecordsReply
{
    ReplicaIdentity replica;
    RecordScope scope = RecordScope::Domain;
    /// Incarnation of the reader that was registered. Greater than the one asked for if a process in the
    /// reader's slot was already registered with an equal or greater one: the reader must adopt a greater
    /// one and register again.
    uint64_t readerIncarnation = 0;
    bool isReaderRegistered = false;
    bool isRecovered = false;
    /// Successors known to the replier; without them a second replacement would lose the first one's mark.
    std::vector<ReplicaIdentity> knownProcesses;
    std::vector<Record> records;
};

/// The slots that own a record. Counts are over the configured slots, never over the live ones.
struct OwnerGroup
{
    std::string name;
    /// Number of configured slots: the setting entries-per-domain (default 3), for records=fleet times the
    /// number of failure domains in the rule file.
    uint32_t size = 0;
    /// Slots of the group that have a live process now, at most size.
    std::vector<SlotId> slots;
};

inline constexpr uint32_t DefaultEntriesPerDomain = 3;

/// Smallest number of slots that intersects with every other set of that size.
constexpr uint32_t majorityOf(uint32_t size)
{
    return size / 2 + 1;
}

/// Smallest number of slots that intersects with every majority. The same number of other slots intersects
/// with every majority that contains one's own.
constexpr uint32_t readQuorumOf(uint32_t size)
{
    return size - majorityOf(size) + 1;
}

/// Furthest that a key's time may lie in the future of the clock that checks it. Clocks of two entries may
/// differ by as much.
inline constexpr Duration MaxClockSkew = std::chrono::seconds{2};

} // namespace eelgrasslift
