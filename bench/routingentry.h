#pragma once

#include "entrymodel.h"

#include <unordered_map>

namespace eelgrasslift::bench {

/// An entry that decides with the librouting aggregates, in the way the entry process does.
class RoutingEntry : public EntryModel
{
public:
    RoutingEntry(const EntrySettings &settings, const Mix &mix, const std::vector<TraceRequest> &trace,
                 EntryActions actions);

    void arrive(uint32_t request, TimePoint now) override;
    void retry(uint32_t request, uint32_t failedEngine, uint32_t attempts, TimePoint now) override;
    void progress(uint32_t request, uint32_t tokens, TimePoint now) override;
    void finish(uint32_t request, uint32_t engine, RunOutcome outcome, TimePoint now) override;
    bool giveUp(uint32_t request, TimePoint now) override;
    void applyReport(uint32_t engine, const LoadReport &report, TimePoint now) override;
    void applyCacheEvent(uint32_t engine, const CacheEvent &event) override;
    void markLeaving(uint32_t engine, bool isLeaving, TimePoint now) override;
    void recordStall(uint32_t engine, TimePoint now) override;
    std::vector<TargetUsage> use(TimePoint now) override { return this->selector.ownUsage(now); }
    void applyPeerTargetUsage(uint32_t peer, std::span<const TargetUsage> use, TimePoint now) override;
    void tick(TimePoint now) override;
    size_t byteSize() const override;

private:
    struct Open
    {
        RunId run = 0;
        std::vector<std::string> excluded;
    };

    struct DelayedRetry
    {
        uint32_t request = 0;
        TimePoint due{};
    };

    void enqueue(uint32_t request, TimePoint now);
    void pump(TimePoint now);
    SelectRequest selectRequest(uint32_t request) const;

    const Mix &mix;
    const std::vector<TraceRequest> &trace;
    EntryActions actions;
    Random random;
    LengthEstimator lengths;
    TargetSelector selector;
    AdmissionQueue queue;
    AccountLimiter limiter;
    RetryBudget retries;
    std::vector<std::string> accounts;
    std::unordered_map<uint32_t, Open> open;
    std::vector<DelayedRetry> delayed;
};

} // namespace eelgrasslift::bench
