#pragma once

#include "prefixcache.h"

#include "libcore/core.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrasslift::standins {

/// Size and speed of an engine's batch. Memory is counted in tokens.
struct BatchSettings
{
    Duration tokenInterval{std::chrono::milliseconds{20}};
    Duration prefillPerToken{std::chrono::microseconds{20}};
    size_t slots = 16;
    uint64_t memory = 60'000;                     // limit for all running requests, prompt and output
    uint64_t cacheMemory = 60'000;                // limit for cached prompt prefixes
    Duration retention{std::chrono::seconds{60}}; // how long an ended generation can still be read
};

/// A completion request as it is submitted to the batch.
struct GenerationRequest
{
    std::string requestId;
    std::string model;
    std::string prompt;
    uint64_t maxTokens = 0; // 0: no limit
    uint64_t priority = 5;  // 0 runs first
};

/// Progress of one request in the batch. An ended generation can be read again until it expires.
struct Generation
{
    enum class State { Waiting, Running, Complete, Cancelled };

    std::string id;
    GenerationRequest request;
    std::string digest;
    uint64_t promptTokens = 0;
    uint64_t totalTokens = 0;
    uint64_t generatedTokens = 0;
    uint64_t arrivalNumber = 0;
    uint64_t preemptions = 0;
    bool hasRun = false; // has been admitted to the batch at least once
    State state = State::Waiting;
    TimePoint prefillEndsAt{};
    TimePoint endedAt{};
    uint64_t deliveredEvents = 0; // highest number of events that a stream has sent: tokens, then the end
    size_t openStreams = 0;

    /// Tokens of prompt and output so far, which occupy the batch's memory while the generation runs.
    uint64_t memory() const { return this->promptTokens + this->generatedTokens; }
    bool hasEnded() const { return this->state == State::Complete || this->state == State::Cancelled; }
};

/// Name of the state as it is reported by GET /standin/runs.
const char *stateName(Generation::State state);

/// Simulates continuous batching in an engine: in each interval every running request generates one token.
/// When the next tokens would exceed the memory, the request with the lowest priority is preempted, and among
/// equal priorities the latest arrival. A preempted request keeps its generated tokens and repeats its
/// prefill when it is admitted again.
class Batch
{
public:
    using Observer = std::function<void(const Generation &)>;

    /// The incarnation is the prefix of all generation ids.
    Batch(const BatchSettings &settings, std::string incarnation);

    /// Sets the observer that is called when a generation is admitted for the first time, before its first
    /// token.
    void setRunObserver(Observer observer) { this->runObserver = std::move(observer); }

    /// Sets the observer that is called after each generated token.
    void setTokenObserver(Observer observer) { this->tokenObserver = std::move(observer); }

    /// Queues a request and admits it at once if a slot and enough memory are free.
    std::shared_ptr<Generation> submit(GenerationRequest request, TimePoint now);

    /// Generation with this id; null if it does not exist or has expired.
    std::shared_ptr<Generation> find(const std::string &id) const;

    /// Cancels a generation that has not ended. Returns false if there is no generation with this id.
    bool cancel(const std::string &id, TimePoint now);

    /// Runs one interval: admits, preempts, generates tokens and removes expired generations.
    void tick(TimePoint now);

    size_t runningCount() const { return this->running.size(); }
    size_t waitingCount() const { return this->waiting.size(); }

    /// Tokens of all running requests.
    uint64_t memoryUsed() const;

    /// Highest memory use so far, in tokens.
    uint64_t memoryPeak() const { return this->peakMemory; }
    uint64_t preemptionCount() const { return this->preemptions; }
    PrefixCache &prefixCache() { return this->cache; }

    /// All generations that have not expired, by id.
    const std::map<std::string, std::shared_ptr<Generation>> &generations() const
    {
        return this->generationsById;
    }

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
    std::map<std::string, std::shared_ptr<Generation>> generationsById;
    std::vector<std::shared_ptr<Generation>> waiting;
    std::vector<std::shared_ptr<Generation>> running;
    uint64_t arrivalCount = 0;
    uint64_t preemptions = 0;
    uint64_t peakMemory = 0;
};

} // namespace eelgrasslift::standins
