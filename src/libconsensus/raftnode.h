#pragma once

#include "libconsensus/raftlog.h"

#include <map>
#include <set>

namespace eelgrasslift {

struct RaftSettings
{
    Duration heartbeatInterval = std::chrono::milliseconds{100};
    Duration electionTimeoutMin = std::chrono::milliseconds{600};
    Duration electionTimeoutMax = std::chrono::milliseconds{1200};
    /// Shorter than electionTimeoutMin: voters refuse other candidates for that long after a heartbeat.
    Duration leaseDuration = std::chrono::milliseconds{500};
    /// Part of the lease that is given up for clocks that run at different rates.
    uint32_t clockDriftPercent = 10;
    /// An unanswered append with entries or snapshot chunk is sent again after this time.
    Duration retransmitInterval = std::chrono::milliseconds{300};
    Duration joinInterval = std::chrono::milliseconds{500};
    LogIndex snapshotEntries = 1000;
    size_t snapshotBytes = size_t{4} << 20;
    /// Entries before a snapshot that stay in memory for members slightly behind.
    size_t retainedEntries = 100;
    size_t retainedBytes = size_t{4} << 20;
    size_t snapshotChunkBytes = size_t{64} << 10;
    size_t maxAppendBytes = size_t{256} << 10;
    size_t maxCommandBytes = size_t{2} << 20;
    size_t maxPendingRequests = 1024;
    size_t maxVoters = 7;
    /// A voter that is silent for this long is replaced by a learner that has caught up; nothing: operators
    /// remove voters.
    std::optional<Duration> unresponsiveVoterTimeout;
    /// Addresses that a member without a cluster asks for admission, and one that was removed while it was
    /// away.
    std::vector<std::string> joinAddresses;
};

enum class RaftRole { Learner, Follower, PreCandidate, Candidate, Leader };

std::string_view toString(RaftRole role);

struct RaftMemberStatus
{
    MemberId id = 0;
    std::string address;
    bool isVoter = false;
    bool isLive = false;      // known to the leader only
    LogIndex matchIndex = 0;  // known to the leader only
    bool hasCaughtUp = false; // known to the leader only
};

struct RaftStatus
{
    Identity identity;
    RaftRole role = RaftRole::Learner;
    Term term = 0;
    MemberId leader = 0;
    std::string leaderAddress;
    bool hasLease = false;
    TimePoint leaderSince{}; // valid in role Leader
    LogIndex commitIndex = 0;
    LogIndex lastIndex = 0;
    LogIndex snapshotIndex = 0;
    LogIndex membershipIndex = 0;
    uint64_t foreignMessages = 0; // dropped: another cluster or another member id
    std::vector<RaftMemberStatus> members;
};

/// One member of the Raft group. It has no clock, sockets, threads or storage of its own: handle() takes
/// an event with the time of its owner's monotonic clock and returns actions to execute in order.
class RaftNode
{
public:
    RaftNode(RaftSettings settings, std::string address, const RecoveredState &recovered, uint64_t seed,
             TimePoint now);

    /// Actions to execute before the first event.
    raft::Actions start() const;
    raft::Actions handle(const raft::Event &event, TimePoint now);

    RaftRole role() const;
    Term term() const { return this->hardState.term; }
    MemberId id() const { return this->identity.memberId; }
    LogIndex commitIndex() const { return this->committed; }
    const RaftLog &log() const { return this->raftLog; }
    std::string leaderAddress() const { return this->addressOf(this->leader); }
    MemberId leaderId() const { return this->leader; }

    /// Whether no other member can be elected before the lease ends, by this member's clock.
    bool hasLease(TimePoint now) const;
    RaftStatus status(TimePoint now) const;

private:
    struct SnapshotTransfer
    {
        SnapshotPointer snapshot;
        uint64_t offset = 0;
    };

    struct Progress
    {
        LogIndex next = 1;
        LogIndex match = 0;
        std::optional<TimePoint> ackedSentAt; // send time of the latest heartbeat that was answered
        std::optional<TimePoint> lastHeard;
        TimePoint lastSent{};
        bool isAwaitingReply = false;
        LogIndex sentUpTo = 0;
        std::optional<SnapshotTransfer> transfer;
        // Catch-up round: the commit index when it began, and its start.
        LogIndex roundTarget = 0;
        TimePoint roundStart{};
        bool hasCaughtUp = false;
    };

    struct Transfer
    {
        raft::RequestId request = 0;
        MemberId target = 0;
        TimePoint deadline{};
        bool isSent = false;
    };

    struct Pending
    {
        raft::RequestId request = 0;
        Term term = 0;
    };

    struct IncomingSnapshot
    {
        LogIndex index = 0;
        Term term = 0;
        std::string data;
    };

