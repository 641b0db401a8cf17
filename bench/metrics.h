#pragma once

#include "libcore/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasslift::bench {

/// Gaps between tokens, in buckets 2% wide.
class GapHistogram
{
public:
    void add(Duration gap);
    /// Milliseconds that the given share of the gaps does not exceed.
    double quantile(double share) const;

private:
    std::array<uint64_t, 800> counts{};
    uint64_t total = 0;
};

/// Result of one run.
///
/// Stall time of a stream: the sum over its gaps between two tokens of what exceeds 200 ms. Gaps that
/// preemptions, link stalls and prefills of other requests cause are in it; the time before the first token
/// is not. That time is the wait, from arrival to the first token.
struct Metrics
{
    double stallTotal = 0;
    double stallP95 = 0;
    double stallP99 = 0;
    /// Stall and wait of all requests together, in seconds.
    double idleTotal = 0;
    double preemptions = 0;
    double gapP50 = 0;
    double gapP95 = 0;
    double gapP99 = 0;
    double shortWaitP95 = 0;
    double longWaitP50 = 0;
    double longWaitP95 = 0;
    double longWaitP99 = 0;
    /// Percent of the requests that got no first token: refused, or given up at the class's deadline.
    double refused = 0;
    /// Percent of the requests whose stream broke after the first token.
    double incomplete = 0;
    /// Tokens per second of requests that did not break, within the measured window.
    double goodput = 0;
    /// Jain index of the accounts' delivered part of what they asked for: 1 is equal.
    double fairness = 0;
    double sendsPerRequest = 0;
    double decisionMicroseconds = 0;
    double stateBytes = 0;
};

/// Names and values in the order of the tables.
struct NamedValue
{
    const char *name;
    double Metrics::*value;
    int decimals;
};

const std::vector<NamedValue> &metricNames();

Metrics meanOf(const std::vector<Metrics> &runs);

/// Value that the given share of the (unsorted) values does not exceed.
double quantileOf(std::vector<double> values, double share);

struct Row
{
    std::string scenario;
    std::string policy;
    uint64_t seed = 0;
    Metrics metrics;
};

std::string formatTable(const std::string &scenario, const std::vector<Row> &rows);
std::string formatCsv(const std::vector<Row> &rows);

} // namespace eelgrasslift::bench
