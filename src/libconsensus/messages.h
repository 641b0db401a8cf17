#pragma once

#include "libconsensus/types.h"
#include "libcore/core.h"

#include <variant>

namespace eelgrasslift::raft {

struct PreVoteRequest
{
    Term term = 0; // the term that the sender would campaign in
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
    LogIndex membershipIndex = 0;
};

struct PreVoteReply
{
    Term term = 0; // the requested term if granted, else the term of the sender
    bool isGranted = false;
};

struct VoteRequest
{
    Term term = 0;
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
    LogIndex membershipIndex = 0;
    bool isTransfer = false; // the leader asked for this election and has given up its lease
};

struct VoteReply
{
    Term term = 0;
    bool isGranted = false;
};

/// Heartbeat and replication. sentAt is the leader's clock and comes back unchanged in the reply.
struct AppendRequest
{
    Term term = 0;
    LogIndex previousIndex = 0;
    Term previousTerm = 0;
    LogIndex commitIndex = 0;
    TimePoint sentAt{};
    std::vector<LogEntry> entries;
};

struct AppendReply
{
    Term term = 0;
    bool isSuccess = false;
    LogIndex matchIndex = 0; // last synced index that agrees with the leader, if successful
    LogIndex nextIndex = 0;  // where the leader should continue, if not successful
    TimePoint sentAt{};
};

struct SnapshotChunk
{
    Term term = 0;
    LogIndex snapshotIndex = 0;
    Term snapshotTerm = 0;
    LogIndex membershipIndex = 0;
    Membership membership;
    uint64_t totalSize = 0;
    uint64_t offset = 0;
    std::string data;
    TimePoint sentAt{};
};

struct SnapshotReply
{
    Term term = 0;
    LogIndex snapshotIndex = 0;
    uint64_t nextOffset = 0;
    TimePoint sentAt{};
};

/// Asks the receiver to campaign at once. Valid only in the sender's term.
struct TimeoutNow
{
    Term term = 0;
};

/// Asks for admission as a learner at the envelope's fromAddress.
struct JoinRequest
{};

enum class JoinStatus : uint8_t { Accepted = 1, NotLeader = 2, Busy = 3, ForeignCluster = 4 };

struct JoinReply
{
    JoinStatus status = JoinStatus::Busy;
    std::string leaderAddress; // empty if unknown
};

using Message = std::variant<PreVoteRequest, PreVoteReply, VoteRequest, VoteReply, AppendRequest, AppendReply,
                             SnapshotChunk, SnapshotReply, TimeoutNow, JoinRequest, JoinReply>;

/// to is 0 in a JoinRequest: the sender does not know the id of the member at the address.
struct Envelope
{
    ClusterId clusterId{};
    MemberId from = 0;
    MemberId to = 0;
    std::string fromAddress;
    Message message;
};

} // namespace eelgrasslift::raft
