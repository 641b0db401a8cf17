#include "fakeengine.h"

#include "workload.h"

#include <algorithm>

namespace eelgrasslift::bench {

namespace {

// Step time of a mid-size model: a fixed part, plus a part per decoded and per prefilled token.
constexpr double BaseMilliseconds = 18;
constexpr double MillisecondsPerDecode = 0.6;
constexpr double MillisecondsPerPrefillToken = 0.08;
constexpr double PrefillTokensPerStep = 512;
// Fraction of the memory that an admission must leave free.
constexpr double AdmissionWatermark = 0.01;

} // namespace

void FakeEngine::submit(Sequence sequence)
{
    sequence.submitOrder = this->nextSubmitOrder++;
    const auto position =
            std::find_if(this->waiting.begin(), this->waiting.end(), [&](const Sequence &other) {
                return other.generatedTokens == 0 && other.priority > sequence.priority;
            });
    this->waiting.insert(position, std::move(sequence));
}

void FakeEngine::cancel(uint32_t request)
{
    const auto isRequest = [request](const Sequence &sequence) { return sequence.request == request; };
    std::erase_if(this->waiting, isRequest);
    const auto position = std::find_if(this->running.begin(), this->running.end(), isRequest);
    if (position == this->running.end())
        return;
    this->usedMemory -= position->contextLength();
    this->running.erase(position);
}

std::vector<uint32_t> FakeEngine::crash()
{
    std::vector<uint32_t> interrupted;
    for (const Sequence &sequence : this->running)
        interrupted.push_back(sequence.request);
    for (const Sequence &sequence : this->waiting)
        interrupted.push_back(sequence.request);
    this->running.clear();
    this->waiting.clear();
    this->cache.clear();
    this->cachePositions.clear();
    this->usedMemory = 0;
    this->preemptions = 0;
    this->cacheSequence = 0;
    ++this->incarnation;
    this->isAlive = false;
    return interrupted;
}

void FakeEngine::admit()
{
    while (!this->waiting.empty() && this->running.size() < Slots) {
        Sequence &head = this->waiting.front();
        const double watermark = AdmissionWatermark * this->memory;
        if (!this->running.empty() && this->usedMemory + head.contextLength() > this->memory - watermark)
            return;
        head.remainingPrefill =
                head.contextLength() - std::min(this->cachedTokens(head), head.contextLength() - 1);
        this->usedMemory += head.contextLength();
        this->running.push_back(std::move(head));
        this->waiting.pop_front();
    }
}

void FakeEngine::prefill(double &budget)
{
    for (Sequence &sequence : this->running) {
        const auto chunk = std::min(sequence.remainingPrefill, static_cast<uint32_t>(budget));
        sequence.remainingPrefill -= chunk;
        budget -= chunk;
    }
}

void FakeEngine::preemptOne(Step &step)
{
    const auto victim = std::max_element(this->running.begin(), this->running.end(),
                                         [](const Sequence &left, const Sequence &right) {
                                             if (left.priority != right.priority)
                                                 return left.priority < right.priority;
                                             return left.submitOrder < right.submitOrder;
                                         });
    this->usedMemory -= victim->contextLength();
    step.preempted.push_back(victim->request);
    ++this->preemptions;
    this->waiting.push_front(std::move(*victim));
    this->running.erase(victim);
}

void FakeEngine::decode(Step &step)
{
    for (Sequence &sequence : this->running) {
        if (sequence.remainingPrefill > 0)
            continue;
        if (sequence.generatedTokens == 0)
            this->storePrefix(sequence, step);
        ++sequence.generatedTokens;
        ++this->usedMemory;
        step.tokens.emplace_back(sequence.request, sequence.generatedTokens >= sequence.outputTokens);
    }
    std::erase_if(this->running, [this](const Sequence &sequence) {
        if (sequence.generatedTokens < sequence.outputTokens)
            return false;
        this->usedMemory -= sequence.contextLength();
        return true;
    });
}

FakeEngine::Step FakeEngine::step()
{
    Step step;
    const auto decoding = static_cast<double>(
            std::count_if(this->running.begin(), this->running.end(),
                          [](const Sequence &sequence) { return sequence.remainingPrefill == 0; }));
    while (this->usedMemory + decoding > this->memory && this->running.size() > 1)
        this->preemptOne(step);
    if (step.preempted.empty())
        this->admit();
    double budget = PrefillTokensPerStep;
    this->prefill(budget);
    this->decode(step);
    this->evictPrefixes(step);
    const double milliseconds = BaseMilliseconds +
                                MillisecondsPerDecode * static_cast<double>(step.tokens.size()) +
                                MillisecondsPerPrefillToken * (PrefillTokensPerStep - budget);
    step.time = fromSeconds(milliseconds / 1000);
    return step;
}

uint32_t FakeEngine::cachedTokens(const Sequence &sequence)
{
    uint32_t blocks = 0;
    for (const PrefixHash hash : sequence.prefixHashes) {
        const auto position = this->cachePositions.find(hash);
        if (position == this->cachePositions.end())
            break;
        this->cache.splice(this->cache.begin(), this->cache, position->second);
        ++blocks;
    }
    return blocks * TokensPerBlock;
}

void FakeEngine::storePrefix(const Sequence &sequence, Step &step)
{
    CacheEvent event{this->incarnation, 0, CacheEvent::Kind::Stored, {}};
    for (const PrefixHash hash : sequence.prefixHashes) {
        if (this->cachePositions.contains(hash))
            continue;
        this->cache.push_front(hash);
        this->cachePositions.emplace(hash, this->cache.begin());
        event.hashes.push_back(hash);
    }
    if (event.hashes.empty())
        return;
    event.sequence = ++this->cacheSequence;
    step.cacheEvents.push_back(std::move(event));
}

void FakeEngine::evictPrefixes(Step &step)
{
    CacheEvent event{this->incarnation, 0, CacheEvent::Kind::Evicted, {}};
    const double capacity = std::max(0.0, this->memory - this->usedMemory) / TokensPerBlock;
    while (static_cast<double>(this->cache.size()) > capacity) {
        event.hashes.push_back(this->cache.back());
        this->cachePositions.erase(this->cache.back());
        this->cache.pop_back();
    }
    if (event.hashes.empty())
        return;
    event.sequence = ++this->cacheSequence;
    step.cacheEvents.push_back(std::move(event));
}

LoadReport FakeEngine::report(TimePoint now) const
{
    LoadReport report;
    report.incarnation = this->incarnation;
    report.reportedAtMs = toMilliseconds(now.time_since_epoch());
    report.running = static_cast<uint32_t>(this->running.size());
    report.waiting = static_cast<uint32_t>(this->waiting.size());
    report.memoryUsed = this->usedMemory;
    report.memoryTotal = this->memory;
    report.preemptions = this->preemptions;
    return report;
}

} // namespace eelgrasslift::bench
