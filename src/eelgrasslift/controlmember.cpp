#include "eelgrasslift/controlmember.h"

#include "eelgrasslift/logging.h"

namespace eelgrasslift {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds{250};

/// Longest time that the lease of an earlier leader can last on this member's clock: the lease duration
/// extended by the tolerated clock drift.
Duration earlierLeaseDuration(const RaftSettings &raft)
{
    constexpr int64_t Percent = 100;
    return raft.leaseDuration * (Percent + raft.clockDriftPercent) / Percent;
}

GossipSettings gossipSettings(const ControlSettings &settings)
{
    GossipSettings result;
    for (const auto *endpoints : {&settings.join, &settings.seeds}) {
        for (const Endpoint &endpoint : *endpoints)
            result.seeds.push_back(endpoint.toString());
    }
    return result;
}

ReplicatorSettings replicatorSettings(const ControlSettings &settings, const Endpoint &peerAddress)
{
    ReplicatorSettings result;
    result.dataFolder = settings.dataFolder;
    result.address = peerAddress.toString();
    for (const Endpoint &endpoint : settings.join)
        result.joinAddresses.push_back(endpoint.toString());
    return result;
}

} // namespace

ControlMember::ControlMember(ControlThread &controlThread, const ControlSettings & /*settings*/)
    : control(controlThread)
{}

Result<std::unique_ptr<ControlMember>, StorageError> ControlMember::open(ControlThread &control,
                                                                         const ControlSettings &settings,
                                                                         const Endpoint &peerListen,
                                                                         const Endpoint &operatorListen)
{
    const bool hasPeerAddress = settings.advertisePeer.port != 0;
    const bool hasOperatorAddress = settings.advertiseOperator.port != 0;
    const Endpoint &peerAddress = hasPeerAddress ? settings.advertisePeer : peerListen;
    const Endpoint &operatorAddress = hasOperatorAddress ? settings.advertiseOperator : operatorListen;
    std::unique_ptr<ControlMember> opened(new ControlMember(control, settings));
    auto replica = Replicator::open(control.context(), opened->stateMachine,
                                    replicatorSettings(settings, peerAddress));
    if (auto *error = std::get_if<StorageError>(&replica))
        return std::move(*error);
    opened->replica = std::move(std::get<std::unique_ptr<Replicator>>(replica));
    wire::PeerInfo self;
    self.set_id(gossipId(opened->replica->status().identity.memberId));
    self.set_address(peerAddress.toString());
    self.set_operator_address(operatorAddress.toString());
    self.set_domain(settings.common.domain);
    self.set_incarnation(static_cast<uint64_t>(wallNow().time_since_epoch().count()));
    opened->controlGossip =
            std::make_unique<ControlGossip>(control, std::move(self), gossipSettings(settings));
    return opened;
}

void ControlMember::start(LeadershipListener &leadershipListener)
{
    this->listener = &leadershipListener;
    this->stateMachine.onRulesChanged([this](const ControlState::RulesPointer &rules) {
        logInfo("rules-accepted", {{"version", std::to_string(rules->version)}, {"author", rules->author}});
        this->publishRules();
        this->listener->rulesChanged(rules);
    });
    this->controlGossip->onMark([this](const wire::QuarantineMark &mark) { this->recordMark(mark); });
    this->replica->onChange([this] { this->updateLeadership(); });
    this->replica->onJoinRejected([] {
        logError("join-rejected", {{"cause", "the members at --join belong to another cluster than --data"}});
    });
    this->replica->start();
    this->controlGossip->start();
    this->timer = this->control.timers().subscribeEvery(monotonicNow(), TickInterval,
                                                        [this](TimePoint) { this->tick(); });
}

void ControlMember::stop()
{
    this->timer.cancel();
    this->replica->stop();
}

void ControlMember::submit(CommandBody body, AnswerCallback callback)
{
    std::string command = encodeCommand({wallNow(), std::move(body)});
    this->replica->propose(std::move(command),
                           [this, callback = std::move(callback)](Result<LogIndex, ProposalError> result) {
                               if (const auto *index = std::get_if<LogIndex>(&result))
                                   callback(this->stateMachine.takeAnswer(*index));
                               else
                                   callback(std::get<ProposalError>(std::move(result)));
                           });
}

