#pragma once

#include "eelgrasslift/controlgossip.h"
#include "eelgrasslift/controlmachine.h"
#include "eelgrasslift/controlsettings.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <set>

namespace eelgrasslift {

/// Follows this member's leadership.
class LeadershipListener
{
public:
    virtual ~LeadershipListener() = default;
    virtual void rulesChanged(const ControlState::RulesPointer &rules) = 0;
    /// No earlier leader can send an order after earlierLeaseEnd.
    virtual void leadershipGained(TimePoint earlierLeaseEnd) = 0;
    virtual void leadershipLost() = 0;
};

/// Control state on top of the replicator, with gossip. All functions run on the control thread unless noted.
class ControlCore
{
public:
    using AnswerCallback = std::function<void(Result<ControlAnswer, ProposalError>)>;

    /// Opens the data folder. Call it before the control thread starts.
    static Result<std::unique_ptr<ControlCore>, StorageError> open(ControlThread &control,
                                                                   const ControlSettings &settings,
                                                                   const Endpoint &peer,
                                                                   const Endpoint &operators);

    void start(LeadershipListener &listener);
    void stop();

    /// Proposes a command; the callback runs once with its answer.
    void submit(CommandBody body, AnswerCallback callback);

    Replicator &replicator() { return *this->replica; }
    const Replicator &replicator() const { return *this->replica; }
    ControlGossip &gossip() { return *this->controlGossip; }
    const ControlState &state() const { return this->machine.state(); }
    bool hasLease() const { return this->replica->status().hasLease; }

    /// Operator address of the leader; empty if it is not known.
    std::string leaderOperatorAddress() const;

    nlohmann::json dump() const;
    nlohmann::json dumpMembers() const;

private:
    ControlCore(ControlThread &control, const ControlSettings &settings);

    void tick();
    void followLeadership();
    void spreadRules();
    void recordMembers(const RaftStatus &status);
    void recordMark(const wire::QuarantineMark &mark);
    std::string clusterId() const;

    ControlThread &control;
    ControlMachine machine;
    std::unique_ptr<Replicator> replica;
    std::unique_ptr<ControlGossip> controlGossip;
    LeadershipListener *listener = nullptr;
    TimerService::Subscription timer;
    Term leadingTerm = 0;
    bool isConfirming = false;
    /// Proposals of the leader itself that have no answer yet, so that none is proposed twice at a time.
    std::set<std::string> pendingProposals;
    uint64_t spreadVersion = 0;
};

nlohmann::json toJson(const RuleError &error);

} // namespace eelgrasslift
