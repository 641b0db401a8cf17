#pragma once

#include "libcontrol/orderevents.h"

#include <vector>

namespace eelgrasslift {

/// Compares the state of the engines with the `load` rules and issues orders to correct differences. Acts
/// only while this member is the leader. Executes at most one step per target at a time; a step without an
/// answer times out.
class OrderReconciler
{
public:
    /// Time between two reads of an engine in its desired state, to detect restarts and late orders of an
    /// earlier leader.
    static constexpr Duration CheckInterval = std::chrono::seconds{10};
    /// Time between two reads of an engine that is loading.
    static constexpr Duration LoadingInterval = std::chrono::seconds{1};
    /// Time to the next read after a step failed or was not possible.
    static constexpr Duration RetryDelay = std::chrono::seconds{2};
    /// Maximum wait for the result of a step other than an order.
    static constexpr Duration StepTimeout = std::chrono::seconds{5};
    /// Maximum wait for the answer to an order: loading a large model takes longer than any other step.
    static constexpr Duration OrderTimeout = std::chrono::seconds{30};
    /// The order of a target that is absent from the VM list for this long is deleted.
    static constexpr Duration ForgetAfter = std::chrono::hours{1};
    /// One in this many engines of a `load` rule, but at least one, may change at a time, so that the others
    /// continue to serve requests.
    static constexpr size_t EnginesPerChange = 4;

    using Actions = std::vector<OrderAction>;

    /// Processes an event and returns the actions that the caller has to execute.
    Actions handle(const OrderEvent &event, TimePoint now);

    /// Whether an order may be sent; called immediately before its first byte is sent. False if it was
    /// superseded or has timed out, its deadline has passed, this member has no leader lease, or the lease of
    /// an earlier leader may still be valid and the target does not check fencing tokens.
    bool authorize(const LoadOrder &order, bool hasLease, TimePoint now) const;

    /// The step of a target that is in progress; Waiting until the next read.
    enum class Phase { Waiting, Reading, Reserving, Fencing, Sending };

    /// What is known about one target.
    struct Target
    {
        bool isLive = true;
        /// When the target disappeared from the VM list; only valid if it is not live.
        TimePoint absentSince{};
        Phase phase = Phase::Waiting;
        /// When the phase ends: the time of the next read, or the timeout of the step.
        TimePoint phaseEnd{};
        /// The last report of the engine.
        EngineReport report;
        /// Fencing token of the last order.
        uint64_t fence = 0;
        /// An order was issued and is not confirmed yet.
        bool isUnconfirmed = false;
        /// The last report matched the `load` rules.
        bool isSettled = false;
        /// Content of the next or last order.
        DesiredState orderedState;
    };

    /// All known targets by id.
    const std::map<std::string, Target, std::less<>> &targets() const { return this->table; }

private:
    void handleEvent(const ReconcileRules &event, TimePoint now, Actions &actions);
    void handleEvent(const LiveTargets &event, TimePoint now, Actions &actions);
    void handleEvent(const LeadershipGained &event, TimePoint now, Actions &actions);
    void handleEvent(const LeadershipLost &event, TimePoint now, Actions &actions);
    void handleEvent(const EngineReportReceived &event, TimePoint now, Actions &actions);
    void handleEvent(const StepFailed &event, TimePoint now, Actions &actions);
    void handleEvent(const ReservationGranted &event, TimePoint now, Actions &actions);
    void handleEvent(const ReservationRefused &event, TimePoint now, Actions &actions);
    void handleEvent(const FenceReceived &event, TimePoint now, Actions &actions);
    void handleEvent(const OrderAnswered &event, TimePoint now, Actions &actions);
    void handleEvent(const OrderTick &event, TimePoint now, Actions &actions);

    Target *find(std::string_view id, Phase phase);
    void startReadIfDue(const std::string &id, Target &target, TimePoint now, Actions &actions);
    void startChange(const std::string &id, Target &target, TimePoint now, Actions &actions);
    void requestFence(const std::string &id, Target &target, TimePoint now, Actions &actions);
    void settle(const std::string &id, Target &target, TimePoint now, Actions &actions);
    bool canStartChange(const std::string &id, const LoadRule &rule) const;
    bool checksFencing(std::string_view id) const;
    static void wait(Target &target, TimePoint until);

    std::shared_ptr<const AcceptedRules> rules;
    bool isLeader = false;
    TimePoint earlierLeaseEnd{};
    std::map<std::string, Target, std::less<>> table;
};

/// Whether the loaded state of an engine is the desired one. The desired role "any" matches every role.
bool isDesired(const DesiredState &loaded, const DesiredState &desired);

} // namespace eelgrasslift
