#pragma once

#include "entrymodel.h"

#include <array>
#include <deque>

namespace eelgrasslift::bench {

/// Entry with one of the baseline policies. All but LeastBounded send each request at once, so that requests
/// wait in the queues of the engines.
class BaselineEntry : public EntryModel
{
public:
    BaselineEntry(const EntrySettings &settings, EntryActions actions);

    void handleArrival(uint32_t request, TimePoint now) override;
    void retry(uint32_t request, uint32_t failedEngine, uint32_t attempts, TimePoint now) override;
    void recordTokens(uint32_t /*request*/, uint32_t /*tokens*/, TimePoint /*now*/) override {}
    void finish(uint32_t request, uint32_t engine, RunOutcome outcome, TimePoint now) override;
    bool cancelQueued(uint32_t request, TimePoint now) override;
    void applyReport(uint32_t engine, const LoadReport &report, TimePoint now) override;
    void applyCacheEvent(uint32_t /*engine*/, const CacheEvent & /*event*/) override {}
    void markLeaving(uint32_t engine, bool isLeaving, TimePoint now) override;
    void recordStall(uint32_t /*engine*/, TimePoint /*now*/) override {}
    std::vector<TargetUsage> targetUsage(TimePoint /*now*/) override { return {}; }
    void applyPeerTargetUsage(uint32_t /*peer*/, std::span<const TargetUsage> /*usage*/,
                              TimePoint /*now*/) override
    {}
    void tick(TimePoint /*now*/) override { this->dispatchWaiting(); }
    size_t byteSize() const override { return sizeof(*this); }

private:
    /// Chooses an engine by the policy; EngineCount if all engines are leaving.
    uint32_t chooseEngine();
    /// The engine with the lowest load, a random one of equals; EngineCount if all engines are leaving.
    uint32_t leastLoaded();
    /// Number of requests on the engine, as the policy counts them.
    double loadOf(uint32_t engine) const;
    /// Sends a request to the chosen engine, or refuses it if all engines are leaving.
    void send(uint32_t request);
    /// Sends waiting requests while an engine has a free slot.
    void dispatchWaiting();

    PolicyKind kind;
    EntryActions actions;
    Random random;
    /// For RoundRobin; starts at the index of the entry, so that the entries do not all begin with the same
    /// engine.
    uint32_t nextIndex;
    /// Requests of this entry per engine.
    std::array<uint32_t, EngineCount> inFlight{};
    /// Requests per engine by its last load report, updated by the sends and finished runs of this entry.
    std::array<uint32_t, EngineCount> reportedLoad{};
    std::array<bool, EngineCount> isLeaving{};
    std::deque<uint32_t> waiting;
};

} // namespace eelgrasslift::bench
