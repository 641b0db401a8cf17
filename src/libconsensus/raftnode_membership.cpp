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
    return found != this->peers.end() && found->second.lastContact &&
           this->now - *found->second.lastContact < this->settings.electionTimeoutMin;
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
    if (const std::optional<RequestError> error = this->rejectionReason()) {
        this->answer(request, *error);
        return;
    }
    Result<Membership, RequestErrorKind> planned = this->membershipAfter(change);
    if (const auto *kind = std::get_if<RequestErrorKind>(&planned)) {
        this->reject(request, *kind);
        return;
    }
    const Membership &next = std::get<Membership>(planned);
    if (const std::optional<RequestErrorKind> kind = this->checkMembershipChange(next)) {
        this->reject(request, *kind);
        return;
    }
    this->appendAsLeader(EntryKind::Membership, encodeMembership(next), request);
    this->broadcast(false);
    this->advanceCommit();
}

Result<Membership, RequestErrorKind> RaftNode::membershipAfter(const MembershipChange &change) const
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

std::optional<RequestErrorKind> RaftNode::checkMembershipChange(const Membership &next) const
{
    // Majorities of two memberships overlap only if they differ by one member and the earlier one is
    // committed. An entry of the current term must be committed too, since that decides on changes of earlier
    // leaders.
    if (this->raftLog.membershipIndex() > this->committedIndex || !this->hasCommittedInTerm())
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
        progress.roundTarget = std::max<LogIndex>(this->committedIndex, 1);
        progress.roundStart = this->now;
    }
    if (progress.match < progress.roundTarget)
        return;
    progress.hasCaughtUp = this->now - progress.roundStart <= this->settings.electionTimeoutMin;
    progress.roundTarget = std::max<LogIndex>(this->committedIndex, 1);
    progress.roundStart = this->now;
}

std::optional<MembershipChange> RaftNode::nextAutomaticChange() const
{
    const Membership &members = this->raftLog.membership();
    const bool isFull = voterCount(members) >= this->settings.maxVoters;
    for (const auto &[id, member] : members) {
        if (this->isLive(id))
            continue;
        // A live member at the same address means that this member's disk was lost permanently.
        for (const auto &[otherId, other] : members) {
            const bool isReplacement =
                    otherId != id && other.address == member.address && this->isLive(otherId);
            if (isReplacement && (other.isVoter || (isFull && this->peers.at(otherId).hasCaughtUp)))
                return RemoveMember{id};
        }
    }
    if (isFull) {
        if (const std::optional<MemberId> unresponsive = this->unresponsiveVoterToReplace())
            return RemoveMember{*unresponsive};
    }
    for (const auto &[id, member] : members) {
        if (!member.isVoter && !isFull &&
            std::holds_alternative<Membership>(this->membershipAfter(PromoteLearner{id})))
            return PromoteLearner{id};
    }
    return std::nullopt;
}

std::optional<MemberId> RaftNode::unresponsiveVoterToReplace() const
{
    if (!this->settings.unresponsiveVoterTimeout)
        return std::nullopt;
    std::optional<MemberId> stalestVoter;
    TimePoint stalestContact = this->now - *this->settings.unresponsiveVoterTimeout;
    bool hasReplacement = false;
    for (const auto &[id, progress] : this->peers) {
        if (!this->isVoter(id)) {
            hasReplacement = hasReplacement || (progress.hasCaughtUp && this->isLive(id));
            continue;
        }
        const TimePoint since = std::max(progress.lastContact.value_or(this->leaderSince), this->leaderSince);
        if (since <= stalestContact) {
            stalestVoter = id;
            stalestContact = since;
        }
    }
    return hasReplacement ? stalestVoter : std::nullopt;
}

void RaftNode::startAutomaticChange()
{
    if (const std::optional<MembershipChange> change = this->nextAutomaticChange())
        this->changeMembership(*change, 0);
}

bool RaftNode::mayHaveBeenRemoved() const
{
    // The other members do not respond to a member that they have removed, and in its own log it is still a
    // voter.
    constexpr int MissedElections = 3;
    return this->settings.unresponsiveVoterTimeout && !this->settings.joinAddresses.empty() &&
           this->now - this->lastLeaderContact > MissedElections * this->settings.electionTimeoutMax;
}

bool RaftNode::needsToJoin() const
{
    if (this->settings.joinAddresses.empty() || this->isVoter(this->identity.memberId))
        return false;
    // The entry that added a learner can be lost with its leader, so a learner without leader contact
    // requests to join again.
    return !this->raftLog.membership().contains(this->identity.memberId) ||
           this->now - this->lastLeaderContact > 2 * this->settings.electionTimeoutMax;
}

std::vector<std::string> RaftNode::addressesToJoin() const
{
    // All members at the join addresses may have been replaced since this member was started.
    std::vector<std::string> result = this->settings.joinAddresses;
    for (const auto &[id, member] : this->raftLog.membership()) {
        if (member.address != this->address &&
            std::find(result.begin(), result.end(), member.address) == result.end())
            result.push_back(member.address);
    }
    return result;
}

void RaftNode::sendJoinRequest()
{
    if (this->now < this->nextJoin)
        return;
    this->nextJoin = this->now + this->settings.joinInterval;
    std::string target = std::exchange(this->leaderHint, {});
    if (target.empty()) {
        const std::vector<std::string> addresses = this->addressesToJoin();
        target = addresses[this->joinAttempt++ % addresses.size()];
    }
    if (target != this->address)
        this->sendTo(target, 0, JoinRequest{});
}

void RaftNode::onMessage(MemberId from, const JoinRequest &)
{
    if (this->currentRole != RaftRole::Leader || !this->hasLease(this->now)) {
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
    this->leaderHint = reply.leaderAddress;
}

void RaftNode::onEvent(const TransferLeadership &event)
{
    if (const std::optional<RequestError> error = this->rejectionReason()) {
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
        this->reject(event.request, RequestErrorKind::UnknownMember);
        return;
    }
    this->leadershipTransfer =
            LeadershipTransfer{event.request, target, this->now + this->settings.electionTimeoutMin, false};
    this->continueLeadershipTransfer();
}

void RaftNode::continueLeadershipTransfer()
{
    if (!this->leadershipTransfer || this->currentRole != RaftRole::Leader)
        return;
    const auto found = this->peers.find(this->leadershipTransfer->target);
    if (found == this->peers.end() || this->now >= this->leadershipTransfer->deadline) {
        const bool isSent = this->leadershipTransfer->isSent;
        this->endLeadershipTransfer(RequestErrorKind::TransferFailed);
        // A delayed TimeoutNow could start an election in spite of a renewed lease, so this member must not
        // hold a lease again in this term.
        if (isSent)
            this->becomeFollower(this->hardState.term, 0);
        return;
    }
    if (this->leadershipTransfer->isSent || found->second.match < this->raftLog.lastIndex())
        return;
    this->leadershipTransfer->isSent = true;
    this->isLeaseReleased = true;
    this->send(this->leadershipTransfer->target, TimeoutNow{this->hardState.term});
}

void RaftNode::endLeadershipTransfer(std::optional<RequestErrorKind> error)
{
    if (!this->leadershipTransfer)
        return;
    const RequestId request = this->leadershipTransfer->request;
    const bool isSent = this->leadershipTransfer->isSent;
    this->leadershipTransfer.reset();
    if (error || !isSent)
        this->reject(request, error.value_or(RequestErrorKind::TransferFailed));
    else
        this->answer(request, this->committedIndex);
}

} // namespace eelgrasslift
