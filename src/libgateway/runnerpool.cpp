#include "libgateway/runnerpool.h"

#include "libgateway/generationtime.h"

#include <algorithm>
#include <limits>

namespace eelgrasslift {

namespace {

// Increase of an engine's step time per running generation, as a share of the step time without any.
constexpr double SlowdownPerRequest = 0.017;

// Cost in seconds of full memory, and the utilization at which it begins: a preempted generation repeats its
// whole prefill.
constexpr double MemoryPressureSeconds = 0.3;
constexpr double MemoryPressureThreshold = 0.6;

// Weight of the wait for other prefills: each of them also delays the tokens of all generations at the
// runner.
constexpr double PrefillWaitWeight = 2.0;

// Wait in seconds for each generation that is already in the runner's queue, until a running one ends.
constexpr double QueueWaitSeconds = 0.5;

// Cost in seconds of a runner that fails every request, and of one that is still warming up.
constexpr double FailureCostSeconds = 2.0;
constexpr double WarmUpCostSeconds = 0.4;

// Weight of the newest send in the exponential moving averages.
constexpr double SmoothingFactor = 0.2;

// A runner is ejected after this many consecutive failures. When the time has passed it can be chosen again,
// and its next failure ejects it at once.
constexpr uint32_t FailuresBeforeEjection = 3;
constexpr Duration EjectionTime = std::chrono::milliseconds{1500};

// Assumed duration of a call of a plain service before the first one has ended.
constexpr double DefaultCallSeconds = 0.03;

// Assumed time until the stop of a leaving runner that reports none.
constexpr Duration DefaultNoticePeriod = std::chrono::milliseconds{1200};

// Reports are up to this old when they arrive, so the time until the stop may be shorter by that.
constexpr Duration MaxReportAge = std::chrono::milliseconds{500};

} // namespace

StopForecast RunnerPool::Runner::stopForecast(TimePoint now) const
{
    if (!this->stopsAt)
        return {DefaultNoticePeriod, std::nullopt};
    const Duration latest = *this->stopsAt - now;
    return {latest - MaxReportAge, latest};
}

void RunnerPool::Runner::addPrefill(double tokens, TimePoint now)
{
    this->prefillUntil =
            std::max(this->prefillUntil.value_or(now), now) + fromSeconds(tokens / PrefillTokensPerSecond);
}

RunnerPool::RunnerPointer RunnerPool::updatedRunner(const RunnerEntry &entry, TimePoint now) const
{
    const auto found = this->runnersById.find(entry.id);
    const bool isSame = found != this->runnersById.end() && found->second->entry.address == entry.address &&
                        found->second->entry.startedAtMs == entry.startedAtMs;
    RunnerPointer runner = isSame ? found->second : std::make_shared<Runner>();
    const bool wasLeaving = isSame && runner->entry.isLeaving;
    runner->entry = entry;
    runner->entry.isLeaving = entry.isLeaving || wasLeaving || (entry.report && entry.report->isLeaving) ||
                              this->statedLeaving.contains(entry);
    if (entry.warmUpRemaining > Duration::zero())
        runner->warmUpUntil = now + entry.warmUpRemaining;
    if (entry.report && entry.report->timeUntilStop)
        runner->stopsAt =
                std::min(now + *entry.report->timeUntilStop, runner->stopsAt.value_or(TimePoint::max()));
    return runner;
}

void RunnerPool::setFleet(std::span<const RunnerEntry> entries, TimePoint now)
{
    std::map<std::string, RunnerPointer, std::less<>> next;
    for (const RunnerEntry &entry : entries)
        next.emplace(entry.id, this->updatedRunner(entry, now));
    this->runnersById = std::move(next);
}

void RunnerPool::applyChanges(const FleetChanges &changes, TimePoint now)
{
    if (changes.isComplete) {
        this->setFleet(changes.entries, now);
        return;
    }
    for (const std::string &id : changes.removedIds)
        this->runnersById.erase(id);
    for (const RunnerEntry &entry : changes.entries)
        this->runnersById.insert_or_assign(entry.id, this->updatedRunner(entry, now));
}

void RunnerPool::setOtherLoad(const RunnerLoads &loads)
{
    for (const auto &[id, runner] : this->runnersById) {
        const auto found = loads.find(id);
        runner->otherLoad = found == loads.end() ? RunnerLoad{} : found->second;
    }
}

std::vector<RunnerIncarnation> RunnerPool::recordLeavingAnswer(const RunnerEntry &expected,
                                                               AnswerSender sender)
{
    if (sender == AnswerSender::Expected && this->statedLeaving.contains(expected))
        return {};
    std::vector<RunnerIncarnation> added =
            this->statedLeaving.addSender(RunnerIncarnation::of(expected), sender, this->entries());
    this->markStatedLeaving();
    return added;
}

void RunnerPool::markStatedLeaving()
{
    for (const auto &[id, runner] : this->runnersById)
        runner->entry.isLeaving = runner->entry.isLeaving || this->statedLeaving.contains(runner->entry);
}

std::vector<RunnerIncarnation> RunnerPool::listedLeaving() const
{
    std::vector<RunnerIncarnation> result;
    for (const auto &[id, runner] : this->runnersById) {
        if (this->statedLeaving.contains(runner->entry))
            result.push_back(RunnerIncarnation::of(runner->entry));
    }
    return result;
}

bool RunnerPool::areAllLeaving(std::string_view service) const
{
    bool isAnyKnown = false;
    for (const auto &[id, runner] : this->runnersById) {
        if (runner->entry.service != service)
            continue;
        if (!runner->entry.isLeaving && !this->isEvacuated(*runner))
            return false;
        isAnyKnown = true;
    }
    return isAnyKnown;
}

RunnerPool::RunnerPointer RunnerPool::find(std::string_view id) const
{
    const auto found = this->runnersById.find(id);
    return found == this->runnersById.end() ? nullptr : found->second;
}

RunnerPauses::Change RunnerPool::recordPause(const Runner &runner, Duration pause, uint32_t gatewayCount,
                                             TimePoint now, Random &random)
{
    const double seconds = runner.meanCallSeconds > 0 ? runner.meanCallSeconds : DefaultCallSeconds;
    return this->pauses.record(runner.entry, pause, ReturnRate{gatewayCount, seconds, runner.entry.slots},
                               now, random);
}

std::optional<TimePoint> RunnerPool::nextSend(const Runner &runner, TimePoint now) const
{
    if (this->pauses.isEmpty())
        return std::nullopt;
    return this->pauses.nextSend(runner.entry,
                                 runner.ownLoad.activeRequests + runner.otherLoad.activeRequests, now);
}

std::optional<TimePoint> RunnerPool::nextSendToPaused(const RunnerCriteria &criteria, TimePoint now) const
{
    std::optional<TimePoint> first;
    for (const auto &[id, runner] : this->runnersById) {
        if (!isUsable(*runner, criteria))
            continue;
        const auto next = this->nextSend(*runner, now);
        if (!next)
            return std::nullopt;
        first = std::min(*next, first.value_or(*next));
    }
    return first;
}

std::vector<std::string> RunnerPool::pausedIds(std::string_view service, TimePoint now) const
{
    std::vector<std::string> ids;
    for (const auto &[id, runner] : this->runnersById) {
        if (runner->entry.service == service && this->nextSend(*runner, now))
            ids.push_back(id);
    }
    return ids;
}

std::vector<RunnerPauses::Cut> RunnerPool::removeCutPauses(TimePoint now)
{
    const auto isReplaced = [this](const std::string &id, const std::string &address, int64_t startedAtMs) {
        const RunnerPointer runner = this->find(id);
        return runner && (runner->entry.address != address || runner->entry.startedAtMs != startedAtMs);
    };
    return this->pauses.removeReplaced(isReplaced, now);
}

bool RunnerPool::isUsable(const Runner &runner, const RunnerCriteria &criteria) const
{
    return runner.entry.service == criteria.service && !runner.entry.isExpectedToLeave() &&
           !this->isEvacuated(runner) &&
           (criteria.excluded == nullptr || !criteria.excluded->contains(runner.entry.id));
}

double RunnerPool::memoryUtilization(std::string_view service, const EngineTraits &engine) const
{
    if (const auto known = this->knownUtilization.find(service); known != this->knownUtilization.end())
        return known->second;
    double usedTokens = 0;
    double capacity = 0;
    for (const auto &[id, runner] : this->runnersById) {
        if (runner->entry.service != service || runner->entry.isExpectedToLeave() ||
            runner->entry.isUnresponsive || this->isEvacuated(*runner))
            continue;
        RunnerLoad load = runner->ownLoad;
        load += runner->otherLoad;
        usedTokens += load.memory.peak();
        capacity += static_cast<double>(engine.memoryTokens);
    }
    return capacity > 0 ? usedTokens / capacity : 1.0;
}

std::vector<RunnerEntry> RunnerPool::entries() const
{
    std::vector<RunnerEntry> result;
    for (const auto &[id, runner] : this->runnersById)
        result.push_back(runner->entry);
    return result;
}

double RunnerPool::costOf(const Runner &runner, const RunnerCriteria &criteria,
                          const MemoryForecast &requiredMemory, const EngineTraits *engine, TimePoint now)
{
    RunnerLoad load = runner.ownLoad;
    load += runner.otherLoad;
    double cost = runner.failureRate * FailureCostSeconds;
    if (runner.entry.domain != criteria.domain)
        cost += criteria.crossDomainSeconds;
    // Only for the coordinator: other gateways may still reach a runner that does not respond to it.
    if (runner.entry.isUnresponsive)
        cost += FailureCostSeconds;
    if (now < runner.warmUpUntil)
        cost += WarmUpCostSeconds;
    if (!criteria.size || engine == nullptr) {
        const double seconds = runner.meanCallSeconds > 0 ? runner.meanCallSeconds : DefaultCallSeconds;
        const double occupied =
                static_cast<double>(load.activeRequests) / std::max<uint32_t>(runner.entry.slots, 1);
        return cost + seconds * (1.0 + occupied);
    }
    const auto capacity = static_cast<double>(engine->memoryTokens);
    load.memory += requiredMemory;
    double usedTokens = load.memory.peak();
    if (runner.entry.report)
        usedTokens = std::max(usedTokens, static_cast<double>(runner.entry.report->memoryUsed) +
                                                  requiredMemory.currentTokens());
    const double utilization = usedTokens / std::max(capacity, 1.0);
    if (utilization > criteria.memoryLimit)
        return std::numeric_limits<double>::infinity();
    const double slowdown = 1.0 + SlowdownPerRequest * load.activeRequests;
    if (runner.prefillUntil)
        cost += PrefillWaitWeight * std::max(toSeconds(*runner.prefillUntil - now), 0.0);
    else
        cost += load.prefillTokens / PrefillTokensPerSecond * slowdown;
    cost += criteria.size->promptTokens / PrefillTokensPerSecond * slowdown;
    cost += slowdown - 1.0;
    if (runner.entry.report)
        cost += runner.entry.report->queueDepth * QueueWaitSeconds;
    if (utilization > MemoryPressureThreshold)
        cost += (utilization - MemoryPressureThreshold) / (1.0 - MemoryPressureThreshold) *
                MemoryPressureSeconds;
    return cost;
}

std::variant<RunnerPool::RunnerPointer, NoRunner> RunnerPool::choose(const RunnerCriteria &criteria,
                                                                     const EngineTraits *engine,
                                                                     TimePoint now, Random &random) const
{
    std::vector<Candidate> candidates;
    const MemoryForecast requiredMemory =
            criteria.size ? MemoryForecast::forGeneration(*criteria.size, criteria.generatedTokens)
                          : MemoryForecast{};
    bool isAnyFull = false;
    RunnerPointer lastResort;
    for (const auto &[id, runner] : this->runnersById) {
        if (!isUsable(*runner, criteria) || this->nextSend(*runner, now))
            continue;
        const bool isEjected = runner->ejectedUntil && now < *runner->ejectedUntil;
        if (isEjected || (runner->entry.isUnresponsive && !criteria.isFromCoordinator)) {
            lastResort = runner;
            continue;
        }
        const double cost = costOf(*runner, criteria, requiredMemory, engine, now);
        if (cost == std::numeric_limits<double>::infinity())
            isAnyFull = true;
        else
            candidates.push_back({runner, cost});
    }
    if (candidates.empty()) {
        if (!isAnyFull && lastResort)
            return lastResort;
        if (isAnyFull)
            return NoRunner{NoRunner::Reason::AllFull};
        if (const auto next = this->nextSendToPaused(criteria, now))
            return NoRunner{NoRunner::Reason::AllPaused, *next};
        return NoRunner{NoRunner::Reason::NoneAvailable};
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &left, const Candidate &right) { return left.cost < right.cost; });
    if (criteria.isFromCoordinator)
        return candidates.front().runner;
    // Gateways that see the same loads differ in their choice: the better of two random candidates among the
    // cheaper half.
    const size_t choices = std::max<size_t>((candidates.size() + 1) / 2, 1);
    const size_t chosen = std::min(random.below(choices), random.below(choices));
    return candidates[chosen].runner;
}

void RunnerPool::recordSend(Runner &runner, SendHealth health, Duration duration, TimePoint now)
{
    const bool isFailure = health == SendHealth::Failed;
    runner.failureRate += SmoothingFactor * ((isFailure ? 1.0 : 0.0) - runner.failureRate);
    if (isFailure) {
        if (++runner.consecutiveFailures >= FailuresBeforeEjection)
            runner.ejectedUntil = now + EjectionTime;
        return;
    }
    runner.consecutiveFailures = 0;
    runner.ejectedUntil.reset();
    const double seconds = toSeconds(duration);
    runner.meanCallSeconds += SmoothingFactor * (seconds - runner.meanCallSeconds);
}

} // namespace eelgrasslift
