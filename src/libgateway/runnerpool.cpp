#include "libgateway/runnerpool.h"

#include "libgateway/generationtime.h"

#include <algorithm>
#include <limits>

namespace eelgrasslift {

namespace {

// Slowdown of an engine's step by one more running generation, as a share of the bare step.
constexpr double SlowdownPerRun = 0.017;

// Cost in seconds of memory use close to the limit: preemption reads a whole prompt again.
constexpr double MemoryPressureSeconds = 0.3;
constexpr double MemoryPressureFrom = 0.6;

// Weight of the wait behind other prompts: each of them also slows the tokens of all generations there.
constexpr double PromptWaitWeight = 2.0;

// What a generation waits behind one that waits at the runner already: until a running one ends.
constexpr double QueuedSeconds = 0.5;

// A runner that fails all it gets costs as much as this wait.
constexpr double FailureSeconds = 2.0;
constexpr double WarmUpSeconds = 0.4;

// Weight of the newest send in the decaying means.
constexpr double NewestWeight = 0.2;

// After this many failures in a row a runner gets no work for a while, then one request tries it.
constexpr uint32_t FailuresBeforeShunning = 3;
constexpr Duration ShunFor = std::chrono::milliseconds{1500};

// Assumed time of a call of a plain service until one was measured.
constexpr double DefaultCallSeconds = 0.03;

// A leaving runner that does not say when it ends is treated as gone after this time.
constexpr Duration AssumedNotice = std::chrono::milliseconds{1200};

// Reports are some hundred milliseconds old when they arrive; what they say of the time left is older by
// that.
constexpr Duration ReportAge = std::chrono::milliseconds{500};

} // namespace

Duration RunnerPool::Runner::timeUntilStop(TimePoint now) const
{
    return this->stopsAt ? *this->stopsAt - now : AssumedNotice;
}

void RunnerPool::Runner::addPrefill(double tokens, TimePoint now)
{
    this->prefillUntil =
            std::max(this->prefillUntil.value_or(now), now) + fromSeconds(tokens / PrefillTokensPerSecond);
}

void RunnerPool::setFleet(std::span<const RunnerEntry> entries, TimePoint now)
{
    std::map<std::string, RunnerPointer, std::less<>> next;
    for (const RunnerEntry &entry : entries) {
        auto found = this->pool.find(entry.id);
        const bool isSame = found != this->pool.end() && found->second->entry.address == entry.address &&
                            found->second->entry.startedAtMs == entry.startedAtMs;
        RunnerPointer runner = isSame ? found->second : std::make_shared<Runner>();
        const bool wasLeaving = isSame && runner->entry.isLeaving;
        runner->entry = entry;
        runner->entry.isLeaving = entry.isLeaving || wasLeaving || (entry.report && entry.report->isLeaving);
        runner->seenAt = now;
        if (entry.warmUpRemaining > Duration::zero())
            runner->warmUpUntil = now + entry.warmUpRemaining;
        if (entry.report && entry.report->timeUntilStop)
            runner->stopsAt = std::min(now + *entry.report->timeUntilStop - ReportAge,
                                       runner->stopsAt.value_or(TimePoint::max()));
        next.emplace(entry.id, std::move(runner));
    }
    this->pool = std::move(next);
}

void RunnerPool::setOtherLoad(const std::map<std::string, RunnerLoad, std::less<>> &loads)
{
    for (const auto &[id, runner] : this->pool) {
        const auto found = loads.find(id);
        runner->otherLoad = found == loads.end() ? RunnerLoad{} : found->second;
    }
}

void RunnerPool::markLeaving(std::string_view id)
{
    if (const auto found = this->pool.find(id); found != this->pool.end())
        found->second->entry.isLeaving = true;
}

RunnerPool::RunnerPointer RunnerPool::find(std::string_view id) const
{
    const auto found = this->pool.find(id);
    return found == this->pool.end() ? nullptr : found->second;
}

double RunnerPool::memoryUtilization(std::string_view service, const EngineTraits &engine) const
{
    double held = 0;
    double capacity = 0;
    for (const auto &[id, runner] : this->pool) {
        if (runner->entry.service != service || runner->entry.isExpectedToLeave() ||
            runner->entry.isUnresponsive)
            continue;
        RunnerLoad load = runner->ownLoad;
        load += runner->otherLoad;
        held += load.memory.peak();
        capacity += static_cast<double>(engine.memoryTokens);
    }
    return capacity > 0 ? held / capacity : 1.0;
}

std::vector<RunnerEntry> RunnerPool::entries() const
{
    std::vector<RunnerEntry> result;
    for (const auto &[id, runner] : this->pool)
        result.push_back(runner->entry);
    return result;
}

double RunnerPool::costOf(const Runner &runner, const RunnerCriteria &request, const MemoryForecast &needed,
                          const EngineTraits *engine, TimePoint now)
{
    RunnerLoad load = runner.ownLoad;
    load += runner.otherLoad;
    double cost = runner.failureRate * FailureSeconds;
    if (runner.entry.domain != request.domain)
        cost += request.crossDomainSeconds;
    // Whoever chooses for all gateways does not know whether they reach the runner themselves.
    if (runner.entry.isUnresponsive)
        cost += FailureSeconds;
    if (now < runner.warmUpUntil)
        cost += WarmUpSeconds;
    if (!request.size || engine == nullptr) {
        const double seconds = runner.meanCallSeconds > 0 ? runner.meanCallSeconds : DefaultCallSeconds;
        const double occupied =
                static_cast<double>(load.activeRequests) / std::max<uint32_t>(runner.entry.slots, 1);
        return cost + seconds * (1.0 + occupied);
    }
    const auto capacity = static_cast<double>(engine->memoryTokens);
    load.memory += needed;
    double held = load.memory.peak();
    if (runner.entry.report)
        held = std::max(held, static_cast<double>(runner.entry.report->memoryUsed) + needed.currentTokens());
    const double used = held / std::max(capacity, 1.0);
    if (used > request.memoryLimit)
        return std::numeric_limits<double>::infinity();
    const double slowdown = 1.0 + SlowdownPerRun * load.activeRequests;
    if (runner.prefillUntil)
        cost += PromptWaitWeight * std::max(toSeconds(*runner.prefillUntil - now), 0.0);
    else
        cost += load.prefillTokens / PrefillTokensPerSecond * slowdown;
    cost += request.size->promptTokens / PrefillTokensPerSecond * slowdown;
    cost += slowdown - 1.0;
    if (runner.entry.report)
        cost += runner.entry.report->queueDepth * QueuedSeconds;
    if (used > MemoryPressureFrom)
        cost += (used - MemoryPressureFrom) / (1.0 - MemoryPressureFrom) * MemoryPressureSeconds;
    return cost;
}

std::variant<RunnerPool::RunnerPointer, NoRunner> RunnerPool::choose(const RunnerCriteria &request,
                                                                     const EngineTraits *engine,
                                                                     TimePoint now, Random &random) const
{
    std::vector<Candidate> candidates;
    const MemoryForecast needed =
            request.size ? MemoryForecast::forGeneration(*request.size, request.generatedTokens)
                         : MemoryForecast{};
    bool isAnyFull = false;
    RunnerPointer shunned;
    for (const auto &[id, runner] : this->pool) {
        const bool isUsable = runner->entry.service == request.service &&
                              !runner->entry.isExpectedToLeave() &&
                              (request.excluded == nullptr || !request.excluded->contains(id));
        if (!isUsable)
            continue;
        const bool isShunned = runner->ejectedUntil && now < *runner->ejectedUntil;
        if (isShunned || (runner->entry.isUnresponsive && !request.isFromCoordinator)) {
            shunned = runner;
            continue;
        }
        const double cost = costOf(*runner, request, needed, engine, now);
        if (cost == std::numeric_limits<double>::infinity())
            isAnyFull = true;
        else
            candidates.push_back({runner, cost});
    }
    if (candidates.empty()) {
        if (!isAnyFull && shunned)
            return shunned;
        return NoRunner{isAnyFull ? NoRunner::Reason::AllFull : NoRunner::Reason::NoneAvailable};
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &left, const Candidate &right) { return left.cost < right.cost; });
    if (request.isFromCoordinator)
        return candidates.front().runner;
    // The better of two random choices among the cheaper half keeps gateways apart that see the same loads.
    const size_t choices = std::max<size_t>((candidates.size() + 1) / 2, 1);
    const size_t chosen = std::min(random.below(choices), random.below(choices));
    return candidates[chosen].runner;
}

void RunnerPool::recordSend(Runner &runner, SendHealth health, Duration duration, TimePoint now)
{
    const bool isFailure = health == SendHealth::Failed;
    runner.failureRate += NewestWeight * ((isFailure ? 1.0 : 0.0) - runner.failureRate);
    if (isFailure) {
        if (++runner.consecutiveFailures >= FailuresBeforeShunning)
            runner.ejectedUntil = now + ShunFor;
        return;
    }
    runner.consecutiveFailures = 0;
    runner.ejectedUntil.reset();
    const double seconds = toSeconds(duration);
    runner.meanCallSeconds += NewestWeight * (seconds - runner.meanCallSeconds);
}

} // namespace eelgrasslift
