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

    /// Counts a finished request. kind is "completion", "service" or, before either is chosen, "refused".
    /// outcome is the name of an Outcome, or "caller-gone" for a completion whose caller disconnected. code
    /// is "ok", the code of the error, or "limit" for all limits of an account.
    void countRequest(const std::string &kind, const std::string &outcome, const std::string &code);

    prometheus::Histogram &firstTokenSeconds;
    prometheus::Histogram &betweenTokensSeconds;
    prometheus::Counter &tokens;
    /// Dropped tokens of another generation than the request's.
    prometheus::Counter &foreignTokens;
    /// Dropped tokens that were delivered before.
    prometheus::Counter &duplicateTokens;
    /// Connections opened to resume a generation.
    prometheus::Counter &resumes;
    /// Generations started again from the beginning.
    prometheus::Counter &restarts;
    /// Times that no token arrived within the stall limit of the class.
    prometheus::Counter &stalls;
    /// Deaths of targets that were running requests of this entry.
    prometheus::Counter &targetDeaths;
    prometheus::Gauge &openRequests;
    prometheus::Gauge &openConnections;
    prometheus::Gauge &queuedRequests;
    prometheus::Gauge &rulesVersion;
    /// Time since the last contact with a control member, 0 before the first; newer rules may exist.
    prometheus::Gauge &rulesAgeSeconds;
    prometheus::Gauge &livePeers;
    prometheus::Gauge &idempotencyRecords;

private:
    explicit EntryMetrics(std::shared_ptr<prometheus::Registry> registry);

    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Family<prometheus::Counter> &requests;
};

} // namespace eelgrasslift
