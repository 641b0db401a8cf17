#pragma once

#include "entrymodel.h"

#include <array>
#include <deque>

namespace eelgrasslift::bench {

/// The policies to compare with. Apart from LeastBounded they send at once and leave the waiting to the
/// engines.
class BaselineEntry : public EntryModel
{
public:
    BaselineEntry(const EntrySettings &settings, EntryActions actions);

    void arrive(uint32_t request, TimePoint now) override;
    void retry(uint32_t request, uint32_t failedEngine, uint32_t attempts, TimePoint now) override;
    void progress(uint32_t /*request*/, uint32_t /*tokens*/, TimePoint /*now*/) override {}
    void finish(uint32_t request, uint32_t engine, RunOutcome outcome, TimePoint now) override;
    bool giveUp(uint32_t request, TimePoint now) override;
    void applyReport(uint32_t engine, const LoadReport &report, TimePoint now) override;
    void applyCacheEvent(uint32_t /*engine*/, const CacheEvent & /*event*/) override {}
    void markLeaving(uint32_t engine, bool isLeaving, TimePoint now) override;
    void recordStall(uint32_t /*engine*/, TimePoint /*now*/) override {}
    std::vector<TargetUsage> use(TimePoint /*now*/) override { return {}; }
    void applyPeerTargetUsage(uint32_t /*peer*/, std::span<const TargetUsage> /*use*/,
                              TimePoint /*now*/) override
    {}
    void tick(TimePoint /*now*/) override { this->pump(); }
    size_t byteSize() const override { return sizeof(*this); }

private:
    uint32_t choose();
    uint32_t least();
    double loadOf(uint32_t engine) const;
    void send(uint32_t request);
    void pump();

    PolicyKind kind;
    EntryActions actions;
    Random random;
    uint32_t next;
    std::array<uint32_t, EngineCount> inFlight{};
    std::array<uint32_t, EngineCount> reported{};
    std::array<bool, EngineCount> isLeaving{};
    std::deque<uint32_t> waiting;
};

} // namespace eelgrasslift::bench
