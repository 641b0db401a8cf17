#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace eelgrasslift {

/// Prometheus metrics of an entry process. Thread-safe.
class EntryMetrics
{
public:
    EntryMetrics();

    /// Returns all metrics in the Prometheus text exposition format.
    std::string text() const;

    /// Counts a finished request. kind is "completion", "service" or "refused"; code is "ok" or the code of
    /// the error.
    void countRequest(const std::string &kind, const std::string &outcome, const std::string &code);

    prometheus::Histogram &firstTokenSeconds;
    prometheus::Histogram &betweenTokensSeconds;
    prometheus::Counter &tokens;
    prometheus::Counter &foreignTokens;
    prometheus::Counter &duplicateTokens;
    prometheus::Counter &resumes;
    prometheus::Counter &restarts;
    prometheus::Counter &stalls;
    prometheus::Counter &targetDeaths;
    prometheus::Gauge &openRequests;
    prometheus::Gauge &openConnections;
    prometheus::Gauge &queuedRequests;
    prometheus::Gauge &rulesVersion;
    prometheus::Gauge &rulesAgeSeconds;
    prometheus::Gauge &livePeers;
    prometheus::Gauge &idempotencyRecords;

private:
    explicit EntryMetrics(std::shared_ptr<prometheus::Registry> registry);

    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Family<prometheus::Counter> &requests;
};

} // namespace eelgrasslift
