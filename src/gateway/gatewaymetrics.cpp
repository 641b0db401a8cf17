#include "gateway/gatewaymetrics.h"

#include <prometheus/text_serializer.h>

namespace eelgrasslift {

namespace {

const prometheus::Histogram::BucketBoundaries LatencyBuckets{0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2,
                                                             0.35,  0.5,  0.8,  1.2,  1.8, 3,    6};

prometheus::Histogram &addHistogram(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({}, LatencyBuckets);
}

prometheus::Counter &addCounter(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Gauge &addGauge(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

GatewayMetrics::GatewayMetrics()
    : GatewayMetrics(std::make_shared<prometheus::Registry>())
{}

GatewayMetrics::GatewayMetrics(const std::shared_ptr<prometheus::Registry> &shared)
    : firstEventSeconds(addHistogram(*shared, "eelgrasslift_first_event_seconds",
                                     "Time from a request to the first event of its stream"))
    , pauseSeconds(addHistogram(*shared, "eelgrasslift_event_pause_seconds",
                                "Time between two events of a stream"))
    , callSeconds(addHistogram(*shared, "eelgrasslift_call_seconds",
                               "Time to the whole answer of a plain service"))
    , retries(addCounter(*shared, "eelgrasslift_repeats_total", "Requests sent to another runner"))
    , endedRuns(addCounter(*shared, "eelgrasslift_ended_runs_total", "Runs lost because their runner ended"))
    , quarantineRefusals(addCounter(*shared, "eelgrasslift_quarantine_refusals_total",
                                    "Sends withheld because runners had ended under the request"))
    , configVersion(addGauge(*shared, "eelgrasslift_config_version", "Configuration in force; 0: none"))
    , openRequests(addGauge(*shared, "eelgrasslift_open_requests", "Requests without a final answer"))
    , bufferedRequestBytes(addGauge(*shared, "eelgrasslift_buffered_request_bytes",
                                    "Bytes of the bodies of requests in progress"))
    , registry(shared)
    , requests(prometheus::BuildCounter()
                       .Name("eelgrasslift_requests_total")
                       .Help("Final answers by route and status")
                       .Register(*shared))
    , continuations(prometheus::BuildCounter()
                            .Name("eelgrasslift_continuations_total")
                            .Help("Generations that went on at another runner, by cause")
                            .Register(*shared))
{}

std::string GatewayMetrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(this->registry->Collect());
}

void GatewayMetrics::countRequest(const std::string &route, unsigned status)
{
    this->requests.Add({{"route", route}, {"status", std::to_string(status)}}).Increment();
}

void GatewayMetrics::countContinuation(const std::string &cause, bool hasSucceeded)
{
    this->continuations.Add({{"cause", cause}, {"done", hasSucceeded ? "true" : "false"}}).Increment();
}

} // namespace eelgrasslift
