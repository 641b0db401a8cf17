#pragma once

#include "entrymodel.h"

#include <unordered_map>

namespace eelgrasslift::bench {

/// Entry with policy Eelgrasslift. It uses the librouting classes in the same way as the entry process.
class RoutingEntry : public EntryModel
{
public:
    RoutingEntry(const EntrySettings &settings, const RequestMix &mix, const std::vector<TraceRequest> &trace,
                 EntryActions actions);

    void handleArrival(uint32_t request, TimePoint now) override;
    void retry(uint32_t request, uint32_t failedEngine, uint32_t attempts, TimePoint now) override;
    void recordTokens(uint32_t request, uint32_t tokens, TimePoint now) override;
    void finish(uint32_t request, uint32_t engine, RunOutcome outcome, TimePoint now) override;
    bool cancelQueued(uint32_t request, TimePoint now) override;
    void applyReport(uint32_t engine, const LoadReport &report, TimePoint now) override;
    void applyCacheEvent(uint32_t engine, const CacheEvent &event) override;
    void markLeaving(uint32_t engine, bool isLeaving, TimePoint now) override;
    void recordStall(uint32_t engine, TimePoint now) override;
    std::vector<TargetUsage> targetUsage(TimePoint now) override { return this->selector.ownUsage(now); }
    void applyPeerTargetUsage(uint32_t peer, std::span<const TargetUsage> usage, TimePoint now) override;
    void tick(TimePoint now) override;
    size_t byteSize() const override;

private:
    /// A request that has been sent and has not ended.
    struct OpenRequest
    {
        RunId run = 0;
        /// Targets that failed the request; they are excluded from its retries.
        std::vector<std::string> failedTargets;
    };

    /// A retry that waits for the end of its back-off.
    struct DelayedRetry
    {
        uint32_t request = 0;
        TimePoint due{};
    };

    /// Adds a request to the admission queue; refuses the requests that the queue rejects or displaces.
    void enqueue(uint32_t request, TimePoint now);
    /// Sends waiting requests until no target accepts another one.
    void dispatchWaiting(TimePoint now);
    SelectRequest makeSelectRequest(uint32_t request) const;

    const RequestMix &mix;
    const std::vector<TraceRequest> &trace;
    EntryActions actions;
    Random random;
    LengthEstimator lengths;
    TargetSelector selector;
    AdmissionQueue queue;
    AccountLimiter limiter;
    RetryBudget retryBudget;
    std::vector<std::string> accountNames;
    std::unordered_map<uint32_t, OpenRequest> openRequests;
    std::vector<DelayedRetry> delayedRetries;
};

} // namespace eelgrasslift::bench
