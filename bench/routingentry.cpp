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

RoutingEntry::RoutingEntry(const EntrySettings &settings, const Mix &mix,
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
        this->accounts.push_back(accountName(account));
        this->limiter.setAccount(this->accounts.back(), {50, 100, 1000}, TimePoint{});
    }
}

SelectRequest RoutingEntry::selectRequest(uint32_t request) const
{
    const TraceRequest &entry = this->trace[request];
    SelectRequest select;
    select.model = ModelName;
    select.account = this->accounts[entry.account];
    select.className = this->mix.classes[entry.classIndex].name;
    select.promptTokens = entry.promptTokens;
    select.maxTokens = MaxOutputTokens;
    select.prefixHashes = entry.prefixHashes;
    const auto known = this->open.find(request);
    if (known != this->open.end())
        select.excludedTargets = known->second.excluded;
    return select;
}

void RoutingEntry::enqueue(uint32_t request, TimePoint now)
{
    const TraceRequest &entry = this->trace[request];
    WaitingRequest waiting;
    waiting.id = request;
    waiting.account = this->accounts[entry.account];
    waiting.className = this->mix.classes[entry.classIndex].name;
    waiting.cost = entry.promptTokens +
                   this->lengths.expectedRemaining(waiting.account, waiting.className, 0, MaxOutputTokens);
    match(
            this->queue.push(std::move(waiting), now),
            [&](const Queued &queued) {
                for (const QueueRefused &displaced : queued.displaced) {
                    this->open.erase(static_cast<uint32_t>(displaced.id));
                    this->actions.refuse(static_cast<uint32_t>(displaced.id));
                }
            },
            [&](const QueueRefused &) {
                this->open.erase(request);
                this->actions.refuse(request);
            });
}

void RoutingEntry::arrive(uint32_t request, TimePoint now)
{
    const std::string &account = this->accounts[this->trace[request].account];
    if (!std::holds_alternative<Admitted>(this->limiter.admit(account, now)))
        return this->actions.refuse(request);
    // The traces are about selection; the limits are tested by themselves.
    this->limiter.release(account, now);
    this->retries.recordRequest(ModelName, now);
    this->enqueue(request, now);
    this->pump(now);
}

void RoutingEntry::pump(TimePoint now)
{
    std::string chosen;
    SelectRequest select;
    const auto offer = [&](const WaitingRequest &waiting) {
        select = this->selectRequest(static_cast<uint32_t>(waiting.id));
        select.urgency = waiting.urgency(now);
        const auto result = this->selector.select(select, now, this->random);
        if (!std::holds_alternative<TargetChoice>(result))
            return false;
        chosen = std::get<TargetChoice>(result).targetId;
        return true;
    };
    while (const auto sent = this->queue.dispatch(now, offer)) {
        const auto request = static_cast<uint32_t>(sent->id);
        this->open[request].run = this->selector.start(chosen, select, now);
        this->actions.send(request, engineNumber(chosen));
    }
}

void RoutingEntry::retry(uint32_t request, uint32_t failedEngine, uint32_t attempts, TimePoint now)
{
    const TimePoint deadline = now + this->mix.classes[this->trace[request].classIndex].deadline;
    const auto retry = this->retries.requestRetry(ModelName, attempts, true, now, deadline, this->random);
    if (!std::holds_alternative<Duration>(retry)) {
        this->open.erase(request);
        return this->actions.refuse(request);
    }
    this->open[request].excluded.push_back(engineName(failedEngine));
    this->delayed.push_back({request, now + std::get<Duration>(retry)});
}

void RoutingEntry::progress(uint32_t request, uint32_t tokens, TimePoint now)
{
    const auto known = this->open.find(request);
    if (known != this->open.end())
        this->selector.recordProgress(known->second.run, tokens, now);
}

void RoutingEntry::finish(uint32_t request, uint32_t /*engine*/, RunOutcome outcome, TimePoint now)
{
    const auto known = this->open.find(request);
    if (known == this->open.end())
        return;
    this->selector.finish(known->second.run, outcome, now);
    const TraceRequest &entry = this->trace[request];
    if (outcome == RunOutcome::Completed) {
        this->lengths.record(this->accounts[entry.account], this->mix.classes[entry.classIndex].name,
                             entry.outputTokens);
    }
    if (outcome != RunOutcome::Failed)
        this->open.erase(known);
    this->pump(now);
}

bool RoutingEntry::giveUp(uint32_t request, TimePoint /*now*/)
{
    const bool isDelayed = std::erase_if(this->delayed, [request](const DelayedRetry &retry) {
                               return retry.request == request;
                           }) > 0;
    if (!isDelayed && !this->queue.remove(request))
        return false;
    this->open.erase(request);
    return true;
}

void RoutingEntry::applyReport(uint32_t engine, const LoadReport &report, TimePoint now)
{
    this->selector.applyReport(engineName(engine), report, now);
    this->pump(now);
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

void RoutingEntry::applyPeerTargetUsage(uint32_t peer, std::span<const TargetUsage> use, TimePoint now)
{
    this->selector.applyPeerTargetUsage("entry-" + std::to_string(peer), use, now);
}

void RoutingEntry::tick(TimePoint now)
{
    std::vector<uint32_t> due;
    std::erase_if(this->delayed, [&](const DelayedRetry &retry) {
        if (retry.due <= now)
            due.push_back(retry.request);
        return retry.due <= now;
    });
    for (const uint32_t request : due)
        this->enqueue(request, now);
    for (const QueueRefused &expired : this->queue.expire(now)) {
        this->open.erase(static_cast<uint32_t>(expired.id));
        this->actions.refuse(static_cast<uint32_t>(expired.id));
    }
    this->pump(now);
}

size_t RoutingEntry::byteSize() const
{
    return this->selector.byteSize() + this->queue.byteSize() + this->limiter.byteSize() +
           this->lengths.byteSize() + this->retries.byteSize();
}

} // namespace eelgrasslift::bench
