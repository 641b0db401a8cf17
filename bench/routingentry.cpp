#include "routingentry.h"

#include "fakeengine.h"

#include <algorithm>

namespace eelgrasslift::bench {

namespace {

constexpr std::string_view ModelName = "planner";

SelectorOptions selectorOptions(const EntrySettings &settings)
{
    SelectorOptions options;
    options.ownDomain = domainName(settings.index / (EntryCount / DomainCount));
    options.stallWeight = settings.stallWeight;
    return options;
}

} // namespace

RoutingEntry::RoutingEntry(const EntrySettings &settings, const RequestMix &mix,
                           const std::vector<TraceRequest> &trace, EntryActions actions)
    : mix(mix)
    , trace(trace)
    , actions(std::move(actions))
    , random(settings.seed * 1000 + settings.index)
    , selector(selectorOptions(settings), this->lengths)
{
    for (uint32_t engine = 0; engine < EngineCount; ++engine) {
        TargetSettings target;
        target.id = engineName(engine);
        target.domain = domainName(engine % DomainCount);
        target.models = {std::string(ModelName)};
        target.slots = FakeEngine::Slots;
        target.memory = FakeEngine::Memory;
        this->selector.upsertTarget(target, TimePoint{} - std::chrono::minutes{1});
    }
    for (const ClassSpec &spec : mix.classes)
        this->queue.setClass(spec.name, {spec.priority, spec.deadline, 200});
    for (uint32_t account = 0; account < AccountCount; ++account) {
        this->accountNames.push_back(accountName(account));
        this->limiter.setAccount(this->accountNames.back(), {50, 100, 1000}, TimePoint{});
    }
}

SelectRequest RoutingEntry::makeSelectRequest(uint32_t request) const
{
    const TraceRequest &traceRequest = this->trace[request];
    SelectRequest criteria;
    criteria.model = ModelName;
    criteria.account = this->accountNames[traceRequest.account];
    criteria.className = this->mix.classes[traceRequest.classIndex].name;
    criteria.promptTokens = traceRequest.promptTokens;
    criteria.maxTokens = MaxOutputTokens;
    criteria.prefixHashes = traceRequest.prefixHashes;
    const auto found = this->openRequests.find(request);
    if (found != this->openRequests.end())
        criteria.excludedTargets = found->second.failedTargets;
    return criteria;
}

void RoutingEntry::enqueue(uint32_t request, TimePoint now)
{
    const TraceRequest &traceRequest = this->trace[request];
    WaitingRequest waiting;
    waiting.id = request;
    waiting.account = this->accountNames[traceRequest.account];
    waiting.className = this->mix.classes[traceRequest.classIndex].name;
    waiting.cost = traceRequest.promptTokens +
                   this->lengths.expectedRemaining(waiting.account, waiting.className, 0, MaxOutputTokens);
    match(
            this->queue.push(std::move(waiting), now),
            [&](const Queued &queued) {
                for (const QueueRefused &displaced : queued.displaced) {
                    this->openRequests.erase(static_cast<uint32_t>(displaced.id));
                    this->actions.refuse(static_cast<uint32_t>(displaced.id));
                }
            },
            [&](const QueueRefused &) {
                this->openRequests.erase(request);
                this->actions.refuse(request);
            });
}

void RoutingEntry::handleArrival(uint32_t request, TimePoint now)
{
    const std::string &account = this->accountNames[this->trace[request].account];
    if (!std::holds_alternative<Admitted>(this->limiter.admit(account, now)))
        return this->actions.refuse(request);
    // Released at once, because these runs compare target selection; the limits command measures the limiter.
    this->limiter.release(account, now);
    this->retryBudget.recordRequest(ModelName, now);
    this->enqueue(request, now);
    this->dispatchWaiting(now);
}

void RoutingEntry::dispatchWaiting(TimePoint now)
{
    std::string chosenTarget;
    SelectRequest criteria;
    const auto offer = [&](const WaitingRequest &waiting) {
        criteria = this->makeSelectRequest(static_cast<uint32_t>(waiting.id));
        criteria.urgency = waiting.urgency(now);
        const auto result = this->selector.select(criteria, now, this->random);
        if (!std::holds_alternative<TargetChoice>(result))
            return false;
        chosenTarget = std::get<TargetChoice>(result).targetId;
        return true;
    };
    while (const auto sent = this->queue.dispatch(now, offer)) {
        const auto request = static_cast<uint32_t>(sent->id);
        this->openRequests[request].run = this->selector.start(chosenTarget, criteria, now);
        this->actions.send(request, engineIndex(chosenTarget));
    }
}

void RoutingEntry::retry(uint32_t request, uint32_t failedEngine, uint32_t attempts, TimePoint now)
{
    const TimePoint deadline = now + this->mix.classes[this->trace[request].classIndex].deadline;
    const auto retry = this->retryBudget.requestRetry(ModelName, attempts, true, now, deadline, this->random);
    if (!std::holds_alternative<Duration>(retry)) {
        this->openRequests.erase(request);
        return this->actions.refuse(request);
    }
    this->openRequests[request].failedTargets.push_back(engineName(failedEngine));
    this->delayedRetries.push_back({request, now + std::get<Duration>(retry)});
}

void RoutingEntry::recordTokens(uint32_t request, uint32_t tokens, TimePoint now)
{
    const auto found = this->openRequests.find(request);
    if (found != this->openRequests.end())
        this->selector.recordProgress(found->second.run, tokens, now);
}

void RoutingEntry::finish(uint32_t request, uint32_t /*engine*/, RunOutcome outcome, TimePoint now)
{
    const auto found = this->openRequests.find(request);
    if (found == this->openRequests.end())
        return;
    this->selector.finish(found->second.run, outcome, now);
    const TraceRequest &traceRequest = this->trace[request];
    if (outcome == RunOutcome::Completed) {
        this->lengths.record(this->accountNames[traceRequest.account],
                             this->mix.classes[traceRequest.classIndex].name, traceRequest.outputTokens);
    }
    if (outcome != RunOutcome::Failed)
        this->openRequests.erase(found);
    this->dispatchWaiting(now);
}

bool RoutingEntry::cancelQueued(uint32_t request, TimePoint /*now*/)
{
    const bool isDelayed = std::erase_if(this->delayedRetries, [request](const DelayedRetry &retry) {
                               return retry.request == request;
                           }) > 0;
    if (!isDelayed && !this->queue.remove(request))
        return false;
    this->openRequests.erase(request);
    return true;
}

void RoutingEntry::applyReport(uint32_t engine, const LoadReport &report, TimePoint now)
{
    this->selector.applyReport(engineName(engine), report, now);
    this->dispatchWaiting(now);
}

void RoutingEntry::applyCacheEvent(uint32_t engine, const CacheEvent &event)
{
    this->selector.applyCacheEvent(engineName(engine), event);
}

void RoutingEntry::markLeaving(uint32_t engine, bool isLeaving, TimePoint now)
{
    if (isLeaving)
        this->selector.markLeaving(engineName(engine));
    else
        this->selector.reinstateTarget(engineName(engine), now);
}

void RoutingEntry::recordStall(uint32_t engine, TimePoint now)
{
    this->selector.recordStall(engineName(engine), now);
}

void RoutingEntry::applyPeerTargetUsage(uint32_t peer, std::span<const TargetUsage> usage, TimePoint now)
{
    this->selector.applyPeerTargetUsage("entry-" + std::to_string(peer), usage, now);
}

void RoutingEntry::tick(TimePoint now)
{
    std::vector<uint32_t> due;
    std::erase_if(this->delayedRetries, [&](const DelayedRetry &retry) {
        if (retry.due <= now)
            due.push_back(retry.request);
        return retry.due <= now;
    });
    for (const uint32_t request : due)
        this->enqueue(request, now);
    for (const QueueRefused &expired : this->queue.expire(now)) {
        this->openRequests.erase(static_cast<uint32_t>(expired.id));
        this->actions.refuse(static_cast<uint32_t>(expired.id));
    }
    this->dispatchWaiting(now);
}

size_t RoutingEntry::byteSize() const
{
    return this->selector.byteSize() + this->queue.byteSize() + this->limiter.byteSize() +
           this->lengths.byteSize() + this->retryBudget.byteSize();
}

} // namespace eelgrasslift::bench
