#pragma once

#include "libconsensus/messages.h"

#include <string_view>

namespace eelgrasslift::raft {

/// Identifies a request of the owner in the Answer action.
using RequestId = uint64_t;

enum class RequestErrorKind {
    NotLeader,          // nothing was proposed; leaderAddress names the leader if it is known
    NoLease,            // this member leads but cannot prove it now; nothing was proposed
    NotReady,           // the new leader has not committed an entry of its own term yet
    TransferInProgress, // leadership is moving; nothing was proposed
    ChangeInProgress,   // another membership change is not committed yet
    UnknownMember,
    AlreadyMember,
    NotCaughtUp,       // the learner's synced log is too far behind
    WouldLoseMajority, // the live voters would be fewer than a majority after the change
    TooManyVoters,
    IsLeader,       // transfer leadership before removing the leader
    TooLarge,       // the command exceeds maxCommandBytes
    Overloaded,     // too many proposals are waiting
    OutcomeUnknown, // leadership was lost after the append: the entry may or may not survive
    TransferFailed, // the target did not take over in time
    ShutDown        // the replicator stops; an appended entry may survive
};

std::string_view toString(RequestErrorKind kind);

struct RequestError
{
    RequestErrorKind kind = RequestErrorKind::NotLeader;
    std::string leaderAddress;
};

// Membership changes.
struct AddLearner
{
    MemberId id = 0;
    std::string address;
};

struct PromoteLearner
{
    MemberId id = 0;
};

struct RemoveMember
{
    MemberId id = 0;
};

using MembershipChange = std::variant<AddLearner, PromoteLearner, RemoveMember>;

// Events.
struct Tick
{};

struct Receive
{
    Envelope envelope;
};

struct Propose
{
    RequestId request = 0;
    std::string command;
};

/// Asks for proof that this member leads now and that its applied state has every committed entry.
struct ConfirmLeadership
{
    RequestId request = 0;
};

struct ChangeMembership
{
    RequestId request = 0;
    MembershipChange change;
};

struct TransferLeadership
{
    RequestId request = 0;
    MemberId target = 0; // 0: the live voter with the longest log
};

/// Answer of the owner to TakeSnapshot.
struct SnapshotTaken
{
    LogIndex index = 0;
    std::string data;
};

using Event = std::variant<Tick, Receive, Propose, ConfirmLeadership, ChangeMembership, TransferLeadership,
                           SnapshotTaken>;

// Actions. The owner executes them in order.
struct StoreHardState
{
    HardState state;
};

/// An entry replaces stored entries with its index and all after it.
struct StoreEntries
{
    std::vector<LogEntry> entries;
};

/// Replaces the stored log: the state is the snapshot, the hard state and the entries that follow.
struct StoreSnapshot
{
    SnapshotPointer snapshot;
    HardState state;
    std::vector<LogEntry> following;
};

struct StoreClusterId
{
    ClusterId clusterId{};
};

/// Everything stored before must be durable before the next action is executed.
struct SyncStorage
{};

struct Send
{
    std::string address;
    Envelope envelope;
};

struct Apply
{
    LogIndex index = 0;
    std::string command;
};

struct RestoreState
{
    SnapshotPointer snapshot;
};

/// Asks the owner for the state after the entry at index; answered with SnapshotTaken.
struct TakeSnapshot
{
    LogIndex index = 0;
};

/// The value is the committed index of a proposal or change, or the read index of a confirmation.
struct Answer
{
    RequestId request = 0;
    Result<LogIndex, RequestError> result;
};

/// Another cluster refused this member's JoinRequest.
struct JoinRejected
{};

using Action = std::variant<StoreHardState, StoreEntries, StoreSnapshot, StoreClusterId, SyncStorage, Send,
                            Apply, RestoreState, TakeSnapshot, Answer, JoinRejected>;
using Actions = std::vector<Action>;

} // namespace eelgrasslift::raft
