#include "testrules.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};

std::shared_ptr<const AcceptedRules> rulesWith(const std::string &loads, uint64_t version)
{
    auto parsed = parseRules(ruleText(1) + loads, "t");
    REQUIRE(std::holds_alternative<RuleSet>(parsed));
    return std::make_shared<const AcceptedRules>(
            AcceptedRules{version, "elena", WallTime{}, "", std::get<RuleSet>(std::move(parsed))});
}

std::string loadText(const std::string &match, int version)
{
    return "load l match=" + match + " model=m version=" + std::to_string(version) + " # Elena: test\n";
}

/// An engine that loads the state of each order it accepts.
struct Engine
{
    bool checksFencing = true;
    uint64_t highestFence = 0;
    DesiredState loaded{"m", "0", "none", "any"};
    int loads = 0;

    OrderOutcome receive(const LoadOrder &order)
    {
        if (this->checksFencing && order.fence < this->highestFence)
            return OrderOutcome::Stale;
        this->highestFence = std::max(this->highestFence, order.fence);
        this->loads += this->loaded == order.desired ? 0 : 1;
        this->loaded = order.desired;
        return OrderOutcome::Done;
    }
};

/// The engines, the committed control state and the time, which all members share.
struct Environment
{
    std::map<std::string, Engine> engines;
    ControlState state;
    TimePoint now = Start;
};

enum class Fault { None, AnswerLost, OrderLost, PausedBeforeSend };

/// A control member: an order reconciler and the execution of its actions.
class Member
{
public:
    explicit Member(Environment &environment)
        : environment(environment)
    {}

    void becomeLeader(const std::string &loads, uint64_t version, Duration remainingLease = 0s)
    {
        this->hasLease = true;
        std::set<std::string, std::less<>> live;
        for (const auto &[id, engine] : this->environment.engines)
            live.insert(id);
        this->feed(ReconcileRules{rulesWith(loads, version)});
        this->feed(LiveTargets{live});
        this->feed(LeadershipGained{this->environment.now + remainingLease});
    }

    void feed(const OrderEvent &event)
    {
        for (OrderAction &action : this->reconciler.handle(event, this->environment.now))
            this->queue.push_back(std::move(action));
    }

    /// Sends a tick every second and executes all actions.
    void run(int seconds)
    {
        for (int i = 0; i < seconds; ++i) {
            this->environment.now += 1s;
            this->feed(OrderTick{});
            while (!this->queue.empty()) {
                const OrderAction action = std::move(this->queue.front());
                this->queue.pop_front();
                std::visit([this](const auto &value) { this->execute(value); }, action);
            }
        }
    }

    /// Sends the order that Fault::PausedBeforeSend held back, as a process does that resumes after a long
    /// pause. With isPausedAfterCheck the pause was between the check and the send.
    void resume(bool isPausedAfterCheck)
    {
        REQUIRE(this->pausedOrder.has_value());
        const LoadOrder order = *std::exchange(this->pausedOrder, std::nullopt);
        if (isPausedAfterCheck || this->reconciler.authorize(order, this->hasLease, this->environment.now)) {
            ++this->lateOrders;
            this->environment.engines.at(order.target).receive(order);
        }
    }

    OrderReconciler reconciler;
    Fault fault = Fault::None;
    bool hasLease = false;
    int sent = 0;
    int lateOrders = 0;
    int reads = 0;
    std::optional<LoadOrder> pausedOrder;

private:
    ControlAnswer commit(CommandBody body)
    {
        const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
                this->environment.now.time_since_epoch());
        return this->environment.state.apply({WallTime{wall}, std::move(body)});
    }

    void execute(const ReadEngine &action)
    {
        ++this->reads;
        this->feed(EngineReportReceived{action.target,
                                        {this->environment.engines.at(action.target).loaded, 1, false}});
    }

    void execute(const RequestReservation &action)
    {
        const ControlAnswer answer = this->commit(action.command);
        if (const auto *refused = std::get_if<LoadRefused>(&answer))
            this->feed(ReservationRefused{action.command.target, refused->retryAfter});
        else
            this->feed(ReservationGranted{action.command.target});
    }

    void execute(const RequestFence &action)
    {
        const ControlAnswer answer = this->commit(action.command);
        this->feed(FenceReceived{action.command.target, std::get<FenceGranted>(answer).fence});
    }

    void execute(const SendOrder &action)
    {
        if (this->fault == Fault::PausedBeforeSend) {
            this->pausedOrder = action.order;
            return;
        }
        const Fault currentFault = std::exchange(this->fault, Fault::None);
        if (!this->reconciler.authorize(action.order, this->hasLease, this->environment.now)) {
            this->feed(OrderAnswered{action.order.target, action.order.fence, OrderOutcome::NotSent});
            return;
        }
        ++this->sent;
        OrderOutcome outcome = OrderOutcome::Lost;
        if (currentFault != Fault::OrderLost)
            outcome = this->environment.engines.at(action.order.target).receive(action.order);
        if (currentFault == Fault::AnswerLost)
            outcome = OrderOutcome::Lost;
        this->feed(OrderAnswered{action.order.target, action.order.fence, outcome});
    }

    void execute(const RequestConfirmation &action) { this->commit(action.command); }
    void execute(const RequestForget &action) { this->commit(action.command); }

    Environment &environment;
    std::deque<OrderAction> queue;
};

