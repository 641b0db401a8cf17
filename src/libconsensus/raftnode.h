#pragma once

#include "libconsensus/raftlog.h"

#include <map>
#include <set>

namespace eelgrasslift {

/// Timing and limits of one RaftNode. leaseDuration and electionTimeoutMin must be the same in all members,
/// since the lease of a leader relies on the election timeouts of the voters.
struct RaftSettings
{
    /// Interval at which the leader sends an AppendRequest to every member.
    Duration heartbeatInterval = std::chrono::milliseconds{100};
    /// A voter starts an election after a random time between these bounds without contact with a leader. A
    /// leader steps down after the upper bound without contact with a majority, and regards a member as live
    /// for the lower bound after its last reply.
    Duration electionTimeoutMin = std::chrono::milliseconds{600};
    Duration electionTimeoutMax = std::chrono::milliseconds{1200};
    /// How long a leader may serve requests after the send time of the latest heartbeat that a majority
    /// acknowledged. Must be shorter than electionTimeoutMin, for which voters ignore other candidates after
    /// a heartbeat.
    Duration leaseDuration = std::chrono::milliseconds{500};
    /// Part of leaseDuration that the leader leaves unused, to allow for clocks that run at different rates.
    uint32_t clockDriftPercent = 10;
    /// An AppendRequest with entries or a SnapshotChunk is sent again after this time without a reply.
    Duration retransmitInterval = std::chrono::milliseconds{300};
    /// Interval between the JoinRequests of a member.
    Duration joinInterval = std::chrono::milliseconds{500};
    /// A snapshot is taken after this number of entries or bytes of payload since the last one.
    LogIndex snapshotEntries = 1000;
    size_t snapshotBytes = size_t{4} << 20;
    /// Limits of the entries before a snapshot that are retained in memory, so that members slightly behind
    /// need no snapshot.
    size_t retainedEntries = 100;
    size_t retainedBytes = size_t{4} << 20;
    /// Size limit of the data in one SnapshotChunk.
    size_t snapshotChunkBytes = size_t{64} << 10;
    /// Size limit of the payloads in one AppendRequest; a single larger entry is sent alone.
    size_t maxAppendBytes = size_t{256} << 10;
    /// Size limit of one proposed command.
    size_t maxCommandBytes = size_t{2} << 20;
    /// The leader rejects proposals with Overloaded while this number of its entries is not committed.
    size_t maxPendingRequests = 1024;
    /// Learners are not promoted while the cluster has this number of voters.
    size_t maxVoters = 7;
    /// A voter without contact with the leader for this long is removed if the cluster has maxVoters voters
    /// and a learner that has caught up can replace it. If not set, only operators remove such voters.
    std::optional<Duration> unresponsiveVoterTimeout;
    /// Addresses to which a member sends JoinRequests, in turn with those of the members that it knows, while
    /// it is not part of a cluster or is a learner without leader contact. With unresponsiveVoterTimeout, a
    /// voter without leader contact sends them too, since it may have been removed during an outage.
    std::vector<std::string> joinAddresses;
};

/// Role of a member. A PreCandidate asks for pre-votes before it raises its term as a Candidate.
enum class RaftRole { Learner, Follower, PreCandidate, Candidate, Leader };

/// Returns the name used in the state dump, such as "pre-candidate".
std::string_view toString(RaftRole role);

/// One member of the cluster as seen by the reporting member, for the state dump.
struct RaftMemberStatus
{
    MemberId id = 0;
    std::string address;
    bool isVoter = false;
    bool isLive = false;      // had contact within electionTimeoutMin; known to the leader only
    LogIndex matchIndex = 0;  // last index synced by the member; known to the leader only
    bool hasCaughtUp = false; // a voter, or a learner close enough to be promoted; known to the leader only
};

/// State of one member, for the state dump and metrics.
struct RaftStatus
{
    Identity identity;
    RaftRole role = RaftRole::Learner;
    Term term = 0;
    MemberId leader = 0;       // 0 if unknown
    std::string leaderAddress; // empty if unknown
    bool hasLease = false;
    TimePoint leaderSince{}; // valid in role Leader
    LogIndex commitIndex = 0;
    LogIndex lastIndex = 0;
    LogIndex snapshotIndex = 0;
    LogIndex membershipIndex = 0;
    uint64_t foreignMessages = 0; // messages rejected because they are for another cluster or member id
    std::vector<RaftMemberStatus> members;
};

/// Raft protocol of one cluster member as a deterministic state machine, without a clock, sockets, threads or
/// storage. The owner passes each event with the time of its monotonic clock to handle() and executes the
/// returned actions in order. Not thread-safe.
///
/// The leader also changes the membership without a request: it adds members that send a JoinRequest as
/// learners, promotes learners that have caught up, and removes members that were replaced.
class RaftNode
{
public:
    /// address is the one at which other members reach this one, recovered the content of its storage; seed
    /// randomises the election timeouts.
    RaftNode(RaftSettings settings, std::string address, const RecoveredState &recovered, uint64_t seed,
             TimePoint now);

