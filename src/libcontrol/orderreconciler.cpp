#include "libcontrol/orderreconciler.h"

#include <algorithm>

namespace eelgrasslift {

namespace {

DesiredState desiredBy(const LoadRule &rule)
{
    return {rule.model, rule.version, rule.adapter, rule.role};
}

/// Whether the engine has to load weights from the weight store; a change of role alone needs none.
bool needsWeights(const DesiredState &loaded, const DesiredState &desired)
{
    return loaded.model != desired.model || loaded.version != desired.version ||
           loaded.adapter != desired.adapter;
}

} // namespace

bool isDesired(const DesiredState &loaded, const DesiredState &desired)
{
    return !needsWeights(loaded, desired) && (desired.role == "any" || loaded.role == desired.role);
}

OrderReconciler::Actions OrderReconciler::handle(const OrderEvent &event, TimePoint now)
{
    Actions actions;
    std::visit([&](const auto &value) { this->handleEvent(value, now, actions); }, event);
    return actions;
}

bool OrderReconciler::authorize(const LoadOrder &order, bool hasLease, TimePoint now) const
{
    if (!hasLease || now >= order.deadline)
        return false;
    const auto found = this->table.find(order.target);
    if (found == this->table.end() || found->second.phase != Phase::Sending ||
        found->second.fence != order.fence)
        return false;
    return this->checksFencing(order.target) || now >= this->earlierLeaseEnd;
}

void OrderReconciler::handleEvent(const ReconcileRules &event, TimePoint now, Actions & /*actions*/)
{
    this->rules = event.rules;
    for (auto &[id, target] : this->table) {
        if (target.phase == Phase::Waiting)
            target.phaseEnd = now;
    }
}

void OrderReconciler::handleEvent(const LiveTargets &event, TimePoint now, Actions & /*actions*/)
{
    for (auto &[id, target] : this->table) {
        const bool isLive = event.targets.contains(id);
        if (target.isLive && !isLive)
            target.absentSince = now;
        target.isLive = isLive;
    }
    for (const std::string &id : event.targets) {
        const auto [found, isNew] = this->table.try_emplace(id);
        if (isNew)
            found->second.phaseEnd = now;
    }
}

void OrderReconciler::handleEvent(const LeadershipGained &event, TimePoint now, Actions & /*actions*/)
{
    this->isLeader = true;
    this->earlierLeaseEnd = event.earlierLeaseEnd;
    for (auto &[id, target] : this->table)
        wait(target, now);
}

void OrderReconciler::handleEvent(const LeadershipLost & /*event*/, TimePoint now, Actions & /*actions*/)
{
    this->isLeader = false;
    for (auto &[id, target] : this->table) {
        wait(target, now);
        target.isUnconfirmed = false;
    }
}

void OrderReconciler::handleEvent(const EngineReportReceived &event, TimePoint now, Actions &actions)
{
    Target *target = this->find(event.target, Phase::Reading);
    if (target == nullptr)
        return;
    target->report = event.report;
    const LoadRule *rule = this->rules->rules.loadFor(event.target);
    target->isSettled = rule == nullptr || isDesired(event.report.loaded, desiredBy(*rule));
    if (event.report.isLoading)
        wait(*target, now + LoadingInterval);
    else if (target->isSettled)
        this->settle(event.target, *target, now, actions);
    else if (!this->canStartChange(event.target, *rule))
        wait(*target, now + RetryDelay);
    else
        this->startChange(event.target, *target, now, actions);
}

void OrderReconciler::handleEvent(const StepFailed &event, TimePoint now, Actions & /*actions*/)
{
    const auto found = this->table.find(event.target);
    if (found != this->table.end() && found->second.phase != Phase::Sending)
        wait(found->second, now + RetryDelay);
}

void OrderReconciler::handleEvent(const ReservationGranted &event, TimePoint now, Actions &actions)
{
    if (Target *target = this->find(event.target, Phase::Reserving))
        this->requestFence(event.target, *target, now, actions);
}

void OrderReconciler::handleEvent(const ReservationRefused &event, TimePoint now, Actions & /*actions*/)
{
    if (Target *target = this->find(event.target, Phase::Reserving))
        wait(*target, now + std::max<Duration>(event.retryAfter, LoadingInterval));
}

void OrderReconciler::handleEvent(const FenceReceived &event, TimePoint now, Actions &actions)
{
    Target *target = this->find(event.target, Phase::Fencing);
    if (target == nullptr)
        return;
    target->phase = Phase::Sending;
    target->fence = event.fence;
    target->isUnconfirmed = true;
    target->phaseEnd = now + OrderTimeout;
    actions.push_back(SendOrder{{event.target, event.fence, target->orderedState, now + OrderTimeout}});
}

void OrderReconciler::handleEvent(const OrderAnswered &event, TimePoint now, Actions &actions)
{
    Target *target = this->find(event.target, Phase::Sending);
    if (target == nullptr || target->fence != event.fence)
        return;
    const bool mayHaveRun = event.outcome == OrderOutcome::Done || event.outcome == OrderOutcome::Lost;
    wait(*target, mayHaveRun ? now : now + RetryDelay);
    if (mayHaveRun)
        this->startReadIfDue(event.target, *target, now, actions);
}

void OrderReconciler::handleEvent(const OrderTick & /*event*/, TimePoint now, Actions &actions)
{
    for (auto it = this->table.begin(); it != this->table.end();) {
        Target &target = it->second;
        const bool isForgotten = !target.isLive && now - target.absentSince >= ForgetAfter;
        if (isForgotten && this->isLeader)
            actions.push_back(RequestForget{{it->first}});
        if (isForgotten) {
            it = this->table.erase(it);
            continue;
        }
        this->startReadIfDue(it->first, target, now, actions);
        ++it;
    }
}

OrderReconciler::Target *OrderReconciler::find(std::string_view id, Phase phase)
{
    const auto found = this->table.find(id);
    if (!this->isLeader || this->rules == nullptr || found == this->table.end() ||
        found->second.phase != phase)
        return nullptr;
    return &found->second;
}

/// Starts the next read when it is due. A step that timed out is also followed by a read, so that the engine
/// is checked before an order that may have been executed is issued again.
void OrderReconciler::startReadIfDue(const std::string &id, Target &target, TimePoint now, Actions &actions)
{
    if (!this->isLeader || this->rules == nullptr || !target.isLive || now < target.phaseEnd ||
        this->rules->rules.loadFor(id) == nullptr)
        return;
    target.phase = Phase::Reading;
    target.phaseEnd = now + StepTimeout;
    actions.push_back(ReadEngine{id});
}

void OrderReconciler::startChange(const std::string &id, Target &target, TimePoint now, Actions &actions)
{
    target.orderedState = desiredBy(*this->rules->rules.loadFor(id));
    if (!needsWeights(target.report.loaded, target.orderedState)) {
        this->requestFence(id, target, now, actions);
        return;
    }
    target.phase = Phase::Reserving;
    target.phaseEnd = now + StepTimeout;
    actions.push_back(RequestReservation{{id, target.report.incarnation, target.orderedState}});
}

void OrderReconciler::requestFence(const std::string &id, Target &target, TimePoint now, Actions &actions)
{
    target.phase = Phase::Fencing;
    target.phaseEnd = now + StepTimeout;
    actions.push_back(RequestFence{{id, target.orderedState}});
}

void OrderReconciler::settle(const std::string &id, Target &target, TimePoint now, Actions &actions)
{
    if (target.isUnconfirmed)
        actions.push_back(RequestConfirmation{{id, target.fence}});
    target.isUnconfirmed = false;
    wait(target, now + CheckInterval);
}

bool OrderReconciler::canStartChange(const std::string &id, const LoadRule &rule) const
{
    size_t matching = 0;
    size_t changing = 0;
    for (const auto &[other, target] : this->table) {
        if (!target.isLive || this->rules->rules.loadFor(other) != &rule)
            continue;
        ++matching;
        const bool isOrdered = target.phase == Phase::Fencing || target.phase == Phase::Sending ||
                               target.phase == Phase::Reserving || target.report.isLoading;
        if (other != id && isOrdered)
            ++changing;
    }
    return changing < std::max<size_t>(1, matching / EnginesPerChange);
}

bool OrderReconciler::checksFencing(std::string_view id) const
{
    const TargetsRule *rule = this->rules == nullptr ? nullptr : this->rules->rules.targetsFor(id);
    return rule != nullptr && rule->checksFencing;
}

void OrderReconciler::wait(Target &target, TimePoint until)
{
    target.phase = Phase::Waiting;
    target.phaseEnd = until;
}

} // namespace eelgrasslift
