#pragma once

#include "libconsensus/messages.h"

#include <string_view>

namespace eelgrasslift::raft {

/// Id that the owner of a RaftNode gives to a request event; the Answer action carries the same id. 0 stands
/// for a change that the node starts itself, which gets no Answer.
using RequestId = uint64_t;

/// Reason why a Propose, ConfirmLeadership, ChangeMembership or TransferLeadership event failed.
enum class RequestErrorKind {
    NotLeader,          // nothing was proposed; leaderAddress is the current leader, empty if unknown
    NoLease,            // this member is the leader but has no valid lease; nothing was proposed
    NotReady,           // the new leader has not committed an entry of its own term yet
    TransferInProgress, // a leadership transfer is in progress; nothing was proposed
    ChangeInProgress,   // another membership change is not committed yet
    UnknownMember,      // no member (for a transfer: no voter) has this id
    AlreadyMember,      // the learner to add is a member, or the learner to promote is a voter
    NotCaughtUp,        // the learner's synced log is too far behind, or the learner is not live
    WouldLoseMajority,  // the live voters would be fewer than a majority after the change
    TooManyVoters,      // RaftSettings::maxVoters would be exceeded
    IsLeader,           // the leader cannot be removed; transfer leadership first
    TooLarge,           // the command exceeds RaftSettings::maxCommandBytes
    Overloaded,         // RaftSettings::maxPendingRequests entries are not committed yet
    OutcomeUnknown,     // leadership was lost after the append: the entry may still be committed
    TransferFailed,     // the target did not become leader in time
    ShutDown            // the replicator has stopped; an appended entry may still be committed
};

/// Returns the name used in answers to operators, such as "not-leader".
std::string_view toString(RequestErrorKind kind);

/// Failed result of a request event.
struct RequestError
{
    RequestErrorKind kind = RequestErrorKind::NotLeader;
    std::string leaderAddress; // where to retry; empty if unknown
};

/// Adds a member without a vote.
struct AddLearner
{
    MemberId id = 0;
    std::string address;
};

/// Makes a learner that has caught up a voter.
struct PromoteLearner
{
    MemberId id = 0;
};

/// Removes a learner or a voter other than the leader.
struct RemoveMember
{
    MemberId id = 0;
};

/// Change of a single member, so that majorities before and after it overlap.
using MembershipChange = std::variant<AddLearner, PromoteLearner, RemoveMember>;

// Events, the input of RaftNode::handle().

/// Periodic event that drives all timeouts.
struct Tick
{};

/// Delivers an envelope from the network.
struct Receive
{
    Envelope envelope;
};

/// Requests that a command be appended to the replicated log; answered once it is committed and applied here.
struct Propose
{
    RequestId request = 0;
    std::string command;
};

/// Requests proof, for a linearizable read, that this member is the leader and that its applied state
/// contains every committed entry.
struct ConfirmLeadership
{
    RequestId request = 0;
};

/// Requests a membership change; answered once it is committed.
struct ChangeMembership
{
    RequestId request = 0;
    MembershipChange change;
};

/// Requests that another voter become the leader; answered once a higher term is seen or the transfer has
/// failed.
struct TransferLeadership
{
    RequestId request = 0;
    MemberId target = 0; // 0: the live voter with the longest log
};

/// Response of the owner to TakeSnapshot: the serialized state after the entry at index.
struct SnapshotTaken
{
    LogIndex index = 0;
    std::string data;
};

using Event = std::variant<Tick, Receive, Propose, ConfirmLeadership, ChangeMembership, TransferLeadership,
                           SnapshotTaken>;

// Actions, the output of RaftNode::handle(). The owner executes them in order.

/// Stores the term and the vote.
struct StoreHardState
{
    HardState state;
};

/// Stores entries. An entry replaces the stored entries at its index and after it.
struct StoreEntries
{
    std::vector<LogEntry> entries;
};

/// Replaces everything stored but the identity by the snapshot, the hard state and the entries after the
/// snapshot.
struct StoreSnapshot
{
    SnapshotPointer snapshot;
    HardState state;
    std::vector<LogEntry> following;
};

/// Stores the id of the cluster that accepted this member.
struct StoreClusterId
{
    ClusterId clusterId{};
};

/// Makes everything stored before durable before the next action is executed.
struct SyncStorage
{};

/// Sends an envelope to the address. It may be lost, duplicated or reordered.
struct Send
{
    std::string address;
    Envelope envelope;
};

/// Applies a committed command to the owner's state.
struct Apply
{
    LogIndex index = 0;
    std::string command;
};

/// Replaces the owner's state by that of the snapshot.
struct RestoreState
{
    SnapshotPointer snapshot;
};

/// Requests a snapshot of the owner's state after the entry at index; the owner responds with SnapshotTaken.
struct TakeSnapshot
{
    LogIndex index = 0;
};

/// Ends a request event. On success the result is the index of the committed entry of a proposal or
/// membership change, or the commit index for a leadership confirmation or transfer.
struct Answer
{
    RequestId request = 0;
    Result<LogIndex, RequestError> result;
};

/// Reports that a member of another cluster rejected this member's JoinRequest.
struct JoinRejected
{};

using Action = std::variant<StoreHardState, StoreEntries, StoreSnapshot, StoreClusterId, SyncStorage, Send,
                            Apply, RestoreState, TakeSnapshot, Answer, JoinRejected>;
using Actions = std::vector<Action>;

} // namespace eelgrasslift::raft
