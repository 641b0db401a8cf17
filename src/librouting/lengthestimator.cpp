#include "librouting/lengthestimator.h"

#include <algorithm>
#include <cmath>

namespace eelgrasslift {

namespace {

// Halving the counts here makes the distribution follow a change within about as many requests.
constexpr double MaxSamples = 1024;
// With fewer samples, one unusual output would move an account's mean by more than 5%.
constexpr double MinAccountSamples = 20;
constexpr size_t BucketsPerDoubling = 2;
// Assumed mean length of an output that is longer than all samples, relative to its current length.
constexpr double BeyondSamplesRatio = 1.5;

/// Position of a length on the logarithmic axis, where bucket i spans [i, i + 1).
double positionOf(double tokens)
{
    const double position = std::log2(std::max(tokens, 1.0)) * BucketsPerDoubling;
    return std::min(position, static_cast<double>(LengthDistribution::BucketCount));
}

/// Shortest length in tokens that falls into the bucket.
double lowerEdge(size_t bucket)
{
    static const auto edges = [] {
        std::array<double, LengthDistribution::BucketCount + 1> values{};
        for (size_t i = 0; i < values.size(); ++i)
            values[i] = i == 0 ? 0.0 : std::exp2(static_cast<double>(i) / BucketsPerDoubling);
        return values;
    }();
    return edges[bucket];
}

} // namespace

void LengthDistribution::record(uint32_t tokens)
{
    const auto bucket = std::min(static_cast<size_t>(positionOf(tokens)), BucketCount - 1);
    if (this->total >= MaxSamples) {
        for (float &count : this->counts)
            count *= 0.5F;
        this->total *= 0.5;
    }
    this->counts[bucket] += 1;
    this->total += 1;
    for (size_t i = BucketCount; i-- > 0;)
        this->countsFrom[i] = this->countsFrom[i + 1] + this->counts[i];
}

double LengthDistribution::countAtLeast(double tokens) const
{
    const double position = positionOf(tokens);
    const auto bucket = static_cast<size_t>(position);
    if (bucket >= BucketCount)
        return 0;
    const double fraction = position - static_cast<double>(bucket);
    return this->countsFrom[bucket + 1] + this->counts[bucket] * (1 - fraction);
}

double LengthDistribution::survival(double generatedTokens, double tokens) const
{
    if (tokens <= generatedTokens)
        return 1;
    const double survivors = this->countAtLeast(generatedTokens);
    // Beyond all samples a Pareto tail with index 1 is assumed, the heaviest tail that is common.
    if (survivors < 0.5)
        return std::max(generatedTokens, 1.0) / tokens;
    return this->countAtLeast(tokens) / survivors;
}

double LengthDistribution::expectedRemaining(double generatedTokens) const
{
    const double survivors = this->countAtLeast(generatedTokens);
    if (survivors < 0.5)
        return std::max(generatedTokens, 1.0) * (BeyondSamplesRatio - 1);
    const auto bucket = static_cast<size_t>(positionOf(generatedTokens));
    double sum = 0;
    for (size_t i = bucket; i < BucketCount; ++i) {
        const double from = std::max(lowerEdge(i), generatedTokens);
        const double samples = i == bucket ? survivors - this->countsFrom[i + 1] : this->counts[i];
        sum += samples * ((from + lowerEdge(i + 1)) / 2 - generatedTokens);
    }
    return sum / survivors;
}

LengthEstimator::LengthEstimator()
{
    // Without samples, short and long outputs are equally likely: one sample per doubling from 16 to 4,096
    // tokens.
    for (uint32_t tokens = 16; tokens <= 4096; tokens *= 2)
        this->defaultDistribution.record(tokens);
}

void LengthEstimator::record(std::string_view account, std::string_view className, uint32_t tokens)
{
    auto entry = this->classes.find(className);
    if (entry == this->classes.end())
        entry = this->classes.emplace(std::string(className), ClassDistributions{}).first;
    entry->second.overall.record(tokens);
    auto distribution = entry->second.accounts.find(account);
    if (distribution == entry->second.accounts.end())
        distribution = entry->second.accounts.emplace(std::string(account), LengthDistribution{}).first;
    distribution->second.record(tokens);
}

const LengthDistribution &LengthEstimator::distribution(std::string_view account,
                                                        std::string_view className) const
{
    const auto entry = this->classes.find(className);
    if (entry == this->classes.end())
        return this->defaultDistribution;
    const auto distribution = entry->second.accounts.find(account);
    if (distribution != entry->second.accounts.end() &&
        distribution->second.sampleCount() >= MinAccountSamples)
        return distribution->second;
    return entry->second.overall.sampleCount() >= MinAccountSamples ? entry->second.overall
                                                                    : this->defaultDistribution;
}

double LengthEstimator::expectedRemaining(std::string_view account, std::string_view className,
                                          uint32_t generatedTokens, uint32_t maxTokens) const
{
    if (generatedTokens >= maxTokens)
        return 0;
    return std::min(this->distribution(account, className).expectedRemaining(generatedTokens),
                    static_cast<double>(maxTokens - generatedTokens));
}

size_t LengthEstimator::byteSize() const
{
    // Overhead of a map node, about four pointers.
    constexpr size_t NodeBytes = 4 * sizeof(void *) + sizeof(std::string);
    size_t bytes = sizeof(*this);
    for (const auto &[name, distributions] : this->classes)
        bytes += sizeof(distributions) + NodeBytes +
                 distributions.accounts.size() * (sizeof(LengthDistribution) + NodeBytes);
    return bytes;
}

} // namespace eelgrasslift
