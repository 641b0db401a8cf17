#include "eelgrasslift/metrics.h"

#include <prometheus/text_serializer.h>

namespace eelgrasslift {

namespace {

// The latency objectives specified by the users, 0.34 s and 62 ms, are bucket bounds, so that the share of
// requests that meet them can be read exactly.
const prometheus::Histogram::BucketBoundaries FirstTokenBounds{0.01, 0.05, 0.1, 0.2, 0.34, 0.5,
                                                               1,    2,    5,   10,  30};
const prometheus::Histogram::BucketBoundaries BetweenTokensBounds{0.005, 0.01, 0.02, 0.04, 0.062,
                                                                  0.1,   0.25, 0.5,  1,    2};

prometheus::Counter &counter(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildCounter().Name("eelgrasslift_" + name).Help(help).Register(registry).Add({});
}

prometheus::Gauge &gauge(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildGauge().Name("eelgrasslift_" + name).Help(help).Register(registry).Add({});
}

prometheus::Histogram &histogram(prometheus::Registry &registry, const std::string &name,
                                 const std::string &help,
                                 const prometheus::Histogram::BucketBoundaries &bounds)
{
    return prometheus::BuildHistogram()
            .Name("eelgrasslift_" + name)
            .Help(help)
            .Register(registry)
            .Add({}, bounds);
}

} // namespace

EntryMetrics::EntryMetrics()
    : EntryMetrics(std::make_shared<prometheus::Registry>())
{}

EntryMetrics::EntryMetrics(std::shared_ptr<prometheus::Registry> newRegistry)
    : firstTokenSeconds(histogram(*newRegistry, "first_token_seconds",
                                  "Time from the request to the first delivered token", FirstTokenBounds))
    , betweenTokensSeconds(histogram(*newRegistry, "between_tokens_seconds",
                                     "Time between two delivered tokens of one answer", BetweenTokensBounds))
    , tokens(counter(*newRegistry, "tokens_total", "Tokens delivered to callers"))
    , foreignTokens(counter(*newRegistry, "foreign_tokens_total", "Dropped tokens of another generation"))
    , duplicateTokens(
              counter(*newRegistry, "duplicate_tokens_total", "Dropped tokens that were delivered before"))
    , resumes(counter(*newRegistry, "resumes_total", "Connections opened to resume a generation"))
    , restarts(counter(*newRegistry, "restarts_total", "Attempts started again on a target"))
    , stalls(counter(*newRegistry, "stalls_total", "Times that no token came within the class's stall limit"))
    , targetDeaths(counter(*newRegistry, "target_deaths_total", "Deaths of targets seen by this entry"))
    , openRequests(gauge(*newRegistry, "open_requests", "Requests in progress"))
    , openConnections(gauge(*newRegistry, "open_connections", "Open caller connections"))
    , queuedRequests(gauge(*newRegistry, "queued_requests", "Requests that wait for a target"))
    , rulesVersion(gauge(*newRegistry, "rules_version", "Version of the rules in force; 0: none"))
    , rulesAgeSeconds(gauge(*newRegistry, "rules_age_seconds",
                            "Time since any control process was last heard of; newer rules may exist"))
    , livePeers(gauge(*newRegistry, "live_peers", "Other processes with a current heartbeat"))
    , idempotencyRecords(gauge(*newRegistry, "idempotency_records", "Idempotency records kept here"))
    , registry(std::move(newRegistry))
    , requests(prometheus::BuildCounter()
                       .Name("eelgrasslift_requests_total")
                       .Help("Finished requests by kind, outcome and code")
                       .Register(*this->registry))
{}

std::string EntryMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(this->registry->Collect());
}

void EntryMetrics::countRequest(const std::string &kind, const std::string &outcome, const std::string &code)
{
    this->requests.Add({{"kind", kind}, {"outcome", outcome}, {"code", code}}).Increment();
}

} // namespace eelgrasslift
