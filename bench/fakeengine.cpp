#include "fakeengine.h"

#include "workload.h"

#include <algorithm>

namespace eelgrasslift::bench {

namespace {

// Step time of a mid-size model: fixed part, per decoded token, per prefilled token.
constexpr double BaseMilliseconds = 18;
constexpr double MillisecondsPerDecode = 0.6;
constexpr double MillisecondsPerPrefillToken = 0.08;
constexpr double PrefillTokensPerStep = 512;
// Share of the memory that must be free before a waiting request is admitted.
constexpr double AdmissionReserve = 0.01;

} // namespace

void FakeEngine::submit(Sequence sequence)
{
    sequence.order = this->nextOrder++;
    const auto place = std::find_if(this->waiting.begin(), this->waiting.end(), [&](const Sequence &other) {
        return other.produced == 0 && other.priority > sequence.priority;
    });
    this->waiting.insert(place, std::move(sequence));
}

void FakeEngine::cancel(uint32_t request)
{
    const auto isRequest = [request](const Sequence &sequence) { return sequence.request == request; };
    std::erase_if(this->waiting, isRequest);
    const auto place = std::find_if(this->running.begin(), this->running.end(), isRequest);
    if (place == this->running.end())
        return;
    this->used -= place->tokens();
    this->running.erase(place);
}

std::vector<uint32_t> FakeEngine::die()
{
    std::vector<uint32_t> lost;
    for (const Sequence &sequence : this->running)
        lost.push_back(sequence.request);
    for (const Sequence &sequence : this->waiting)
        lost.push_back(sequence.request);
    this->running.clear();
    this->waiting.clear();
    this->cache.clear();
    this->cachePlaces.clear();
    this->used = 0;
    this->preemptions = 0;
    this->cacheSequence = 0;
    ++this->incarnation;
    this->isAlive = false;
    return lost;
}

void FakeEngine::admit()
{
    while (!this->waiting.empty() && this->running.size() < Slots) {
        Sequence &head = this->waiting.front();
        const double reserve = AdmissionReserve * this->memory;
        if (!this->running.empty() && this->used + head.tokens() > this->memory - reserve)
            return;
        head.prefillLeft = head.tokens() - std::min(this->cachedTokens(head), head.tokens() - 1);
        this->used += head.tokens();
        this->running.push_back(std::move(head));
        this->waiting.pop_front();
    }
}

void FakeEngine::prefill(double &budget)
{
    for (Sequence &sequence : this->running) {
        const auto part = std::min(sequence.prefillLeft, static_cast<uint32_t>(budget));
        sequence.prefillLeft -= part;
        budget -= part;
    }
}

void FakeEngine::preemptOne(Step &step)
{
    const auto victim = std::max_element(this->running.begin(), this->running.end(),
                                         [](const Sequence &left, const Sequence &right) {
                                             if (left.priority != right.priority)
                                                 return left.priority < right.priority;
                                             return left.order < right.order;
                                         });
    this->used -= victim->tokens();
    step.preempted.push_back(victim->request);
    ++this->preemptions;
    this->waiting.push_front(std::move(*victim));
    this->running.erase(victim);
}

void FakeEngine::decode(Step &step)
{
    for (Sequence &sequence : this->running) {
        if (sequence.prefillLeft > 0)
            continue;
        if (sequence.produced == 0)
            this->store(sequence, step);
        ++sequence.produced;
        ++this->used;
        step.tokens.emplace_back(sequence.request, sequence.produced >= sequence.outputTokens);
    }
    std::erase_if(this->running, [this](const Sequence &sequence) {
        if (sequence.produced < sequence.outputTokens)
            return false;
        this->used -= sequence.tokens();
        return true;
    });
}

FakeEngine::Step FakeEngine::step()
{
    Step step;
    const auto decoding = static_cast<double>(
            std::count_if(this->running.begin(), this->running.end(),
                          [](const Sequence &sequence) { return sequence.prefillLeft == 0; }));
    while (this->used + decoding > this->memory && this->running.size() > 1)
        this->preemptOne(step);
    if (step.preempted.empty())
        this->admit();
    double budget = PrefillTokensPerStep;
    this->prefill(budget);
    this->decode(step);
    this->evict(step);
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
        const auto place = this->cachePlaces.find(hash);
        if (place == this->cachePlaces.end())
            break;
        this->cache.splice(this->cache.begin(), this->cache, place->second);
        ++blocks;
    }
    return blocks * TokensPerBlock;
}

void FakeEngine::store(const Sequence &sequence, Step &step)
{
    CacheEvent event{this->incarnation, 0, CacheEvent::Kind::Stored, {}};
    for (const PrefixHash hash : sequence.prefixHashes) {
        if (this->cachePlaces.contains(hash))
            continue;
        this->cache.push_front(hash);
        this->cachePlaces.emplace(hash, this->cache.begin());
        event.hashes.push_back(hash);
    }
    if (event.hashes.empty())
        return;
    event.sequence = ++this->cacheSequence;
    step.cacheEvents.push_back(std::move(event));
}

void FakeEngine::evict(Step &step)
{
    CacheEvent event{this->incarnation, 0, CacheEvent::Kind::Evicted, {}};
    const double room = std::max(0.0, this->memory - this->used) / TokensPerBlock;
    while (static_cast<double>(this->cache.size()) > room) {
        event.hashes.push_back(this->cache.back());
        this->cachePlaces.erase(this->cache.back());
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
    report.memoryUsed = this->used;
    report.memoryTotal = this->memory;
    report.preemptions = this->preemptions;
    return report;
}

} // namespace eelgrasslift::bench
