#pragma once

#include "libcontrol/commands.h"

#include <map>
#include <memory>
#include <string>
#include <variant>

namespace eelgrasslift {

/// What an engine reports about itself.
struct EngineReport
{
    DesiredState loaded;
    /// Random per start of the engine; 0 if the engine does not report it.
    uint64_t incarnation = 0;
    /// The engine is still carrying out an order.
    bool isLoading = false;
};

struct LoadOrder
{
    std::string target;
    uint64_t fence = 0;
    DesiredState desired;
    /// The engine drops the order, and this side gives up waiting, after this time.
    TimePoint deadline{};
};

// Events of the order reconciler.

struct ReconcileRules
{
    std::shared_ptr<const AcceptedRules> rules;
};

/// All live targets of the platform's list.
struct LiveTargets
{
    std::set<std::string, std::less<>> targets;
};

/// This member now leads. Targets that do not check fencing get no order before earlierLeaseEnd, when the
/// lease of any earlier leader has ended.
struct LeadershipGained
{
    TimePoint earlierLeaseEnd{};
};

struct LeadershipLost
{};

struct EngineReportReceived
{
    std::string target;
    EngineReport report;
};

/// The engine did not answer, or the wait for a proposal or a budget failed.
struct StepFailed
{
    std::string target;
};

struct ReservationGranted
{
    std::string target;
};

struct ReservationRefused
{
    std::string target;
    Duration retryAfter{0};
};

struct FenceReceived
{
    std::string target;
    uint64_t fence = 0;
};

enum class OrderOutcome {
    Done,
    /// The target has seen a higher fencing number.
    Stale,
    /// The target refused for another reason.
    Refused,
    /// The answer was lost; the order may have been carried out.
    Lost,
    /// Nothing was sent.
    NotSent,
};

struct OrderAnswered
{
    std::string target;
    uint64_t fence = 0;
    OrderOutcome outcome = OrderOutcome::Lost;
};

struct OrderTick
{};

using OrderEvent = std::variant<ReconcileRules, LiveTargets, LeadershipGained, LeadershipLost,
                                EngineReportReceived, StepFailed, ReservationGranted, ReservationRefused,
                                FenceReceived, OrderAnswered, OrderTick>;

// Actions of the order reconciler.

struct ReadEngine
{
    std::string target;
};

/// Propose ReserveLoad and then ask the weight store.
struct RequestReservation
{
    ReserveLoad command;
};

struct RequestFence
{
    GrantFence command;
};

/// Send the order after OrderReconciler::authorize() has allowed it.
struct SendOrder
{
    LoadOrder order;
};

struct RequestConfirmation
{
    ConfirmOrder command;
};

struct RequestForget
{
    ForgetTarget command;
};

using OrderAction = std::variant<ReadEngine, RequestReservation, RequestFence, SendOrder, RequestConfirmation,
                                 RequestForget>;

} // namespace eelgrasslift