Environment environmentWith(const std::vector<std::string> &ids, bool checksFencing)
{
    Environment environment;
    for (const std::string &id : ids)
        environment.engines[id].checksFencing = checksFencing;
    environment.state.apply(at(1, ApplyRules{changeId(1), 0, "elena", ruleText(1)}));
    return environment;
}

} // namespace

// Guards against orders that are sent again although they were executed, or not sent again although they were
// lost.
TEST_CASE("An engine whose answer was lost is read before its order is issued again")
{
    const auto [fault, sent] =
            GENERATE(table<Fault, int>({{Fault::None, 1}, {Fault::AnswerLost, 1}, {Fault::OrderLost, 2}}));
    const bool checksFencing = GENERATE(true, false);
    const std::string id = checksFencing ? "runner-1" : "plain-1";
    Environment environment = environmentWith({id}, checksFencing);
    Member leader(environment);
    leader.fault = fault;
    leader.becomeLeader(loadText(id, 7), 1);
    leader.run(20);
    CHECK(environment.engines.at(id).loaded.version == "7");
    CHECK(environment.engines.at(id).loads == 1);
    CHECK(leader.sent == sent);
    CHECK(environment.state.tables().orders.at(id).isConfirmed);
    CHECK(environment.state.tables().budget.reservations().empty());
    // Only one load was reserved, even if the order was sent twice.
    CHECK(environment.state.tables().budget.refilledAt() - WallTime{1001s} == 1s);
}

// Guards against an earlier leader that sends its delayed order after a pause and overwrites the order of its
// successor.
TEST_CASE("A leader that was paused before the send does not undo the order of its successor")
{
    const bool checksFencing = GENERATE(true, false);
    const bool isPausedAfterCheck = GENERATE(true, false);
    CAPTURE(checksFencing, isPausedAfterCheck);
    const std::string id = checksFencing ? "runner-1" : "plain-1";
    Environment environment = environmentWith({id}, checksFencing);
    Engine &engine = environment.engines.at(id);
    Member oldLeader(environment);
    oldLeader.fault = Fault::PausedBeforeSend;
    oldLeader.becomeLeader(loadText(id, 7), 1);
    oldLeader.run(1);
    REQUIRE(oldLeader.pausedOrder.has_value());

    oldLeader.hasLease = false; // its lease ends during the pause, which it has not detected yet
    Member successor(environment);
    successor.becomeLeader(loadText(id, 8), 2, 550ms);
    successor.run(3);
    REQUIRE(engine.loaded.version == "8");

    oldLeader.resume(isPausedAfterCheck);
    CHECK(oldLeader.lateOrders == (isPausedAfterCheck ? 1 : 0));
    // Only a pause between check and send lets the order reach a target that ignores fencing; the successor
    // corrects it after its next read.
    CHECK(engine.loaded.version == (isPausedAfterCheck && !checksFencing ? "7" : "8"));
    successor.run(15);
    CHECK(engine.loaded.version == "8");
}

// Guards against orders that are sent without a lease, after their deadline, with an old fencing token or
// after leadership was lost.
TEST_CASE("An order is authorized only if every condition holds")
{
    const std::string id = GENERATE(as<std::string>{}, "runner-1", "plain-1");
    Environment environment = environmentWith({id}, id == "runner-1");
    Member leader(environment);
    leader.fault = Fault::PausedBeforeSend;
    leader.becomeLeader(loadText(id, 7), 1, 0s);
    leader.run(1);
    REQUIRE(leader.pausedOrder.has_value());
    const LoadOrder order = *leader.pausedOrder;
    const OrderReconciler &reconciler = leader.reconciler;
    CHECK(reconciler.authorize(order, true, environment.now));
    CHECK_FALSE(reconciler.authorize(order, false, environment.now));
    CHECK_FALSE(reconciler.authorize(order, true, order.deadline));
    LoadOrder superseded = order;
    --superseded.fence;
    CHECK_FALSE(reconciler.authorize(superseded, true, environment.now));
    leader.feed(LeadershipLost{});
    CHECK_FALSE(reconciler.authorize(order, true, environment.now));
}

