#pragma once

#include "libcore/time.h"
#include "librouting/target.h"

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace eelgrasslift::bench {

/// Model of one engine for measurement: continuous batching with chunked prefill, limited cache memory,
/// preemption with recomputation when the memory fills up during decoding, and a prefix cache in what
/// memory is left.
class FakeEngine
{
public:
    struct Sequence
    {
        uint32_t request = 0;
        uint32_t priority = 0;
        uint32_t promptTokens = 0;
        uint32_t outputTokens = 0;
        uint32_t produced = 0;
        uint32_t prefillLeft = 0;
        uint64_t order = 0;
        std::vector<PrefixHash> prefixHashes;

        uint32_t tokens() const { return this->promptTokens + this->produced; }
    };

    /// What one step did; its tokens leave the engine at the end of the step.
    struct Step
    {
        Duration time{};
        /// Requests that produced one token, and whether it was their last.
        std::vector<std::pair<uint32_t, bool>> tokens;
        std::vector<uint32_t> preempted;
        std::vector<CacheEvent> cacheEvents;
    };

    static constexpr uint32_t Slots = 16;
    static constexpr double Memory = 60000;

    void submit(Sequence sequence);
    void cancel(uint32_t request);

    /// The engine has died: returns its requests and forgets everything.
    std::vector<uint32_t> die();
    void restart() { this->isAlive = true; }

    bool alive() const { return this->isAlive; }
    bool hasWork() const { return !this->running.empty() || !this->waiting.empty(); }
    void setMemory(double units) { this->memory = units; }

    Step step();
    LoadReport report(TimePoint now) const;

private:
    void admit();
    void prefill(double &budget);
    void decode(Step &step);
    void preemptOne(Step &step);
    uint32_t cachedTokens(const Sequence &sequence);
    void store(const Sequence &sequence, Step &step);
    void evict(Step &step);

    std::vector<Sequence> running;
    std::deque<Sequence> waiting;
    double memory = Memory;
    double used = 0;
    bool isAlive = true;
    uint64_t nextOrder = 0;
    uint64_t preemptions = 0;
    uint64_t incarnation = 1;
    uint64_t cacheSequence = 0;
    /// Most recently used first.
    std::list<PrefixHash> cache;
    std::unordered_map<PrefixHash, std::list<PrefixHash>::iterator> cachePlaces;
};

} // namespace eelgrasslift::bench
