#pragma once

#include "libcore/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasslift::bench {

/// Histogram of the gaps between tokens (inter-token latency), with logarithmic buckets 2% wide.
class GapHistogram
{
public:
    /// Adds one gap; gaps below 0.1 ms count as 0.1 ms.
    void add(Duration gap);
    /// Gap in milliseconds that the given fraction of the gaps does not exceed.
    double quantile(double fraction) const;

private:
    std::array<uint64_t, 800> counts{};
    uint64_t total = 0;
};

/// Results of one run. Unless stated otherwise, they cover the requests that arrive in the measurement
/// window, and times are in seconds.
///
/// The stall time of a stream is the sum over its gaps of the part above 200 ms. It includes gaps caused by
/// preemptions, link stalls and prefills of other requests, but not the wait, which is the time from arrival
/// to the first token.
struct Metrics
{
    /// Of all requests together; the percentiles are per request.
    double stallTotal = 0;
    double stallP95 = 0;
    double stallP99 = 0;
    /// Stall time and wait of all requests together.
    double stallAndWaitTotal = 0;
    /// Number of preemptions of all engines in the measurement window.
    double preemptions = 0;
    /// Percentiles of the gaps between tokens, in milliseconds.
    double gapP50 = 0;
    double gapP95 = 0;
    double gapP99 = 0;
    /// Percentiles of the wait, for the first class of the mix (short) and the others (long).
    double shortWaitP95 = 0;
    double longWaitP50 = 0;
    double longWaitP95 = 0;
    double longWaitP99 = 0;
    /// Percentage of the requests without a first token: refused, or cancelled at the deadline of the class.
    double refused = 0;
    /// Percentage of the requests whose stream broke after the first token.
    double incomplete = 0;
    /// Tokens per second within the measurement window, without those of broken streams.
    double goodput = 0;
    /// Jain index over the accounts of the delivered fraction of their requested tokens; 1 is equal.
    double fairness = 0;
    double sendsPerRequest = 0;
    /// Real time that the entries spend on arrivals, completions and load reports in the whole run, per
    /// request of the trace.
    double decisionMicroseconds = 0;
    /// Peak size of the selection state of one entry.
    double stateBytes = 0;
};

/// Name, member and printed precision of one metric.
struct MetricField
{
    const char *name;
    double Metrics::*value;
    int decimals;
};

/// All metrics, in the order of the tables and the CSV columns.
const std::vector<MetricField> &metricFields();

/// Mean of each metric over the runs; `runs` must not be empty.
Metrics meanOf(const std::vector<Metrics> &runs);

/// Value that the given fraction of the values, in any order, does not exceed; 0 without values.
double quantileOf(std::vector<double> values, double fraction);

/// Metrics of one run, or their mean over several seeds, with the labels for the output.
struct ResultRow
{
    std::string scenario;
    std::string policy;
    uint64_t seed = 0;
    Metrics metrics;
};

/// Formats a Markdown heading and a text table with one line per metric and one column per row of results.
std::string formatTable(const std::string &scenario, const std::vector<ResultRow> &rows);
/// Formats a CSV document with a header line and one line per row of results.
std::string formatCsv(const std::vector<ResultRow> &rows);

} // namespace eelgrasslift::bench
