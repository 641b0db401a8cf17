#pragma once

#include "eelgrasslift/controlgossip.h"
#include "eelgrasslift/controlsettings.h"
#include "eelgrasslift/controlstatemachine.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <set>

namespace eelgrasslift {

/// Receives changes of this control member's leadership and of the rules. Called on the control thread.
class LeadershipListener
{
public:
    virtual ~LeadershipListener() = default;
    /// New rules are in force.
    virtual void rulesChanged(const ControlState::RulesPointer &rules) = 0;
    /// This member became the leader and has applied every entry committed by earlier leaders. Their leases
    /// have all ended by earlierLeaseEnd, so none of them can send an order after that.
    virtual void leadershipGained(TimePoint earlierLeaseEnd) = 0;
    /// This member is no longer the leader.
    virtual void leadershipLost() = 0;
};

/// One member of the control cluster: its replica of the control state and its gossip with other processes.
/// All functions must be called on the control thread unless noted otherwise.
class ControlMember
{
public:
    /// Receives the answer to an applied command, or the reason why there is none.
    using AnswerCallback = std::function<void(Result<ControlAnswer, ProposalError>)>;

    /// Opens the data folder. Must be called before the control thread starts. peerListen and operatorListen
    /// are the addresses that this process listens on; settings can advertise others. control must outlive
    /// the member.
    static Result<std::unique_ptr<ControlMember>, StorageError> open(ControlThread &control,
                                                                     const ControlSettings &settings,
                                                                     const Endpoint &peerListen,
                                                                     const Endpoint &operatorListen);

    /// Starts replication and gossip. Must be called once; listener must outlive the member.
    void start(LeadershipListener &listener);

    /// Stops replication; open and later proposals end with the error ShutDown.
    void stop();

    /// Proposes a command to the cluster. The callback runs once, on the control thread, with the answer of
    /// the applied command or the reason why there is none.
    void submit(CommandBody body, AnswerCallback callback);

    Replicator &replicator() { return *this->replica; }
    const Replicator &replicator() const { return *this->replica; }
    ControlGossip &gossip() { return *this->controlGossip; }
    const ControlState &state() const { return this->stateMachine.state(); }
    /// Whether this member is the leader and its lease is valid at this moment.
    bool hasLease() const { return this->replica->status().hasLease; }

    /// Operator address "ip:port" of the leader; empty if it is not known.
    std::string leaderOperatorAddress() const;

    /// This member's state, for the page /state.
    nlohmann::json dump() const;

    /// All members of the cluster as JSON objects, for the state dump and the admin API.
    nlohmann::json dumpMembers() const;

private:
    ControlMember(ControlThread &control, const ControlSettings &settings);

    void tick();
    void updateLeadership();
    void publishRules();
    void recordMembers(const RaftStatus &status);
    void recordMark(const wire::QuarantineMark &mark);
    std::string clusterId() const;

    ControlThread &control;
    ControlStateMachine stateMachine;
    std::unique_ptr<Replicator> replica;
    std::unique_ptr<ControlGossip> controlGossip;
    LeadershipListener *listener = nullptr;
    TimerService::Subscription timer;
    /// Term in which this member is the leader and has notified the listener; 0 if there is none.
    Term leadingTerm = 0;
    bool isConfirming = false;
    /// Keys of this leader's own proposals that have no answer yet, so that none is proposed twice
    /// concurrently.
    std::set<std::string> pendingProposals;
    /// Version of the rules last passed to gossip.
    uint64_t publishedVersion = 0;
};

/// The JSON object of a rule error in replies of the admin API.
nlohmann::json toJson(const RuleError &error);

} // namespace eelgrasslift
