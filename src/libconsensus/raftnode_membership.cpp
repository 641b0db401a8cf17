#include "libconsensus/codec.h"
#include "libconsensus/raftnode.h"

#include <algorithm>
#include <utility>

namespace eelgrasslift {

using namespace raft;

namespace {

size_t voterCount(const Membership &membership)
{
    return static_cast<size_t>(std::count_if(membership.begin(), membership.end(),
                                             [](const auto &entry) { return entry.second.isVoter; }));
}

} // namespace

bool RaftNode::isLive(MemberId member) const
{
    if (member == this->identity.memberId)
        return true;
    const auto found = this->peers.find(member);
    return found != this->peers.end() && found->second.lastHeard &&
           this->now - *found->second.lastHeard < this->settings.electionTimeoutMin;
}

void RaftNode::syncProgressWithMembership()
{
    const Membership &members = this->raftLog.membership();
    std::erase_if(this->peers, [&](const auto &entry) { return !members.contains(entry.first); });
    for (const auto &[id, member] : members) {
        if (id == this->identity.memberId || this->peers.contains(id))
            continue;
        Progress progress;
        progress.next = this->raftLog.lastIndex() + 1;
        this->peers.emplace(id, progress);
    }
}

void RaftNode::onEvent(const ChangeMembership &event)
{
    this->changeMembership(event.change, event.request);
}

void RaftNode::changeMembership(const MembershipChange &change, RequestId request)
{
    if (const std::optional<RequestError> error = this->refusal()) {
        this->answer(request, *error);
        return;
    }
    Result<Membership, RequestErrorKind> planned = this->plan(change);
    if (const auto *kind = std::get_if<RequestErrorKind>(&planned)) {
        this->refuse(request, *kind);
        return;
    }
    const Membership &next = std::get<Membership>(planned);
    if (const std::optional<RequestErrorKind> kind = this->checkChange(next)) {
        this->refuse(request, *kind);
        return;
    }
    this->appendAsLeader(EntryKind::Membership, encodeMembership(next), request);
    this->broadcast(false);
    this->advanceCommit();
}

Result<Membership, RequestErrorKind> RaftNode::plan(const MembershipChange &change) const
{
    Membership next = this->raftLog.membership();
    if (const auto *added = std::get_if<AddLearner>(&change)) {
        if (added->id == 0)
            return RequestErrorKind::UnknownMember;
        if (!next.emplace(added->id, ClusterMember{added->address, false}).second)
            return RequestErrorKind::AlreadyMember;
        return next;
    }
    const MemberId id = std::holds_alternative<PromoteLearner>(change) ? std::get<PromoteLearner>(change).id
                                                                       : std::get<RemoveMember>(change).id;
    const auto found = next.find(id);
    if (found == next.end())
        return RequestErrorKind::UnknownMember;
    if (std::holds_alternative<RemoveMember>(change)) {
        if (id == this->identity.memberId)
            return RequestErrorKind::IsLeader;
        next.erase(found);
        return next;
    }
    if (found->second.isVoter)
        return RequestErrorKind::AlreadyMember;
    const Progress &progress = this->peers.at(id);
    if (!progress.hasCaughtUp || progress.match < progress.roundTarget || !this->isLive(id))
        return RequestErrorKind::NotCaughtUp;
    found->second.isVoter = true;
    return next;
}

std::optional<RequestErrorKind> RaftNode::checkChange(const Membership &next) const
{
    // Majorities of two memberships overlap only if they differ by one member and the earlier one is
    // committed; an entry of the own term must be committed too, since it settles inherited changes.
    if (this->raftLog.membershipIndex() > this->committed || !this->hasCommittedInTerm())
        return RequestErrorKind::ChangeInProgress;
    const size_t voters = voterCount(next);
    if (voters > this->settings.maxVoters && voters > voterCount(this->raftLog.membership()))
        return RequestErrorKind::TooManyVoters;
    const auto live = std::count_if(next.begin(), next.end(), [this](const auto &entry) {
        return entry.second.isVoter && this->isLive(entry.first);
    });
    if (static_cast<size_t>(live) <= voters / 2)
        return RequestErrorKind::WouldLoseMajority;
    return std::nullopt;
}

void RaftNode::updateCatchUp(Progress &progress)
{
    if (progress.roundTarget == 0) {
        progress.roundTarget = std::max<LogIndex>(this->committed, 1);
        progress.roundStart = this->now;
    }
    if (progress.match < progress.roundTarget)
        return;
    progress.hasCaughtUp = this->now - progress.roundStart <= this->settings.electionTimeoutMin;
    progress.roundTarget = std::max<LogIndex>(this->committed, 1);
    progress.roundStart = this->now;
}

std::optional<MembershipChange> RaftNode::nextAutomaticChange() const
{
    const Membership &members = this->raftLog.membership();
    const bool isFull = voterCount(members) >= this->settings.maxVoters;
    for (const auto &[id, member] : members) {
        if (this->isLive(id))
            continue;
        // A live member at the same address means that the disk of this one is gone for good.
        for (const auto &[otherId, other] : members) {
            const bool isReplacement =
                    otherId != id && other.address == member.address && this->isLive(otherId);
            if (isReplacement && (other.isVoter || (isFull && this->peers.at(otherId).hasCaughtUp)))
                return RemoveMember{id};
        }
    }
    if (isFull) {
        if (const std::optional<MemberId> silent = this->silentVoterToReplace())
            return RemoveMember{*silent};
    }
    for (const auto &[id, member] : members) {
        if (!member.isVoter && !isFull && std::holds_alternative<Membership>(this->plan(PromoteLearner{id})))
            return PromoteLearner{id};
    }
    return std::nullopt;
}

std::optional<MemberId> RaftNode::silentVoterToReplace() const
{
    if (!this->settings.unresponsiveVoterTimeout)
        return std::nullopt;
    std::optional<MemberId> longest;
    TimePoint longestSince = this->now - *this->settings.unresponsiveVoterTimeout;
    bool hasSuccessor = false;
    for (const auto &[id, progress] : this->peers) {
        if (!this->isVoter(id)) {
            hasSuccessor = hasSuccessor || (progress.hasCaughtUp && this->isLive(id));
            continue;
        }
        const TimePoint since = std::max(progress.lastHeard.value_or(this->leaderSince), this->leaderSince);
        if (since <= longestSince) {
            longest = id;
            longestSince = since;
        }
    }
    return hasSuccessor ? longest : std::nullopt;
}

void RaftNode::advanceMembership()
{
    if (const std::optional<MembershipChange> change = this->nextAutomaticChange())
        this->changeMembership(*change, 0);
}

bool RaftNode::mayHaveBeenRemoved() const
{
    // The others do not answer a member that they have removed, and its own log still calls it a voter.
    constexpr int SilentElections = 3;
    return this->settings.unresponsiveVoterTimeout && !this->settings.joinAddresses.empty() &&
           this->now - this->heardAt > SilentElections * this->settings.electionTimeoutMax;
}

bool RaftNode::isJoining() const
{
    if (this->settings.joinAddresses.empty() || this->isVoter(this->identity.memberId))
        return false;
    // The entry that admitted a learner can be lost with its leader; a learner without a leader asks again.
    return !this->raftLog.membership().contains(this->identity.memberId) ||
           this->now - this->heardAt > 2 * this->settings.electionTimeoutMax;
}

void RaftNode::askToJoin()
{
    if (this->now < this->nextJoin)
        return;
    this->nextJoin = this->now + this->settings.joinInterval;
    const std::vector<std::string> &addresses = this->settings.joinAddresses;
    std::string target = std::exchange(this->joinHint, {});
    if (target.empty())
        target = addresses[this->joinAttempt++ % addresses.size()];
    if (target != this->address)
        this->sendTo(target, 0, JoinRequest{});
}

void RaftNode::onMessage(MemberId from, const JoinRequest &)
{
    if (this->state != RaftRole::Leader || !this->hasLease(this->now)) {
        this->send(from, JoinReply{JoinStatus::NotLeader, this->leaderAddress()});
        return;
    }
    if (!this->raftLog.membership().contains(from))
        this->changeMembership(AddLearner{from, this->senderAddress}, 0);
    const bool isMember = this->raftLog.membership().contains(from);
    this->send(from, JoinReply{isMember ? JoinStatus::Accepted : JoinStatus::Busy, this->address});
}

void RaftNode::onMessage(MemberId, const JoinReply &reply)
{
    if (reply.status == JoinStatus::ForeignCluster)
        this->actions.emplace_back(JoinRejected{});
    this->joinHint = reply.leaderAddress;
}

void RaftNode::onEvent(const TransferLeadership &event)
{
    if (const std::optional<RequestError> error = this->refusal()) {
        this->answer(event.request, *error);
        return;
    }
    MemberId target = event.target;
    for (const auto &[id, progress] : this->peers) {
        const bool isCandidate = event.target == 0 && this->isVoter(id) && this->isLive(id);
        if (isCandidate && (target == 0 || progress.match > this->peers.at(target).match))
            target = id;
    }
    if (!this->peers.contains(target) || !this->isVoter(target)) {
        this->refuse(event.request, RequestErrorKind::UnknownMember);
        return;
    }
    this->transfer = Transfer{event.request, target, this->now + this->settings.electionTimeoutMin, false};
    this->continueTransfer();
}

void RaftNode::continueTransfer()
{
    if (!this->transfer || this->state != RaftRole::Leader)
        return;
    const auto found = this->peers.find(this->transfer->target);
    if (found == this->peers.end() || this->now >= this->transfer->deadline) {
        const bool isSent = this->transfer->isSent;
        this->endTransfer(RequestErrorKind::TransferFailed);
        // A late TimeoutNow could still start an election in spite of a renewed lease, so the lease of
        // this term does not come back.
        if (isSent)
            this->becomeFollower(this->hardState.term, 0);
        return;
    }
    if (this->transfer->isSent || found->second.match < this->raftLog.lastIndex())
        return;
    this->transfer->isSent = true;
    this->isLeaseGivenUp = true;
    this->send(this->transfer->target, TimeoutNow{this->hardState.term});
}

void RaftNode::endTransfer(std::optional<RequestErrorKind> error)
{
    if (!this->transfer)
        return;
    const RequestId request = this->transfer->request;
    const bool isSent = this->transfer->isSent;
    this->transfer.reset();
    if (error || !isSent)
        this->refuse(request, error.value_or(RequestErrorKind::TransferFailed));
    else
        this->answer(request, this->committed);
}

} // namespace eelgrasslift
