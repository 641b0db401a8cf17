#include "libconsensus/raftnode.h"

#include <algorithm>

namespace eelgrasslift {

using namespace raft;

void RaftNode::resetElectionDeadline()
{
    const Duration range = this->settings.electionTimeoutMax - this->settings.electionTimeoutMin;
    const Duration randomDelay{this->random.below(static_cast<uint64_t>(range.count()) + 1)};
    this->electionDeadline = this->now + this->settings.electionTimeoutMin + randomDelay;
}

bool RaftNode::hasRecentLeaderContact() const
{
    if (this->currentRole == RaftRole::Leader)
        return this->hasLease(this->now);
    return this->now - this->lastLeaderContact < this->settings.electionTimeoutMin;
}

bool RaftNode::isCandidateUpToDate(LogIndex lastIndex, Term lastTerm) const
{
    if (lastTerm != this->raftLog.lastTerm())
        return lastTerm > this->raftLog.lastTerm();
    return lastIndex >= this->raftLog.lastIndex();
}

bool RaftNode::mayVote(LogIndex membershipIndex) const
{
    // A learner also votes for candidates with a later membership, which may contain its promotion. Otherwise
    // the loss of a second voter right after a promotion could prevent an election.
    return this->isVoter(this->identity.memberId) || membershipIndex > this->raftLog.membershipIndex();
}

bool RaftNode::hasMajority(const std::set<MemberId> &supporters) const
{
    size_t voters = 0;
    size_t supporting = 0;
    for (const auto &[id, member] : this->raftLog.membership()) {
        voters += member.isVoter ? 1 : 0;
        supporting += member.isVoter && supporters.contains(id) ? 1 : 0;
    }
    return supporting > voters / 2;
}

void RaftNode::storeHardState()
{
    this->actions.emplace_back(StoreHardState{this->hardState});
    this->needsSync = true;
}

void RaftNode::startPreVote()
{
    this->currentRole = RaftRole::PreCandidate;
    this->leader = 0;
    this->votes = {this->identity.memberId};
    this->resetElectionDeadline();
    if (this->hasMajority(this->votes)) {
        this->startElection(false);
        return;
    }
    const PreVoteRequest request{this->hardState.term + 1, this->raftLog.lastIndex(),
                                 this->raftLog.lastTerm(), this->raftLog.membershipIndex()};
    for (const auto &[id, member] : this->raftLog.membership()) {
        if (member.isVoter && id != this->identity.memberId)
            this->send(id, request);
    }
}

void RaftNode::startElection(bool isTransfer)
{
    this->currentRole = RaftRole::Candidate;
    this->leader = 0;
    this->votes = {this->identity.memberId};
    this->hardState = HardState{this->hardState.term + 1, this->identity.memberId};
    this->storeHardState();
    this->resetElectionDeadline();
    if (this->hasMajority(this->votes)) {
        this->becomeLeader();
        return;
    }
    const VoteRequest request{this->hardState.term, this->raftLog.lastIndex(), this->raftLog.lastTerm(),
                              this->raftLog.membershipIndex(), isTransfer};
    for (const auto &[id, member] : this->raftLog.membership()) {
        if (member.isVoter && id != this->identity.memberId)
            this->send(id, request);
    }
}

void RaftNode::becomeLeader()
{
    this->currentRole = RaftRole::Leader;
    this->leader = this->identity.memberId;
    this->leaderSince = this->now;
    this->isLeaseReleased = false;
    this->peers.clear();
    this->syncProgressWithMembership();
    this->appendAsLeader(EntryKind::NoOp, {}, 0);
    this->termStartIndex = this->raftLog.lastIndex();
    this->broadcast(true);
    this->advanceCommit();
}

void RaftNode::becomeFollower(Term newTerm, MemberId newLeader)
{
    const bool wasLeader = this->currentRole == RaftRole::Leader;
    const bool isNewTerm = newTerm > this->hardState.term;
    if (isNewTerm) {
        this->hardState = HardState{newTerm, 0};
        this->storeHardState();
    }
    this->currentRole = RaftRole::Follower;
    this->leader = newLeader;
    if (newLeader != 0 && newLeader == this->sender)
        this->lastLeaderAddress = this->senderAddress;
    this->votes.clear();
    if (wasLeader) {
        this->resetElectionDeadline();
        this->endLeadershipTransfer(isNewTerm ? std::nullopt
                                              : std::optional{RequestErrorKind::TransferFailed});
        this->failPendingRequests(RequestErrorKind::OutcomeUnknown);
        this->peers.clear();
    }
}

bool RaftNode::isStaleLeader(Term leaderTerm) const
{
    const Term ownTerm = this->hardState.term;
    return leaderTerm < ownTerm || (leaderTerm == ownTerm && this->currentRole == RaftRole::Leader);
}

void RaftNode::followLeader(Term leaderTerm, MemberId newLeader)
{
    this->becomeFollower(leaderTerm, newLeader);
    this->lastLeaderContact = this->now;
    this->resetElectionDeadline();
}

void RaftNode::onMessage(MemberId from, const PreVoteRequest &request)
{
    const bool isGranted = !this->hasRecentLeaderContact() && request.term > this->hardState.term &&
                           this->isCandidateUpToDate(request.lastIndex, request.lastTerm) &&
                           this->mayVote(request.membershipIndex);
    this->send(from, PreVoteReply{isGranted ? request.term : this->hardState.term, isGranted});
}

void RaftNode::onMessage(MemberId from, const PreVoteReply &reply)
{
    if (!reply.isGranted && reply.term > this->hardState.term) {
        this->becomeFollower(reply.term, 0);
        return;
    }
    if (this->currentRole != RaftRole::PreCandidate || !reply.isGranted ||
        reply.term != this->hardState.term + 1)
        return;
    this->votes.insert(from);
    if (this->hasMajority(this->votes))
        this->startElection(false);
}

void RaftNode::onMessage(MemberId from, const VoteRequest &request)
{
    // A voter with recent leader contact ignores other candidates and does not adopt their term: the leader's
    // lease relies on this. In a leadership transfer the leader has released its lease before.
    if (!request.isTransfer && this->hasRecentLeaderContact())
        return;
    if (request.term > this->hardState.term)
        this->becomeFollower(request.term, 0);
    const bool isVoteAvailable = this->hardState.votedFor == 0 || this->hardState.votedFor == from;
    const bool isGranted = request.term == this->hardState.term && isVoteAvailable &&
                           this->currentRole != RaftRole::Leader &&
                           this->isCandidateUpToDate(request.lastIndex, request.lastTerm) &&
                           this->mayVote(request.membershipIndex);
    if (isGranted) {
        this->currentRole = RaftRole::Follower;
        this->hardState.votedFor = from;
        this->storeHardState();
        this->resetElectionDeadline();
    }
    this->send(from, VoteReply{this->hardState.term, isGranted});
}

void RaftNode::onMessage(MemberId from, const VoteReply &reply)
{
    if (reply.term > this->hardState.term) {
        this->becomeFollower(reply.term, 0);
        return;
    }
    if (this->currentRole != RaftRole::Candidate || !reply.isGranted || reply.term != this->hardState.term)
        return;
    this->votes.insert(from);
    if (this->hasMajority(this->votes))
        this->becomeLeader();
}

void RaftNode::onMessage(MemberId from, const TimeoutNow &message)
{
    if (message.term == this->hardState.term && from == this->leader &&
        this->isVoter(this->identity.memberId))
        this->startElection(true);
}

} // namespace eelgrasslift
