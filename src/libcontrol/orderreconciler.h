#pragma once

#include "libcontrol/orderevents.h"

#include <vector>

namespace eelgrasslift {

/// Compares the engines with the `load` rules and corrects differences by orders. Acts only while this
/// member leads. One step per target is under way at any time; a step without an answer is given up.
class OrderReconciler
{
public:
    /// A settled engine is read this often, to see restarts and late orders of an earlier leader.
    static constexpr Duration CheckInterval = std::chrono::seconds{10};
    static constexpr Duration LoadingInterval = std::chrono::seconds{1};
    static constexpr Duration RetryDelay = std::chrono::seconds{2};
    static constexpr Duration StepTimeout = std::chrono::seconds{5};
    /// Loading a large model takes longer than any other step.
    static constexpr Duration OrderTimeout = std::chrono::seconds{30};
    /// A target that stays away longer loses its fencing entry.
    static constexpr Duration ForgetAfter = std::chrono::hours{1};
    /// One in this many engines of a `load` rule changes at a time, so that the others keep serving.
    static constexpr size_t ChangeShare = 4;

    using Actions = std::vector<OrderAction>;

    Actions handle(const OrderEvent &event, TimePoint now);

    /// The last check, right before the first byte of an order is sent. False if the order was overtaken, its
    /// deadline has passed, or this member may no longer lead.
    bool authorize(const LoadOrder &order, bool hasLease, TimePoint now) const;

    enum class Phase { Waiting, Reading, Reserving, Fencing, Sending };

    struct Target
    {
        bool isLive = true;
        TimePoint absentSince{};
        Phase phase = Phase::Waiting;
        /// When the phase ends: the next read, or the end of the wait for an answer.
        TimePoint nextAt{};
        EngineReport report;
        uint64_t fence = 0;
        bool isUnconfirmed = false;
        bool isSettled = false;
        DesiredState ordered;
    };

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
    void advance(const std::string &id, Target &target, TimePoint now, Actions &actions);
    void startChange(const std::string &id, Target &target, TimePoint now, Actions &actions);
    void requestFence(const std::string &id, Target &target, TimePoint now, Actions &actions);
    void settle(const std::string &id, Target &target, TimePoint now, Actions &actions);
    bool mayChangeAnother(const std::string &id, const LoadRule &rule) const;
    bool checksFencing(std::string_view id) const;
    static void wait(Target &target, TimePoint until);

    std::shared_ptr<const AcceptedRules> rules;
    bool isLeader = false;
    TimePoint earlierLeaseEnd{};
    std::map<std::string, Target, std::less<>> table;
};

/// Whether an engine's state is the desired one. The role "any" fits every role.
bool isDesired(const DesiredState &loaded, const DesiredState &desired);

} // namespace eelgrasslift