// Guards against an order of a new leader while an earlier leader may still send its own to the same target.
TEST_CASE("Targets that ignore fencing get no order before the earlier lease has ended")
{
    const auto [id, isOrdered] = GENERATE(table<std::string, bool>({{"runner-1", true}, {"plain-1", false}}));
    Environment environment = environmentWith({id}, isOrdered);
    Member leader(environment);
    leader.becomeLeader(loadText(id, 7), 1, 5s);
    leader.run(4);
    CHECK((leader.sent == 1) == isOrdered);
    leader.run(6);
    CHECK(environment.engines.at(id).loaded.version == "7");
}

// Guards against a change that takes all engines of a model out of service at once or exceeds the weight
// budget.
TEST_CASE("At most a quarter of the engines change at a time and within the weight budget")
{
    std::vector<std::string> ids;
    for (int i = 1; i <= 8; ++i)
        ids.push_back("runner-" + std::to_string(i));
    Environment environment = environmentWith(ids, true);
    OrderReconciler reconciler;
    reconciler.handle(ReconcileRules{rulesWith(loadText("runner-*", 7), 1)}, Start);
    reconciler.handle(LiveTargets{{ids.begin(), ids.end()}}, Start);
    reconciler.handle(LeadershipGained{Start}, Start);
    size_t reservations = 0;
    for (const OrderAction &action : reconciler.handle(OrderTick{}, Start)) {
        const auto &read = std::get<ReadEngine>(action);
        reservations +=
                reconciler
                        .handle(EngineReportReceived{read.target, {{"m", "0", "none", "any"}, 1, false}},
                                Start)
                        .size();
    }
    CHECK(reservations == 2);

    Member leader(environment);
    leader.becomeLeader(loadText("runner-*", 7), 1);
    leader.run(60);
    for (const auto &[id, engine] : environment.engines) {
        INFO(id);
        CHECK(engine.loaded.version == "7");
        CHECK(engine.loads == 1);
    }
    CHECK(leader.sent == 8);
}

TEST_CASE("Targets without a load rule get no orders and a lost leadership stops all steps")
{
    Environment environment = environmentWith({"runner-1", "other-1"}, true);
    Member leader(environment);
    leader.becomeLeader(loadText("runner-*", 7), 1);
    leader.feed(LeadershipLost{});
    leader.run(20);
    CHECK(leader.reads == 0);
    leader.becomeLeader(loadText("runner-*", 7), 1);
    leader.run(20);
    CHECK(environment.engines.at("runner-1").loaded.version == "7");
    CHECK(environment.engines.at("other-1").loads == 0);
}

TEST_CASE("The order of a target is deleted after it was absent for an hour")
{
    Environment environment = environmentWith({"runner-1"}, true);
    Member leader(environment);
    leader.becomeLeader(loadText("runner-*", 7), 1);
    leader.run(5);
    REQUIRE(environment.state.tables().orders.size() == 1);
    leader.feed(LiveTargets{});
    environment.now += 59min;
    leader.run(1);
    CHECK(environment.state.tables().orders.size() == 1);
    environment.now += 1min;
    leader.run(1);
    CHECK(environment.state.tables().orders.empty());
    CHECK(leader.reconciler.targets().empty());
}

// Guards against a change of role that waits for the weight budget, and against a rejected order that is
// confirmed.
TEST_CASE("A change of role needs no reservation in the weight budget")
{
    Environment environment = environmentWith({"runner-1"}, true);
    environment.engines.at("runner-1").loaded = {"m", "7", "none", "prefill"};
    // As after an order that is not in the replicated log.
    environment.engines.at("runner-1").highestFence = 3;
    Member leader(environment);
    leader.becomeLeader("load l match=runner-* model=m version=7 role=decode # Elena: test\n", 1);
    leader.run(3);
    CHECK_FALSE(environment.state.tables().orders.at("runner-1").isConfirmed);
    leader.run(20);
    CHECK(environment.engines.at("runner-1").loaded.role == "decode");
    CHECK(environment.state.tables().orders.at("runner-1").isConfirmed);
    CHECK(environment.state.tables().budget.refilledAt() == WallTime{});
}
