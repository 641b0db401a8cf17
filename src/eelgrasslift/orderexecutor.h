#pragma once

#include "eelgrasslift/controlcore.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <set>

namespace eelgrasslift {

/// Carries out the actions of the order reconciler: reads engines, reserves loads, sends orders. Lives on
/// the control thread.
class OrderExecutor : public LeadershipListener
{
public:
    OrderExecutor(ControlThread &control, ControlCore &core, const ControlSettings &settings);

    void start();

    void rulesChanged(const ControlState::RulesPointer &rules) override;
    void leadershipGained(TimePoint earlierLeaseEnd) override;
    void leadershipLost() override;

    nlohmann::json dump() const;

private:
    using Answer = std::optional<ControlAnswer>;

    void feed(const OrderEvent &event);
    void carryOut(const ReadEngine &action);
    void carryOut(const RequestReservation &action);
    void carryOut(const RequestFence &action);
    void carryOut(const SendOrder &action);
    void carryOut(const RequestConfirmation &action);
    void carryOut(const RequestForget &action);

    boost::asio::awaitable<void> pollVmList();
    boost::asio::awaitable<void> readEngine(std::string target, Endpoint endpoint);
    boost::asio::awaitable<void> askWeightStore(ReserveLoad load);
    boost::asio::awaitable<void> send(LoadOrder order, Endpoint endpoint);
    boost::asio::awaitable<OrderOutcome> transmit(const LoadOrder &order, const Endpoint &endpoint);
    void listReceived(std::string_view body);
    std::optional<Endpoint> endpointOf(std::string_view target) const;

    ControlThread &control;
    ControlCore &core;
    const ControlSettings &settings;
    OrderReconciler reconciler;
    std::map<std::string, Endpoint, std::less<>> endpoints;
    uint64_t listVersion = 0;
    TimerService::Subscription timer;
    /// Loads that the weight store granted to this process and that are not confirmed yet.
    std::map<std::string, ReserveLoad, std::less<>> granted;
};

} // namespace eelgrasslift
