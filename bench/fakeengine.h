#pragma once

#include "libcore/time.h"
#include "librouting/target.h"

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace eelgrasslift::bench {

/// Simulated model engine: continuous batching with chunked prefill, a limited KV cache, preemption with
/// recomputation when the KV cache is full during decoding, and a prefix cache in the free part of the KV
/// cache.
///
/// The simulation calls step() repeatedly while hasWork(); each step takes the simulated time Step::time.
class FakeEngine
{
public:
    /// One request in the engine.
    struct Sequence
    {
        /// Index in the trace.
        uint32_t request = 0;
        /// 0 is served first.
        uint32_t priority = 0;
        uint32_t promptTokens = 0;
        uint32_t outputTokens = 0;
        uint32_t generatedTokens = 0;
        /// Tokens that must be prefilled before decoding.
        uint32_t remainingPrefill = 0;
        /// Set by submit().
        uint64_t submitOrder = 0;
        std::vector<PrefixHash> prefixHashes;

        /// Number of tokens that the sequence occupies in the KV cache while it runs.
        uint32_t contextLength() const { return this->promptTokens + this->generatedTokens; }
    };

    /// Result of one step.
    struct Step
    {
        /// Duration of the step, at whose end its tokens are delivered.
        Duration time{};
        /// Requests that generated a token, and whether it was their last.
        std::vector<std::pair<uint32_t, bool>> tokens;
        /// Requests that were preempted; they wait for readmission.
        std::vector<uint32_t> preempted;
        std::vector<CacheEvent> cacheEvents;
    };

    /// Maximum number of running sequences.
    static constexpr uint32_t Slots = 16;
    /// KV cache size in tokens.
    static constexpr double Memory = 60000;

    /// Enqueues a sequence ahead of waiting ones of lower priority, but not ahead of those that were
    /// preempted after their first token.
    void submit(Sequence sequence);
    /// Removes a waiting or running request; does nothing if the request is unknown.
    void cancel(uint32_t request);

    /// Stops the engine and discards its state. Returns its waiting and running requests.
    std::vector<uint32_t> crash();
    /// Makes a crashed engine accept requests again, as a new incarnation.
    void restart() { this->isAlive = true; }

    bool alive() const { return this->isAlive; }
    bool hasWork() const { return !this->running.empty() || !this->waiting.empty(); }
    /// Changes the KV cache size in tokens; sequences that no longer fit are preempted by the next steps.
    void setMemory(double capacity) { this->memory = capacity; }

    /// Executes one batch step: preempts sequences that do not fit, or else admits waiting ones, then
    /// prefills and decodes.
    Step step();
    /// Load report for the entries.
    LoadReport report(TimePoint now) const;

private:
    /// Admits waiting sequences in order while slots and memory are free. If none is running, the first one
    /// is admitted whatever its size.
    void admit();
    /// Prefills running sequences and reduces `budget` by the number of processed tokens.
    void prefill(double &budget);
    /// Generates one token for each prefilled sequence, and removes the completed ones.
    void decode(Step &step);
    /// Preempts the newest sequence of the lowest priority.
    void preemptOne(Step &step);
    /// Number of prompt tokens in the prefix cache; marks their blocks as most recently used.
    uint32_t cachedTokens(const Sequence &sequence);
    /// Adds the prefix blocks of the sequence to the prefix cache.
    void storePrefix(const Sequence &sequence, Step &step);
    /// Evicts the least recently used blocks that do not fit in the free memory.
    void evictPrefixes(Step &step);

    std::vector<Sequence> running;
    std::deque<Sequence> waiting;
    double memory = Memory;
    /// Tokens in the KV cache of the running sequences.
    double usedMemory = 0;
    bool isAlive = true;
    uint64_t nextSubmitOrder = 0;
    uint64_t preemptions = 0;
    uint64_t incarnation = 1;
    uint64_t cacheSequence = 0;
    /// Prefix cache, one hash per block, most recently used first.
    std::list<PrefixHash> cache;
    std::unordered_map<PrefixHash, std::list<PrefixHash>::iterator> cachePositions;
};

} // namespace eelgrasslift::bench
