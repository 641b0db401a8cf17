#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace eelgrasslift {

/// Prometheus metrics of a gateway.
class GatewayMetrics
{
public:
    GatewayMetrics();

    /// Text in the Prometheus exposition format.
    std::string serialize() const;

    /// Counts the end of a request by its status. 499: the caller has disconnected; 0: the stream was
    /// aborted.
    void countRequest(const std::string &route, unsigned status);
    /// Counts an attempt to continue a generation on another runner.
    void countContinuation(const std::string &cause, bool hasSucceeded);

    /// Time from the arrival of a request to the first event of its stream.
    prometheus::Histogram &firstEventSeconds;
    /// Time between two consecutive events of a stream.
    prometheus::Histogram &pauseSeconds;
    /// Time from the arrival of a request to the complete response of a plain service.
    prometheus::Histogram &callSeconds;
    /// Requests sent again to another runner.
    prometheus::Counter &retries;
    /// Runs that were lost because their runner ended.
    prometheus::Counter &endedRuns;
    /// Sends that were withheld because runners had ended under the request.
    prometheus::Counter &quarantineRefusals;
    prometheus::Gauge &configVersion;
    prometheus::Gauge &openRequests;
    /// Memory that the bodies of requests in progress occupy.
    prometheus::Gauge &bufferedRequestBytes;

private:
    explicit GatewayMetrics(const std::shared_ptr<prometheus::Registry> &shared);

    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Family<prometheus::Counter> &requests;
    prometheus::Family<prometheus::Counter> &continuations;
};

} // namespace eelgrasslift
