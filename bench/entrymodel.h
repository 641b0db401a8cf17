#pragma once

#include "workload.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasslift::bench {

/// How an entry selects an engine for a request. All but Eelgrasslift are baselines.
enum class PolicyKind {
    RoundRobin,
    LeastRequests, ///< Fewest requests in flight from this entry.
    TwoChoices,    ///< Of two random engines, the one with fewer requests in flight from this entry.
    LeastReported, ///< Fewest requests, by the last load report and this entry's requests since then.
    LeastBounded,  ///< LeastReported with a FIFO queue in the entry, where requests wait for a free slot.
    Eelgrasslift,  ///< TargetSelector and AdmissionQueue of librouting.
};

/// Name of the policy, as in the tables and the CSV file.
std::string_view toString(PolicyKind kind);

/// Callbacks from an entry to the simulation.
struct EntryActions
{
    /// Sends the request to the engine.
    std::function<void(uint32_t request, uint32_t engine)> send;
    /// Refuses the request, which is not running on any engine: on arrival, while it waits, or when it may
    /// not be retried.
    std::function<void(uint32_t request)> refuse;
};

/// Simulated entry with one selection policy. Requests are identified by their index in the trace, engines by
/// their index in the fleet. FleetSimulation calls the functions in order of simulated time.
class EntryModel
{
public:
    virtual ~EntryModel() = default;

    /// Handles a new request: sends, enqueues or refuses it.
    virtual void handleArrival(uint32_t request, TimePoint now) = 0;
    /// Retries a request whose run on `failedEngine` failed, or refuses it. Called after finish() for that
    /// run; `attempts` is the number of sends so far.
    virtual void retry(uint32_t request, uint32_t failedEngine, uint32_t attempts, TimePoint now) = 0;
    /// Records the number of output tokens that the caller has received so far.
    virtual void recordTokens(uint32_t request, uint32_t tokens, TimePoint now) = 0;
    /// Ends a run on an engine; a failed run may be followed by retry().
    virtual void finish(uint32_t request, uint32_t engine, RunOutcome outcome, TimePoint now) = 0;
    /// Removes a request that waits in the entry for a target or for a retry. Returns false if it is not
    /// waiting, for example because it runs on an engine.
    virtual bool cancelQueued(uint32_t request, TimePoint now) = 0;
    /// Applies a load report of an engine.
    virtual void applyReport(uint32_t engine, const LoadReport &report, TimePoint now) = 0;
    /// Applies a prefix cache event of an engine.
    virtual void applyCacheEvent(uint32_t engine, const CacheEvent &event) = 0;
    /// Excludes an engine from selection, or readmits it.
    virtual void markLeaving(uint32_t engine, bool isLeaving, TimePoint now) = 0;
    /// Records that a stream from the engine exceeded its stall limit.
    virtual void recordStall(uint32_t engine, TimePoint now) = 0;
    /// This entry's usage per engine, for gossip.
    virtual std::vector<TargetUsage> targetUsage(TimePoint now) = 0;
    /// Replaces the usage of all engines by the entry `peer`, as received by gossip.
    virtual void applyPeerTargetUsage(uint32_t peer, std::span<const TargetUsage> usage, TimePoint now) = 0;
    /// Called every 100 ms: sends retries that are due and expires waiting requests.
    virtual void tick(TimePoint now) = 0;
    /// Approximate memory use of the selection state in bytes.
    virtual size_t byteSize() const = 0;
};

/// Settings of one simulated entry.
struct EntrySettings
{
    /// Index in the fleet, 0 to EntryCount - 1.
    uint32_t index = 0;
    PolicyKind kind = PolicyKind::Eelgrasslift;
    /// SelectorOptions::stallWeight; only for PolicyKind::Eelgrasslift.
    uint32_t stallWeight = 50;
    uint64_t seed = 1;
};

/// Creates an entry with the policy of the settings. `mix` and `trace` must outlive it.
std::unique_ptr<EntryModel> makeEntry(const EntrySettings &settings, const RequestMix &mix,
                                      const std::vector<TraceRequest> &trace, EntryActions actions);

/// Target id of an engine, from its index.
std::string engineName(uint32_t engine);
/// Inverse of engineName(); the name must be valid.
uint32_t engineIndex(std::string_view name);
/// Name of a failure domain, from its index.
std::string domainName(uint32_t domain);

} // namespace eelgrasslift::bench
