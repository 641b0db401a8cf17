#pragma once

#include "prefixcache.h"

#include "libcore/core.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrasslift::standins {

struct BatchSettings
{
    Duration tokenInterval{std::chrono::milliseconds{20}};
    Duration prefillPerToken{std::chrono::microseconds{20}};
    size_t slots = 16;
    uint64_t memory = 60'000; // tokens of all running requests, prompt and output
    uint64_t cacheMemory = 60'000;
    Duration keep{std::chrono::seconds{60}}; // how long an ended generation can still be read
};

struct GenerationRequest
{
    std::string requestId;
    std::string model;
    std::string prompt;
    uint64_t maxTokens = 0; // 0: no limit
    uint64_t priority = 5;  // 0 runs first
};

struct Generation
{
    enum class State { Waiting, Running, Complete, Cancelled };

    std::string id;
    GenerationRequest request;
    std::string digest;
    uint64_t promptTokens = 0;
    uint64_t total = 0;
    uint64_t produced = 0;
    uint64_t arrival = 0;
    uint64_t preemptions = 0;
    bool hasRun = false;
    State state = State::Waiting;
    TimePoint readyAt{};
    TimePoint endedAt{};
    uint64_t delivered = 0; // greatest index after a token that was written to a caller
    size_t readers = 0;

    uint64_t memory() const { return this->promptTokens + this->produced; }
    bool hasEnded() const { return this->state == State::Complete || this->state == State::Cancelled; }
};

const char *stateName(Generation::State state);

/// Continuous batch of an engine: each interval every running request produces one token. When memory
/// would fill up, the least important and youngest request is preempted; it keeps its tokens and
/// recomputes its context when it is admitted again.
class Batch
{
public:
    using Observer = std::function<void(const Generation &)>;

    Batch(const BatchSettings &settings, std::string incarnation);

    /// Called when a generation enters the batch for the first time, before its first token.
    void setRunObserver(Observer observer) { this->runObserver = std::move(observer); }

    /// Called after each token with the generation that produced it.
    void setTokenObserver(Observer observer) { this->tokenObserver = std::move(observer); }

    std::shared_ptr<Generation> submit(GenerationRequest request, TimePoint now);
    std::shared_ptr<Generation> find(const std::string &id) const;
    bool cancel(const std::string &id, TimePoint now);
    void tick(TimePoint now);

    size_t runningCount() const { return this->running.size(); }
    size_t waitingCount() const { return this->waiting.size(); }
    uint64_t memoryUsed() const;
    uint64_t memoryPeak() const { return this->peak; }
    uint64_t preemptionCount() const { return this->preemptions; }
    PrefixCache &prefixCache() { return this->cache; }
    const std::map<std::string, std::shared_ptr<Generation>> &generations() const { return this->all; }

private:
    void admitWaiting(TimePoint now);
    void preemptWhileFull();
    void produceTokens(TimePoint now);
    void removeExpired(TimePoint now);

    BatchSettings settings;
    std::string incarnation;
    PrefixCache cache;
    Observer runObserver;
    Observer tokenObserver;
    std::map<std::string, std::shared_ptr<Generation>> all;
    std::vector<std::shared_ptr<Generation>> waiting;
    std::vector<std::shared_ptr<Generation>> running;
    uint64_t arrivals = 0;
    uint64_t preemptions = 0;
    uint64_t peak = 0;
};

} // namespace eelgrasslift::standins
