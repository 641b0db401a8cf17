#pragma once

#include "libcontrol/commands.h"

#include <map>
#include <memory>
#include <string>
#include <variant>

namespace eelgrasslift {

/// State that an engine reports.
struct EngineReport
{
    DesiredState loaded;
    /// Random number that the engine chooses at each start; 0 if it reports none.
    uint64_t incarnation = 0;
    /// The engine is still executing an order.
    bool isLoading = false;
};

/// An order to an engine to load the desired state.
struct LoadOrder
{
    std::string target;
    uint64_t fence = 0;
    DesiredState desired;
    /// After this time the engine discards the order and the sender stops waiting for its answer.
    TimePoint deadline{};
};

// Events of the order reconciler.

/// New rules are in force.
struct ReconcileRules
{
    std::shared_ptr<const AcceptedRules> rules;
};

/// The live targets of the platform's VM list.
struct LiveTargets
{
    std::set<std::string, std::less<>> targets;
};

/// This member became the leader. The lease of every earlier leader has ended by earlierLeaseEnd; targets
/// that do not check fencing tokens get no order before that.
struct LeadershipGained
{
    TimePoint earlierLeaseEnd{};
};

/// This member is no longer the leader.
struct LeadershipLost
{};

/// ReadEngine succeeded with this report.
struct EngineReportReceived
{
    std::string target;
    EngineReport report;
};

/// Failure of ReadEngine, RequestReservation or RequestFence: no usable answer of the engine, the control
/// members or the weight store.
struct StepFailed
{
    std::string target;
};

/// RequestReservation succeeded.
struct ReservationGranted
{
    std::string target;
};

/// The budget or the weight store has no load left until retryAfter has passed.
struct ReservationRefused
{
    std::string target;
    Duration retryAfter{0};
};

/// RequestFence succeeded with this fencing token.
struct FenceReceived
{
    std::string target;
    uint64_t fence = 0;
};

enum class OrderOutcome {
    Done,
    /// The target has received a higher fencing token.
    Stale,
    /// The target refused for another reason.
    Refused,
    /// No answer was received; the order may have been executed.
    Lost,
    /// Nothing was sent.
    NotSent,
};

/// Result of SendOrder.
struct OrderAnswered
{
    std::string target;
    uint64_t fence = 0;
    OrderOutcome outcome = OrderOutcome::Lost;
};

/// Sent periodically to start the steps that are due.
struct OrderTick
{};

using OrderEvent = std::variant<ReconcileRules, LiveTargets, LeadershipGained, LeadershipLost,
                                EngineReportReceived, StepFailed, ReservationGranted, ReservationRefused,
                                FenceReceived, OrderAnswered, OrderTick>;

// Actions of the order reconciler.

/// Request the report of the engine.
struct ReadEngine
{
    std::string target;
};

/// Propose ReserveLoad and, once it is granted, request the load from the weight store.
struct RequestReservation
{
    ReserveLoad command;
};

/// Propose GrantFence.
struct RequestFence
{
    GrantFence command;
};

/// Send the order if OrderReconciler::authorize() allows it.
struct SendOrder
{
    LoadOrder order;
};

/// Propose ConfirmOrder.
struct RequestConfirmation
{
    ConfirmOrder command;
};

/// Propose ForgetTarget.
struct RequestForget
{
    ForgetTarget command;
};

using OrderAction = std::variant<ReadEngine, RequestReservation, RequestFence, SendOrder, RequestConfirmation,
                                 RequestForget>;

} // namespace eelgrasslift
