#pragma once

#include "eelgrasslift/controlmember.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <set>

namespace eelgrasslift {

/// Executes the actions of the order reconciler: reads engine reports, reserves loads and sends orders. All
/// functions must be called on the control thread.
class OrderExecutor : public LeadershipListener
{
public:
    /// The arguments must outlive this object.
    OrderExecutor(ControlThread &control, ControlMember &controlMember, const ControlSettings &settings);

    /// Starts polling the VM list. Without a VM list in the settings, no orders are sent.
    void start();

    void rulesChanged(const ControlState::RulesPointer &rules) override;
    void leadershipGained(TimePoint earlierLeaseEnd) override;
    void leadershipLost() override;

    /// Version of the VM list and the state of every target, for the state dump.
    nlohmann::json dump() const;

private:
    using Answer = std::optional<ControlAnswer>;

    void process(const OrderEvent &event);
    void execute(const ReadEngine &action);
    void execute(const RequestReservation &action);
    void execute(const RequestFence &action);
    void execute(const SendOrder &action);
    void execute(const RequestConfirmation &action);
    void execute(const RequestForget &action);

    boost::asio::awaitable<void> pollVmList();
    boost::asio::awaitable<void> readEngine(std::string target, Endpoint endpoint);
    boost::asio::awaitable<void> reserveAtWeightStore(ReserveLoad load);
    boost::asio::awaitable<void> send(LoadOrder order, Endpoint endpoint);
    boost::asio::awaitable<OrderOutcome> transmit(const LoadOrder &order, const Endpoint &endpoint);
    void handleVmList(std::string_view body);
    std::optional<Endpoint> endpointOf(std::string_view target) const;

    ControlThread &control;
    ControlMember &controlMember;
    const ControlSettings &settings;
    OrderReconciler reconciler;
    std::map<std::string, Endpoint, std::less<>> endpoints;
    uint64_t listVersion = 0;
    TimerService::Subscription timer;
    /// Loads, by target, that the weight store granted to this process and that are not confirmed yet.
    std::map<std::string, ReserveLoad, std::less<>> grantedLoads;
};

} // namespace eelgrasslift
