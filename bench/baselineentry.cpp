#include "baselineentry.h"

#include "fakeengine.h"

#include <algorithm>

namespace eelgrasslift::bench {

namespace {

constexpr uint32_t MaxAttempts = 3;

} // namespace

BaselineEntry::BaselineEntry(const EntrySettings &settings, EntryActions actions)
    : kind(settings.kind)
    , actions(std::move(actions))
    , random(settings.seed * 1000 + settings.index)
    , nextIndex(settings.index)
{}

double BaselineEntry::loadOf(uint32_t engine) const
{
    if (this->kind == PolicyKind::LeastReported || this->kind == PolicyKind::LeastBounded)
        return this->reportedLoad[engine];
    return this->inFlight[engine];
}

uint32_t BaselineEntry::leastLoaded()
{
    uint32_t best = EngineCount;
    uint32_t ties = 1;
    for (uint32_t engine = 0; engine < EngineCount; ++engine) {
        if (this->isLeaving[engine])
            continue;
        const bool isBetter = best == EngineCount || this->loadOf(engine) < this->loadOf(best);
        const bool isTie = !isBetter && this->loadOf(engine) == this->loadOf(best);
        ties = isBetter ? 1 : ties + (isTie ? 1 : 0);
        if (isBetter || (isTie && this->random.below(ties) == 0))
            best = engine;
    }
    return best;
}

uint32_t BaselineEntry::chooseEngine()
{
    if (this->kind != PolicyKind::RoundRobin && this->kind != PolicyKind::TwoChoices)
        return this->leastLoaded();
    std::vector<uint32_t> available;
    for (uint32_t engine = 0; engine < EngineCount; ++engine) {
        if (!this->isLeaving[engine])
            available.push_back(engine);
    }
    if (available.empty())
        return EngineCount;
    if (this->kind == PolicyKind::RoundRobin)
        return available[this->nextIndex++ % available.size()];
    const uint32_t first = available[this->random.below(available.size())];
    const uint32_t second = available[this->random.below(available.size())];
    return this->loadOf(second) < this->loadOf(first) ? second : first;
}

void BaselineEntry::send(uint32_t request)
{
    const uint32_t engine = this->chooseEngine();
    if (engine == EngineCount)
        return this->actions.refuse(request);
    ++this->inFlight[engine];
    ++this->reportedLoad[engine];
    this->actions.send(request, engine);
}

void BaselineEntry::dispatchWaiting()
{
    while (!this->waiting.empty()) {
        const uint32_t engine = this->leastLoaded();
        if (engine == EngineCount || this->reportedLoad[engine] >= FakeEngine::Slots)
            return;
        const uint32_t request = this->waiting.front();
        this->waiting.pop_front();
        this->send(request);
    }
}

void BaselineEntry::handleArrival(uint32_t request, TimePoint /*now*/)
{
    if (this->kind != PolicyKind::LeastBounded)
        return this->send(request);
    this->waiting.push_back(request);
    this->dispatchWaiting();
}

void BaselineEntry::retry(uint32_t request, uint32_t /*failedEngine*/, uint32_t attempts, TimePoint now)
{
    if (attempts >= MaxAttempts)
        return this->actions.refuse(request);
    this->handleArrival(request, now);
}

void BaselineEntry::finish(uint32_t /*request*/, uint32_t engine, RunOutcome /*outcome*/, TimePoint /*now*/)
{
    --this->inFlight[engine];
    if (this->reportedLoad[engine] > 0)
        --this->reportedLoad[engine];
    this->dispatchWaiting();
}

bool BaselineEntry::cancelQueued(uint32_t request, TimePoint /*now*/)
{
    return std::erase(this->waiting, request) > 0;
}

void BaselineEntry::applyReport(uint32_t engine, const LoadReport &report, TimePoint /*now*/)
{
    this->reportedLoad[engine] = report.running + report.waiting;
    this->dispatchWaiting();
}

void BaselineEntry::markLeaving(uint32_t engine, bool leaving, TimePoint /*now*/)
{
    this->isLeaving[engine] = leaving;
}

} // namespace eelgrasslift::bench
