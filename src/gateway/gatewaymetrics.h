#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace eelgrasslift {

/// Metrics of a gateway.
class GatewayMetrics
{
public:
    GatewayMetrics();

    /// Text in the Prometheus exposition format.
    std::string text() const;

    void countRequest(const std::string &route, unsigned status);
    void countContinuation(const std::string &cause, bool isDone);

    prometheus::Histogram &firstEventSeconds;
    prometheus::Histogram &pauseSeconds;
    prometheus::Histogram &callSeconds;
    prometheus::Counter &repeats;
    prometheus::Gauge &configVersion;
    prometheus::Gauge &openRequests;

private:
    explicit GatewayMetrics(const std::shared_ptr<prometheus::Registry> &shared);

    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Family<prometheus::Counter> &requests;
    prometheus::Family<prometheus::Counter> &continuations;
};

} // namespace eelgrasslift
