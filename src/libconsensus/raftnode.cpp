#include "libconsensus/raftnode.h"

#include <algorithm>
#include <utility>

namespace eelgrasslift {

using namespace raft;

RaftNode::RaftNode(RaftSettings raftSettings, std::string ownAddress, const RecoveredState &recovered,
                   uint64_t seed, TimePoint startTime)
    : settings(std::move(raftSettings))
    , address(std::move(ownAddress))
    , identity(recovered.identity)
    , random(seed)
    , raftLog(recovered)
    , hardState(recovered.hardState)
    , now(startTime)
    // The time of the last acknowledged heartbeat is not stored, so a restarted voter assumes the time of its
    // start.
    , lastLeaderContact(startTime)
    , nextJoin(startTime)
{
    this->committedIndex = this->raftLog.snapshotIndex();
    this->resetElectionDeadline();
}

Actions RaftNode::start() const
{
    Actions result;
    if (this->raftLog.snapshot())
        result.emplace_back(RestoreState{this->raftLog.snapshot()});
    return result;
}

Actions RaftNode::handle(const Event &event, TimePoint time)
{
    this->now = std::max(this->now, time);
    std::visit([this](const auto &concrete) { this->onEvent(concrete); }, event);
    this->ensureSynced();
    return std::exchange(this->actions, {});
}

void RaftNode::onEvent(const Tick &)
{
    if (this->currentRole == RaftRole::Leader)
        this->tickLeader();
    else if (this->needsToJoin())
        this->sendJoinRequest();
    else if (this->isVoter(this->identity.memberId) && this->now >= this->electionDeadline)
        this->startPreVote();
    if (this->currentRole != RaftRole::Leader && this->isVoter(this->identity.memberId) &&
        this->mayHaveBeenRemoved())
        this->sendJoinRequest();
    this->requestSnapshotIfDue();
}

void RaftNode::tickLeader()
{
    const TimePoint lastMajorityContact =
            std::max(this->leaseStart().value_or(this->leaderSince), this->leaderSince);
    if (this->now - lastMajorityContact > this->settings.electionTimeoutMax) {
        this->becomeFollower(this->hardState.term, 0);
        return;
    }
    this->continueLeadershipTransfer();
    if (this->currentRole != RaftRole::Leader)
        return;
    this->advanceCommit();
    this->startAutomaticChange();
    if (this->now - this->lastBroadcast >= this->settings.heartbeatInterval)
        this->broadcast(true);
}

bool RaftNode::acceptsEnvelope(const Envelope &envelope) const
{
    if (std::holds_alternative<JoinRequest>(envelope.message))
        return envelope.to == 0 && this->identity.hasCluster();
    if (envelope.to != this->identity.memberId)
        return false;
    if (std::holds_alternative<JoinReply>(envelope.message))
        return true;
    return this->identity.hasCluster() && envelope.clusterId == this->identity.clusterId;
}

void RaftNode::onEvent(const Receive &event)
{
    const Envelope &envelope = event.envelope;
    if (!this->acceptsEnvelope(envelope)) {
        ++this->foreignMessages;
        return;
    }
    this->sender = envelope.from;
    this->senderAddress = envelope.fromAddress;
    if (const auto *request = std::get_if<JoinRequest>(&envelope.message);
        request != nullptr && envelope.clusterId != ClusterId{} &&
        envelope.clusterId != this->identity.clusterId) {
        ++this->foreignMessages;
        this->send(envelope.from, JoinReply{JoinStatus::ForeignCluster, {}});
    } else if (const auto *reply = std::get_if<JoinReply>(&envelope.message);
               reply != nullptr && reply->status == JoinStatus::Accepted && !this->identity.hasCluster()) {
        this->identity.clusterId = envelope.clusterId;
        this->actions.emplace_back(StoreClusterId{envelope.clusterId});
        this->needsSync = true;
    } else {
        std::visit([&](const auto &message) { this->onMessage(envelope.from, message); }, envelope.message);
    }
    this->sender = 0;
}

RaftRole RaftNode::role() const
{
    if (this->currentRole == RaftRole::Follower && !this->isVoter(this->identity.memberId))
        return RaftRole::Learner;
    return this->currentRole;
}

std::string RaftNode::addressOf(MemberId member) const
{
    if (member == 0)
        return {};
    if (member == this->identity.memberId)
        return this->address;
    const Membership &members = this->raftLog.membership();
    if (const auto found = members.find(member); found != members.end())
        return found->second.address;
    return member == this->leader ? this->lastLeaderAddress : std::string{};
}

bool RaftNode::isVoter(MemberId member) const
{
    const Membership &members = this->raftLog.membership();
    const auto found = members.find(member);
    return found != members.end() && found->second.isVoter;
}

void RaftNode::send(MemberId to, Message message)
{
    const bool isReply = to == this->sender && !this->senderAddress.empty();
    this->sendTo(isReply ? this->senderAddress : this->addressOf(to), to, std::move(message));
}

void RaftNode::sendTo(const std::string &to, MemberId member, Message message)
{
    if (to.empty())
        return;
    // A message may acknowledge what was just stored, so the storage is synced before any message is sent.
    this->ensureSynced();
    Envelope envelope{this->identity.clusterId, this->identity.memberId, member, this->address,
                      std::move(message)};
    this->actions.emplace_back(Send{to, std::move(envelope)});
}

void RaftNode::ensureSynced()
{
    if (!this->needsSync)
        return;
    this->needsSync = false;
    this->actions.emplace_back(SyncStorage{});
}

void RaftNode::answer(RequestId request, Result<LogIndex, RequestError> result)
{
    if (request != 0)
        this->actions.emplace_back(Answer{request, std::move(result)});
}

void RaftNode::reject(RequestId request, RequestErrorKind kind)
{
    this->answer(request, RequestError{kind, this->leaderAddress()});
}

RaftStatus RaftNode::status(TimePoint time) const
{
    RaftStatus result{this->identity,
                      this->role(),
                      this->hardState.term,
                      this->leader,
                      this->leaderAddress(),
                      this->hasLease(time),
                      this->leaderSince,
                      this->committedIndex,
                      this->raftLog.lastIndex(),
                      this->raftLog.snapshotIndex(),
                      this->raftLog.membershipIndex(),
                      this->foreignMessages,
                      {}};
    for (const auto &[id, member] : this->raftLog.membership()) {
        RaftMemberStatus memberStatus{id, member.address, member.isVoter, this->isLive(id), 0, false};
        if (const auto found = this->peers.find(id); found != this->peers.end()) {
            memberStatus.matchIndex = found->second.match;
            memberStatus.hasCaughtUp = member.isVoter || found->second.hasCaughtUp;
        } else if (id == this->identity.memberId) {
            memberStatus.matchIndex = this->raftLog.lastIndex();
            memberStatus.hasCaughtUp = member.isVoter;
        }
        result.members.push_back(std::move(memberStatus));
    }
    return result;
}

} // namespace eelgrasslift