    /// Returns the actions to execute before the first event: restoring the state from the snapshot, if there
    /// is one.
    raft::Actions start() const;

    /// Processes one event and returns the actions that it causes. now is the owner's monotonic clock; an
    /// earlier time than in the last call counts as that time.
    raft::Actions handle(const raft::Event &event, TimePoint now);

    /// Current role; Learner also for a member that has not joined a cluster yet.
    RaftRole role() const;
    Term term() const { return this->hardState.term; }
    MemberId id() const { return this->identity.memberId; }

    /// Index of the last entry that is known to be committed.
    LogIndex commitIndex() const { return this->committedIndex; }
    const RaftLog &log() const { return this->raftLog; }

    /// Address and id of the current leader; empty and 0 if unknown.
    std::string leaderAddress() const { return this->addressOf(this->leader); }
    MemberId leaderId() const { return this->leader; }

    /// Whether this member is the leader and holds its lease at the given time of its clock. Until the lease
    /// ends, no other member can be elected.
    bool hasLease(TimePoint now) const;

    /// Status at the given time, for the state dump and metrics.
    RaftStatus status(TimePoint now) const;

private:
    /// Snapshot that is being sent to a peer, and the offset of the next chunk.
    struct SnapshotTransfer
    {
        SnapshotPointer snapshot;
        uint64_t offset = 0;
    };

    /// Replication state of one peer, maintained by the leader.
    struct Progress
    {
        LogIndex next = 1;                    // first index to send
        LogIndex match = 0;                   // last index known to be synced by the peer
        std::optional<TimePoint> ackedSentAt; // send time of the latest request that the peer acknowledged
        std::optional<TimePoint> lastContact; // time of the latest reply
        TimePoint lastSentAt{};               // last time that entries or a snapshot chunk were sent
        bool isAwaitingReply = false;
        LogIndex sentUpTo = 0; // last index of the request that awaits a reply
        std::optional<SnapshotTransfer> snapshotTransfer;
        // A catch-up round replicates up to the commit index at its start. hasCaughtUp: the last round took
        // no longer than electionTimeoutMin.
        LogIndex roundTarget = 0;
        TimePoint roundStart{};
        bool hasCaughtUp = false;
    };

    /// Leadership transfer in progress. isSent: TimeoutNow was sent, so the target may start an election.
    struct LeadershipTransfer
    {
        raft::RequestId request = 0;
        MemberId target = 0;
        TimePoint deadline{};
        bool isSent = false;
    };

    /// Request whose entry is not committed yet, and the term of the entry.
    struct PendingRequest
    {
        raft::RequestId request = 0;
        Term term = 0;
    };

