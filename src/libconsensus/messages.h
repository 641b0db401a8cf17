#pragma once

#include "libconsensus/types.h"
#include "libcore/core.h"

#include <variant>

namespace eelgrasslift::raft {

/// Asks a voter whether it would vote for the sender in a new election. Granting it changes no state.
struct PreVoteRequest
{
    Term term = 0; // the term in which the sender would be a candidate
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
    LogIndex membershipIndex = 0;
};

struct PreVoteReply
{
    Term term = 0; // the requested term if granted, else the term of the replying member
    bool isGranted = false;
};

/// Asks a voter for its vote. lastIndex, lastTerm and membershipIndex describe the log of the candidate.
struct VoteRequest
{
    Term term = 0;
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
    LogIndex membershipIndex = 0;
    bool isTransfer = false; // the leader requested this election and has released its lease
};

struct VoteReply
{
    Term term = 0;
    bool isGranted = false;
};

/// Replicates entries, or is a heartbeat if there are none. sentAt is the time on the leader's clock; the
/// reply returns it unchanged.
struct AppendRequest
{
    Term term = 0;
    LogIndex previousIndex = 0; // index and term of the entry before the first one in entries
    Term previousTerm = 0;
    LogIndex commitIndex = 0;
    TimePoint sentAt{};
    std::vector<LogEntry> entries;
};

/// Reply to an AppendRequest, and to the last chunk of a snapshot or one that is not needed.
struct AppendReply
{
    Term term = 0;
    bool isSuccess = false;
    LogIndex matchIndex = 0; // if successful: last synced index known to agree with the leader's log
    LogIndex nextIndex = 0;  // if not successful: index from which the leader should send entries next
    TimePoint sentAt{};
};

/// Part of a snapshot, sent by the leader to a member whose next entry has been compacted.
struct SnapshotChunk
{
    Term term = 0;
    LogIndex snapshotIndex = 0;
    Term snapshotTerm = 0;
    LogIndex membershipIndex = 0;
    Membership membership;
    uint64_t totalSize = 0; // bytes of snapshot data in all chunks together
    uint64_t offset = 0;    // position of data in the snapshot data, in bytes
    std::string data;
    TimePoint sentAt{};
};

/// Reply to a SnapshotChunk that does not complete the snapshot.
struct SnapshotReply
{
    Term term = 0;
    LogIndex snapshotIndex = 0;
    uint64_t nextOffset = 0; // bytes received so far
    TimePoint sentAt{};
};

/// Tells the target of a leadership transfer to start an election at once. Valid only in the sender's term.
struct TimeoutNow
{
    Term term = 0;
};

/// Requests that the sender be added as a learner at the envelope's fromAddress.
struct JoinRequest
{};

/// Result of a JoinRequest. Busy: another membership change is in progress or the change is not allowed now.
enum class JoinStatus : uint8_t { Accepted = 1, NotLeader = 2, Busy = 3, ForeignCluster = 4 };

/// Reply to a JoinRequest. The sender of the request retries at leaderAddress.
struct JoinReply
{
    JoinStatus status = JoinStatus::Busy;
    std::string leaderAddress; // empty if unknown
};

using Message = std::variant<PreVoteRequest, PreVoteReply, VoteRequest, VoteReply, AppendRequest, AppendReply,
                             SnapshotChunk, SnapshotReply, TimeoutNow, JoinRequest, JoinReply>;

/// Message with its sender and receiver. clusterId is all zeros if the sender has not joined a cluster yet.
/// to is 0 in a JoinRequest, since its sender does not know the id of the member at the address.
struct Envelope
{
    ClusterId clusterId{};
    MemberId from = 0;
    MemberId to = 0;
    std::string fromAddress;
    Message message;
};

} // namespace eelgrasslift::raft
