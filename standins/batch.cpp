#include "batch.h"

#include "tokens.h"

#include <algorithm>

namespace eelgrasslift::standins {

namespace {

using GenerationPtr = std::shared_ptr<Generation>;

/// Order of admission: by priority, then by arrival. Preemption takes the reverse order.
bool runsBefore(const GenerationPtr &left, const GenerationPtr &right)
{
    if (left->request.priority != right->request.priority)
        return left->request.priority < right->request.priority;
    return left->arrivalNumber < right->arrivalNumber;
}

} // namespace

const char *stateName(Generation::State state)
{
    switch (state) {
    case Generation::State::Waiting:
        return "waiting";
    case Generation::State::Running:
        return "running";
    case Generation::State::Complete:
        return "complete";
    case Generation::State::Cancelled:
        return "cancelled";
    }
    return "";
}

Batch::Batch(const BatchSettings &settings, std::string incarnation)
    : settings(settings)
    , incarnation(std::move(incarnation))
    , cache(settings.cacheMemory)
{}

GenerationPtr Batch::submit(GenerationRequest request, TimePoint now)
{
    auto generation = std::make_shared<Generation>();
    generation->arrivalNumber = ++this->arrivalCount;
    generation->id = this->incarnation + "." + std::to_string(generation->arrivalNumber);
    generation->digest = promptDigest(request.prompt);
    generation->promptTokens = promptLength(request.prompt);
    generation->totalTokens = outputLength(request.prompt);
    if (request.maxTokens > 0)
        generation->totalTokens = std::min(generation->totalTokens, request.maxTokens);
    generation->request = std::move(request);
    this->generationsById[generation->id] = generation;
    this->waiting.push_back(generation);
    this->admitWaiting(now);
    return generation;
}

GenerationPtr Batch::find(const std::string &id) const
{
    const auto it = this->generationsById.find(id);
    return it == this->generationsById.end() ? nullptr : it->second;
}

bool Batch::cancel(const std::string &id, TimePoint now)
{
    const GenerationPtr generation = this->find(id);
    if (!generation)
        return false;
    if (!generation->hasEnded()) {
        generation->state = Generation::State::Cancelled;
        generation->endedAt = now;
        std::erase(this->waiting, generation);
        std::erase(this->running, generation);
    }
    return true;
}

void Batch::tick(TimePoint now)
{
    this->admitWaiting(now);
    this->preemptWhileFull();
    this->produceTokens(now);
    this->removeExpired(now);
}

uint64_t Batch::memoryUsed() const
{
    uint64_t used = 0;
    for (const GenerationPtr &generation : this->running)
        used += generation->memory();
    return used;
}

void Batch::admitWaiting(TimePoint now)
{
    std::sort(this->waiting.begin(), this->waiting.end(), runsBefore);
    while (!this->waiting.empty() && this->running.size() < this->settings.slots) {
        const GenerationPtr generation = this->waiting.front();
        const uint64_t needed = this->memoryUsed() + generation->memory() + this->running.size() + 1;
        if (needed > this->settings.memory && !this->running.empty())
            return;
        this->waiting.erase(this->waiting.begin());
        const uint64_t cached = this->cache.access(generation->request.prompt, generation->promptTokens);
        const uint64_t uncached = generation->memory() - std::min(cached, generation->promptTokens);
        generation->prefillEndsAt = now + this->settings.prefillPerToken * static_cast<int64_t>(uncached);
        generation->state = Generation::State::Running;
        this->running.push_back(generation);
        if (!generation->hasRun && this->runObserver)
            this->runObserver(*generation);
        generation->hasRun = true;
    }
}

void Batch::preemptWhileFull()
{
    while (this->running.size() > 1 && this->memoryUsed() + this->running.size() > this->settings.memory) {
        const auto victim = std::max_element(this->running.begin(), this->running.end(), runsBefore);
        (*victim)->state = Generation::State::Waiting;
        ++(*victim)->preemptions;
        ++this->preemptions;
        this->waiting.push_back(*victim);
        this->running.erase(victim);
    }
}

void Batch::produceTokens(TimePoint now)
{
    for (const GenerationPtr &generation : this->running) {
        if (generation->prefillEndsAt > now)
            continue;
        ++generation->generatedTokens;
        if (this->tokenObserver)
            this->tokenObserver(*generation);
        if (generation->generatedTokens >= generation->totalTokens) {
            generation->state = Generation::State::Complete;
            generation->endedAt = now;
        }
    }
    this->peakMemory = std::max(this->peakMemory, this->memoryUsed());
    std::erase_if(this->running, [](const GenerationPtr &generation) { return generation->hasEnded(); });
}

void Batch::removeExpired(TimePoint now)
{
    std::erase_if(this->generationsById, [&](const auto &entry) {
        const Generation &generation = *entry.second;
        return generation.hasEnded() && generation.openStreams == 0 &&
               generation.endedAt + this->settings.retention < now;
    });
}

} // namespace eelgrasslift::standins