    /// Snapshot that is being received, with the data received so far.
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
    bool isStaleLeader(Term leaderTerm) const;
    void resetElectionDeadline();
    bool hasRecentLeaderContact() const;
    bool isCandidateUpToDate(LogIndex lastIndex, Term lastTerm) const;
    bool mayVote(LogIndex membershipIndex) const;
    bool hasMajority(const std::set<MemberId> &supporters) const;
    void storeHardState();

    // Replication.
    void onMessage(MemberId from, const raft::AppendRequest &request);
    void onMessage(MemberId from, const raft::AppendReply &reply);
    bool checkPreviousEntry(MemberId from, const raft::AppendRequest &request);
    void appendReceivedEntries(const raft::AppendRequest &request);
    void appendAsLeader(EntryKind kind, std::string payload, raft::RequestId request);
    void replicateTo(MemberId peer, bool isHeartbeat);
    void broadcast(bool isHeartbeat);
    void recordReply(Progress &progress, TimePoint sentAt) const;
    void advanceCommit();
    void commitTo(LogIndex index);
    void applyEntry(const LogEntry &entry);
    std::optional<TimePoint> leaseStart() const;
    bool hasCommittedInTerm() const;
    std::optional<raft::RequestError> rejectionReason() const;
    void failPendingRequests(raft::RequestErrorKind kind);

    // Snapshots.
    void onMessage(MemberId from, const raft::SnapshotChunk &chunk);
    void onMessage(MemberId from, const raft::SnapshotReply &reply);
    void sendSnapshotChunk(MemberId peer, Progress &progress);
    void installReceivedSnapshot(const raft::SnapshotChunk &chunk);
    void requestSnapshotIfDue();

    // Membership changes and leadership transfer.
    void onMessage(MemberId from, const raft::JoinRequest &request);
    void onMessage(MemberId from, const raft::JoinReply &reply);
    void sendJoinRequest();
    std::vector<std::string> addressesToJoin() const;
    bool needsToJoin() const;
    bool mayHaveBeenRemoved() const;
    void changeMembership(const raft::MembershipChange &change, raft::RequestId request);
    Result<Membership, raft::RequestErrorKind> membershipAfter(const raft::MembershipChange &change) const;
    std::optional<raft::RequestErrorKind> checkMembershipChange(const Membership &next) const;
    void updateCatchUp(Progress &progress);
    void startAutomaticChange();
    std::optional<raft::MembershipChange> nextAutomaticChange() const;
    std::optional<MemberId> unresponsiveVoterToReplace() const;
    void continueLeadershipTransfer();
    void endLeadershipTransfer(std::optional<raft::RequestErrorKind> error);
    void syncProgressWithMembership();
    bool isLive(MemberId member) const;

    // Output.
    void send(MemberId to, raft::Message message);
    void sendTo(const std::string &to, MemberId member, raft::Message message);
    void answer(raft::RequestId request, Result<LogIndex, raft::RequestError> result);
    void reject(raft::RequestId request, raft::RequestErrorKind kind);
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

    RaftRole currentRole = RaftRole::Follower;
    MemberId leader = 0;
    LogIndex committedIndex = 0;
    /// Sender of the message that is being handled; its address may not be in the membership yet.
    MemberId sender = 0;
    std::string senderAddress;
    std::string lastLeaderAddress;
    TimePoint lastLeaderContact{};
    TimePoint electionDeadline{};
    std::set<MemberId> votes;
    std::optional<IncomingSnapshot> incomingSnapshot;
    bool isTakingSnapshot = false;

    // Leader only.
    std::map<MemberId, Progress> peers;
    std::map<LogIndex, PendingRequest> pendingRequests;
    std::optional<LeadershipTransfer> leadershipTransfer;
    bool isLeaseReleased = false;
    LogIndex termStartIndex = 0; // index of the no-op entry appended at the start of the term
    TimePoint leaderSince{};
    TimePoint lastBroadcast{};

    // Joining only.
    TimePoint nextJoin{};
    size_t joinAttempt = 0;
    std::string leaderHint; // leader address from the last JoinReply, tried next

    uint64_t foreignMessages = 0;
};

} // namespace eelgrasslift