    // Dispatch.
    void onEvent(const raft::Tick &);
    void onEvent(const raft::Receive &event);
    void onEvent(const raft::Propose &event);
    void onEvent(const raft::ConfirmLeadership &event);
    void onEvent(const raft::ChangeMembership &event);
    void onEvent(const raft::TransferLeadership &event);
    void onEvent(const raft::SnapshotTaken &event);
    bool acceptsEnvelope(const raft::Envelope &envelope) const;
    void tickLeader();

    // Elections.
    void onMessage(MemberId from, const raft::PreVoteRequest &request);
    void onMessage(MemberId from, const raft::PreVoteReply &reply);
    void onMessage(MemberId from, const raft::VoteRequest &request);
    void onMessage(MemberId from, const raft::VoteReply &reply);
    void onMessage(MemberId from, const raft::TimeoutNow &message);
    void startPreVote();
    void startElection(bool isTransfer);
    void becomeLeader();
    void becomeFollower(Term newTerm, MemberId newLeader);
    void followLeader(Term leaderTerm, MemberId newLeader);
    bool isStale(Term leaderTerm) const;
    void resetElectionDeadline();
    bool heardFromLeader() const;
    bool isUpToDate(LogIndex lastIndex, Term lastTerm) const;
    bool mayVote(LogIndex membershipIndex) const;
    bool hasMajority(const std::set<MemberId> &supporters) const;
    void storeHardState();

    // Replication.
    void onMessage(MemberId from, const raft::AppendRequest &request);
    void onMessage(MemberId from, const raft::AppendReply &reply);
    bool agreesWith(MemberId from, const raft::AppendRequest &request);
    void appendReceived(const raft::AppendRequest &request);
    void appendAsLeader(EntryKind kind, std::string payload, raft::RequestId request);
    void replicateTo(MemberId peer, bool isHeartbeat);
    void broadcast(bool isHeartbeat);
    void noteReply(Progress &progress, TimePoint sentAt) const;
    void advanceCommit();
    void commitTo(LogIndex index);
    void applyEntry(const LogEntry &entry);
    std::optional<TimePoint> leaseStart() const;
    bool hasCommittedInTerm() const;
    std::optional<raft::RequestError> refusal() const;
    void failPending(raft::RequestErrorKind kind);

    // Snapshots.
    void onMessage(MemberId from, const raft::SnapshotChunk &chunk);
    void onMessage(MemberId from, const raft::SnapshotReply &reply);
    void sendChunk(MemberId peer, Progress &progress);
    void installReceived(const raft::SnapshotChunk &chunk);
    void requestSnapshotIfDue();

    // Membership and transfer.
    void onMessage(MemberId from, const raft::JoinRequest &request);
    void onMessage(MemberId from, const raft::JoinReply &reply);
    void askToJoin();
    bool isJoining() const;
    bool mayHaveBeenRemoved() const;
    void changeMembership(const raft::MembershipChange &change, raft::RequestId request);
    Result<Membership, raft::RequestErrorKind> plan(const raft::MembershipChange &change) const;
    std::optional<raft::RequestErrorKind> checkChange(const Membership &next) const;
    void updateCatchUp(Progress &progress);
    void advanceMembership();
    std::optional<raft::MembershipChange> nextAutomaticChange() const;
    std::optional<MemberId> silentVoterToReplace() const;
    void continueTransfer();
    void endTransfer(std::optional<raft::RequestErrorKind> error);
    void syncProgressWithMembership();
    bool isLive(MemberId member) const;

    // Output.
    void send(MemberId to, raft::Message message);
    void sendTo(const std::string &to, MemberId member, raft::Message message);
    void answer(raft::RequestId request, Result<LogIndex, raft::RequestError> result);
    void refuse(raft::RequestId request, raft::RequestErrorKind kind);
    void ensureSynced();

    std::string addressOf(MemberId member) const;
    bool isVoter(MemberId member) const;

    RaftSettings settings;
    std::string address;
    Identity identity;
    Random random;
    RaftLog raftLog;
    HardState hardState;

    TimePoint now{};
    raft::Actions actions;
    bool needsSync = false;

    RaftRole state = RaftRole::Follower;
    MemberId leader = 0;
    LogIndex committed = 0;
    /// Sender of the message in hand; its address may not be in the membership yet.
    MemberId sender = 0;
    std::string senderAddress;
    std::string lastLeaderAddress;
    TimePoint heardAt{};
    TimePoint electionDeadline{};
    std::set<MemberId> votes;
    std::optional<IncomingSnapshot> incoming;
    bool isTakingSnapshot = false;

    // Leader only.
    std::map<MemberId, Progress> peers;
    std::map<LogIndex, Pending> pending;
    std::optional<Transfer> transfer;
    bool isLeaseGivenUp = false;
    LogIndex termStartIndex = 0;
    TimePoint leaderSince{};
    TimePoint lastBroadcast{};

    // Joining only.
    TimePoint nextJoin{};
    size_t joinAttempt = 0;
    std::string joinHint;

    uint64_t foreignMessages = 0;
};

} // namespace eelgrasslift