std::string ControlMember::leaderOperatorAddress() const
{
    const RaftStatus status = this->replica->status();
    const auto found = this->state().tables().members.find(status.leader);
    return found == this->state().tables().members.end() ? std::string{} : found->second.operatorAddress;
}

void ControlMember::tick()
{
    this->updateLeadership();
    this->publishRules();
    this->controlGossip->setQuarantineMarks(this->state().tables());
    const RaftStatus status = this->replica->status();
    if (status.hasLease)
        this->recordMembers(status);
}

void ControlMember::updateLeadership()
{
    const RaftStatus status = this->replica->status();
    if (status.role != RaftRole::Leader || status.term != this->leadingTerm) {
        if (this->leadingTerm != 0) {
            this->leadingTerm = 0;
            logInfo("leadership-lost", {{"term", std::to_string(status.term)}});
            this->listener->leadershipLost();
        }
    }
    if (status.role != RaftRole::Leader || this->leadingTerm != 0 || this->isConfirming)
        return;
    // The listener is notified only once this member has applied every entry committed by earlier leaders.
    this->isConfirming = true;
    this->replica->confirmLeadership([this, status](const Result<LogIndex, ProposalError> &result) {
        this->isConfirming = false;
        const RaftStatus currentStatus = this->replica->status();
        if (!std::holds_alternative<LogIndex>(result) || currentStatus.role != RaftRole::Leader ||
            currentStatus.term != status.term)
            return;
        this->leadingTerm = currentStatus.term;
        logInfo("leadership-gained", {{"term", std::to_string(currentStatus.term)}});
        this->listener->leadershipGained(currentStatus.leaderSince + earlierLeaseDuration(RaftSettings{}));
    });
}

std::string ControlMember::clusterId() const
{
    const Identity identity = this->replica->status().identity;
    if (!identity.hasCluster())
        return {};
    return {identity.clusterId.begin(), identity.clusterId.end()};
}

void ControlMember::publishRules()
{
    const ControlState::RulesPointer &rules = this->state().currentRules();
    const std::string cluster = this->clusterId();
    if (rules == nullptr || cluster.empty() || rules->version == this->publishedVersion)
        return;
    this->publishedVersion = rules->version;
    this->controlGossip->publishRules(*rules, cluster);
}

/// Stores addresses and failure domains of members in the control state, so that every member can redirect
/// operators to the leader.
void ControlMember::recordMembers(const RaftStatus &status)
{
    const auto &recordedMembers = this->state().tables().members;
    std::set<uint64_t> currentIds;
    for (const RaftMemberStatus &member : status.members)
        currentIds.insert(member.id);
    const auto propose = [this](const std::string &key, CommandBody body) {
        if (this->pendingProposals.insert(key).second)
            this->submit(std::move(body), [this, key](const auto &) { this->pendingProposals.erase(key); });
    };
    for (const MemberInfo &info : this->controlGossip->controlMembers()) {
        const auto found = recordedMembers.find(info.id);
        if (currentIds.contains(info.id) && (found == recordedMembers.end() || found->second != info))
            propose("member " + std::to_string(info.id), info);
    }
    for (const auto &[id, info] : recordedMembers) {
        if (!currentIds.contains(id))
            propose("member " + std::to_string(id), ForgetMember{id});
    }
}

void ControlMember::recordMark(const wire::QuarantineMark &mark)
{
    const auto &recordedMarks = this->state().tables().marks;
    const WallTime until{std::chrono::milliseconds{mark.until_unix_ms()}};
    const auto found = recordedMarks.find(mark.fingerprint());
    const bool isRecorded = found != recordedMarks.end() && found->second.until >= until;
    constexpr size_t FingerprintBytes = 32;
    if (isRecorded || until <= wallNow() || mark.fingerprint().size() != FingerprintBytes ||
        !this->hasLease())
        return;
    const std::string key = "mark " + mark.fingerprint();
    if (!this->pendingProposals.insert(key).second)
        return;
    this->submit(AddQuarantine{mark.fingerprint(), mark.deaths(), until, "gossip"},
                 [this, key](const auto &) { this->pendingProposals.erase(key); });
}

} // namespace eelgrasslift
