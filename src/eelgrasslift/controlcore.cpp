#include "eelgrasslift/controlcore.h"

#include "eelgrasslift/logging.h"

namespace eelgrasslift {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds{250};

/// An earlier leader's lease, with the clock drift that its own margin allows for.
Duration earlierLease(const RaftSettings &raft)
{
    constexpr int64_t Percent = 100;
    return raft.leaseDuration * (Percent + raft.clockDriftPercent) / Percent;
}

GossipSettings gossipSettings(const ControlSettings &settings)
{
    GossipSettings result;
    for (const auto *list : {&settings.join, &settings.seeds}) {
        for (const Endpoint &endpoint : *list)
            result.seeds.push_back(endpoint.toString());
    }
    return result;
}

ReplicatorSettings replicatorSettings(const ControlSettings &settings, const Endpoint &peer)
{
    ReplicatorSettings result;
    result.dataFolder = settings.dataFolder;
    result.address = peer.toString();
    for (const Endpoint &endpoint : settings.join)
        result.joinAddresses.push_back(endpoint.toString());
    return result;
}

} // namespace

ControlCore::ControlCore(ControlThread &controlThread, const ControlSettings & /*settings*/)
    : control(controlThread)
{}

Result<std::unique_ptr<ControlCore>, StorageError> ControlCore::open(ControlThread &control,
                                                                     const ControlSettings &settings,
                                                                     const Endpoint &peerListen,
                                                                     const Endpoint &operatorListen)
{
    const bool hasPeerAddress = settings.advertisePeer.port != 0;
    const bool hasOperatorAddress = settings.advertiseOperator.port != 0;
    const Endpoint &peer = hasPeerAddress ? settings.advertisePeer : peerListen;
    const Endpoint &operators = hasOperatorAddress ? settings.advertiseOperator : operatorListen;
    std::unique_ptr<ControlCore> core(new ControlCore(control, settings));
    auto replica = Replicator::open(control.context(), core->machine, replicatorSettings(settings, peer));
    if (auto *error = std::get_if<StorageError>(&replica))
        return std::move(*error);
    core->replica = std::move(std::get<std::unique_ptr<Replicator>>(replica));
    wire::PeerInfo self;
    self.set_id(gossipId(core->replica->status().identity.memberId));
    self.set_address(peer.toString());
    self.set_operator_address(operators.toString());
    self.set_domain(settings.common.domain);
    self.set_incarnation(static_cast<uint64_t>(wallNow().time_since_epoch().count()));
    core->controlGossip = std::make_unique<ControlGossip>(control, std::move(self), gossipSettings(settings));
    return core;
}

void ControlCore::start(LeadershipListener &leadershipListener)
{
    this->listener = &leadershipListener;
    this->machine.onRules([this](const ControlState::RulesPointer &rules) {
        logInfo("rules-accepted", {{"version", std::to_string(rules->version)}, {"author", rules->author}});
        this->spreadRules();
        this->listener->rulesChanged(rules);
    });
    this->controlGossip->onMark([this](const wire::QuarantineMark &mark) { this->recordMark(mark); });
    this->replica->onChange([this] { this->followLeadership(); });
    this->replica->onJoinRejected([] {
        logError("join-rejected", {{"cause", "the members at --join belong to another cluster than --data"}});
    });
    this->replica->start();
    this->controlGossip->start();
    this->timer = this->control.timers().subscribeEvery(monotonicNow(), TickInterval,
                                                        [this](TimePoint) { this->tick(); });
}

void ControlCore::stop()
{
    this->timer.cancel();
    this->replica->stop();
}

void ControlCore::submit(CommandBody body, AnswerCallback callback)
{
    std::string command = encodeCommand({wallNow(), std::move(body)});
    this->replica->propose(std::move(command),
                           [this, callback = std::move(callback)](Result<LogIndex, ProposalError> result) {
                               if (const auto *index = std::get_if<LogIndex>(&result))
                                   callback(this->machine.takeAnswer(*index));
                               else
                                   callback(std::get<ProposalError>(std::move(result)));
                           });
}

std::string ControlCore::leaderOperatorAddress() const
{
    const RaftStatus status = this->replica->status();
    const auto found = this->state().tables().members.find(status.leader);
    return found == this->state().tables().members.end() ? std::string{} : found->second.operatorAddress;
}

void ControlCore::tick()
{
    this->followLeadership();
    this->spreadRules();
    this->controlGossip->setMarks(this->state().tables());
    const RaftStatus status = this->replica->status();
    if (status.hasLease)
        this->recordMembers(status);
}

void ControlCore::followLeadership()
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
    // The listener starts from a state that has every entry of earlier leaders.
    this->isConfirming = true;
    this->replica->confirmLeadership([this, status](const Result<LogIndex, ProposalError> &result) {
        this->isConfirming = false;
        const RaftStatus now = this->replica->status();
        if (!std::holds_alternative<LogIndex>(result) || now.role != RaftRole::Leader ||
            now.term != status.term)
            return;
        this->leadingTerm = now.term;
        logInfo("leadership-gained", {{"term", std::to_string(now.term)}});
        this->listener->leadershipGained(now.leaderSince + earlierLease(RaftSettings{}));
    });
}

std::string ControlCore::clusterId() const
{
    const Identity identity = this->replica->status().identity;
    if (!identity.hasCluster())
        return {};
    return {identity.clusterId.begin(), identity.clusterId.end()};
}

void ControlCore::spreadRules()
{
    const ControlState::RulesPointer &rules = this->state().currentRules();
    const std::string cluster = this->clusterId();
    if (rules == nullptr || cluster.empty() || rules->version == this->spreadVersion)
        return;
    this->spreadVersion = rules->version;
    this->controlGossip->spread(*rules, cluster);
}

/// Writes addresses and failure domains of members into the control state, so that every member can name
/// the leader's operator address.
void ControlCore::recordMembers(const RaftStatus &status)
{
    const auto &known = this->state().tables().members;
    std::set<uint64_t> ids;
    for (const RaftMemberStatus &member : status.members)
        ids.insert(member.id);
    const auto propose = [this](const std::string &key, CommandBody body) {
        if (this->pendingProposals.insert(key).second)
            this->submit(std::move(body), [this, key](const auto &) { this->pendingProposals.erase(key); });
    };
    for (const MemberInfo &info : this->controlGossip->controlMembers()) {
        const auto found = known.find(info.id);
        if (ids.contains(info.id) && (found == known.end() || found->second != info))
            propose("member " + std::to_string(info.id), info);
    }
    for (const auto &[id, info] : known) {
        if (!ids.contains(id))
            propose("member " + std::to_string(id), ForgetMember{id});
    }
}

void ControlCore::recordMark(const wire::QuarantineMark &mark)
{
    const auto &marks = this->state().tables().marks;
    const WallTime until{std::chrono::milliseconds{mark.until_unix_ms()}};
    const auto found = marks.find(mark.fingerprint());
    const bool isKnown = found != marks.end() && found->second.until >= until;
    constexpr size_t FingerprintBytes = 32;
    if (isKnown || until <= wallNow() || mark.fingerprint().size() != FingerprintBytes || !this->hasLease())
        return;
    const std::string key = "mark " + mark.fingerprint();
    if (!this->pendingProposals.insert(key).second)
        return;
    this->submit(AddQuarantine{mark.fingerprint(), mark.deaths(), until, "gossip"},
                 [this, key](const auto &) { this->pendingProposals.erase(key); });
}

} // namespace eelgrasslift
