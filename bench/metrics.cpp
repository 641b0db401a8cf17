#include "metrics.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace eelgrasslift::bench {

namespace {

constexpr double SmallestGapMilliseconds = 0.1;
constexpr double BucketWidth = 0.02;

} // namespace

void GapHistogram::add(Duration gap)
{
    const double milliseconds = std::max(toSeconds(gap) * 1000, SmallestGapMilliseconds);
    const auto bucket = static_cast<size_t>(std::log(milliseconds / SmallestGapMilliseconds) / BucketWidth);
    ++this->counts[std::min(bucket, this->counts.size() - 1)];
    ++this->total;
}

double GapHistogram::quantile(double fraction) const
{
    double remaining = fraction * static_cast<double>(this->total);
    for (size_t i = 0; i < this->counts.size(); ++i) {
        remaining -= static_cast<double>(this->counts[i]);
        if (remaining <= 0)
            return SmallestGapMilliseconds * std::exp(BucketWidth * static_cast<double>(i + 1));
    }
    return 0;
}

const std::vector<MetricField> &metricFields()
{
    static const std::vector<MetricField> fields{
            {"stall_s", &Metrics::stallTotal, 1},          {"stall_p95", &Metrics::stallP95, 2},
            {"stall_p99", &Metrics::stallP99, 2},          {"stall+wait_s", &Metrics::stallAndWaitTotal, 0},
            {"preempt", &Metrics::preemptions, 1},         {"gap_p50_ms", &Metrics::gapP50, 1},
            {"gap_p95_ms", &Metrics::gapP95, 1},           {"gap_p99_ms", &Metrics::gapP99, 1},
            {"short_wait_p95", &Metrics::shortWaitP95, 2}, {"long_wait_p50", &Metrics::longWaitP50, 2},
            {"long_wait_p95", &Metrics::longWaitP95, 2},   {"long_wait_p99", &Metrics::longWaitP99, 2},
            {"refused_%", &Metrics::refused, 2},           {"broken_%", &Metrics::incomplete, 2},
            {"goodput_tok/s", &Metrics::goodput, 0},       {"fairness", &Metrics::fairness, 3},
            {"sends/req", &Metrics::sendsPerRequest, 3},   {"decision_us", &Metrics::decisionMicroseconds, 1},
            {"state_bytes", &Metrics::stateBytes, 0},
    };
    return fields;
}

Metrics meanOf(const std::vector<Metrics> &runs)
{
    Metrics mean;
    for (const MetricField &field : metricFields()) {
        for (const Metrics &run : runs)
            mean.*field.value += run.*field.value / static_cast<double>(runs.size());
    }
    return mean;
}

double quantileOf(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    const auto index = static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + index, values.end());
    return values[static_cast<size_t>(index)];
}

std::string formatTable(const std::string &scenario, const std::vector<ResultRow> &rows)
{
    constexpr int NameWidth = 15;
    std::ostringstream out;
    out << "## " << scenario << "\n" << std::setw(NameWidth) << std::left << "";
    for (const ResultRow &row : rows)
        out << std::right << std::setw(NameWidth) << row.policy;
    out << "\n";
    for (const MetricField &field : metricFields()) {
        out << std::left << std::setw(NameWidth) << field.name << std::right << std::fixed
            << std::setprecision(field.decimals);
        for (const ResultRow &row : rows)
            out << std::setw(NameWidth) << row.metrics.*field.value;
        out << "\n";
    }
    return out.str();
}

std::string formatCsv(const std::vector<ResultRow> &rows)
{
    std::ostringstream out;
    out << "scenario,policy,seed";
    for (const MetricField &field : metricFields())
        out << "," << field.name;
    out << "\n";
    for (const ResultRow &row : rows) {
        out << row.scenario << "," << row.policy << "," << row.seed;
        for (const MetricField &field : metricFields())
            out << "," << row.metrics.*field.value;
        out << "\n";
    }
    return out.str();
}

} // namespace eelgrasslift::bench
