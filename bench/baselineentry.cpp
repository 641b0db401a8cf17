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
    , next(settings.index)
{}

double BaselineEntry::loadOf(uint32_t engine) const
{
    if (this->kind == PolicyKind::LeastReported || this->kind == PolicyKind::LeastBounded)
        return this->reported[engine];
    return this->inFlight[engine];
}

uint32_t BaselineEntry::least()
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

uint32_t BaselineEntry::choose()
{
    if (this->kind != PolicyKind::RoundRobin && this->kind != PolicyKind::TwoChoices)
        return this->least();
    std::vector<uint32_t> live;
    for (uint32_t engine = 0; engine < EngineCount; ++engine) {
        if (!this->isLeaving[engine])
            live.push_back(engine);
    }
    if (live.empty())
        return EngineCount;
    if (this->kind == PolicyKind::RoundRobin)
        return live[this->next++ % live.size()];
    const uint32_t first = live[this->random.below(live.size())];
    const uint32_t second = live[this->random.below(live.size())];
    return this->loadOf(second) < this->loadOf(first) ? second : first;
}

void BaselineEntry::send(uint32_t request)
{
    const uint32_t engine = this->choose();
    if (engine == EngineCount)
        return this->actions.refuse(request);
    ++this->inFlight[engine];
    ++this->reported[engine];
    this->actions.send(request, engine);
}

void BaselineEntry::pump()
{
    while (!this->waiting.empty()) {
        const uint32_t engine = this->least();
        if (engine == EngineCount || this->reported[engine] >= FakeEngine::Slots)
            return;
        const uint32_t request = this->waiting.front();
        this->waiting.pop_front();
        this->send(request);
    }
}

void BaselineEntry::arrive(uint32_t request, TimePoint /*now*/)
{
    if (this->kind != PolicyKind::LeastBounded)
        return this->send(request);
    this->waiting.push_back(request);
    this->pump();
}

void BaselineEntry::retry(uint32_t request, uint32_t /*failedEngine*/, uint32_t attempts, TimePoint now)
{
    if (attempts >= MaxAttempts)
        return this->actions.refuse(request);
    this->arrive(request, now);
}

void BaselineEntry::finish(uint32_t /*request*/, uint32_t engine, RunOutcome /*outcome*/, TimePoint /*now*/)
{
    --this->inFlight[engine];
    if (this->reported[engine] > 0)
        --this->reported[engine];
    this->pump();
}

bool BaselineEntry::giveUp(uint32_t request, TimePoint /*now*/)
{
    return std::erase(this->waiting, request) > 0;
}

void BaselineEntry::applyReport(uint32_t engine, const LoadReport &report, TimePoint /*now*/)
{
    this->reported[engine] = report.running + report.waiting;
    this->pump();
}

void BaselineEntry::markLeaving(uint32_t engine, bool leaving, TimePoint /*now*/)
{
    this->isLeaving[engine] = leaving;
}

} // namespace eelgrasslift::bench
