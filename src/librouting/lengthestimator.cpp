#include "librouting/lengthestimator.h"

#include <algorithm>
#include <cmath>

namespace eelgrasslift {

namespace {

// Halving at this count lets a change of an account's habits show within about as many requests.
constexpr double MaxSamples = 1024;
// With fewer samples, one unusual output would move an account's mean by more than 5%.
constexpr double MinAccountSamples = 20;
constexpr size_t BucketsPerDoubling = 2;
constexpr double LongestBucketRatio = 1.5;

/// Position of a length on the logarithmic axis; bucket i spans [i, i + 1).
double positionOf(double tokens)
{
    const double position = std::log2(std::max(tokens, 1.0)) * BucketsPerDoubling;
    return std::min(position, static_cast<double>(LengthProfile::BucketCount));
}

double lowerEdge(size_t bucket)
{
    static const auto edges = [] {
        std::array<double, LengthProfile::BucketCount + 1> values{};
        for (size_t i = 0; i < values.size(); ++i)
            values[i] = i == 0 ? 0.0 : std::exp2(static_cast<double>(i) / BucketsPerDoubling);
        return values;
    }();
    return edges[bucket];
}

} // namespace

void LengthProfile::record(uint32_t tokens)
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
        this->tails[i] = this->tails[i + 1] + this->counts[i];
}

double LengthProfile::tail(double tokens) const
{
    const double position = positionOf(tokens);
    const auto bucket = static_cast<size_t>(position);
    if (bucket >= BucketCount)
        return 0;
    const double passed = position - static_cast<double>(bucket);
    return this->tails[bucket + 1] + this->counts[bucket] * (1 - passed);
}

double LengthProfile::survival(double age, double tokens) const
{
    if (tokens <= age)
        return 1;
    const double alive = this->tail(age);
    // Beyond all samples the tail is taken as a Pareto tail with index 1, the heaviest that is common.
    if (alive < 0.5)
        return std::max(age, 1.0) / tokens;
    return this->tail(tokens) / alive;
}

double LengthProfile::expectedRemaining(double age) const
{
    const double alive = this->tail(age);
    if (alive < 0.5)
        return std::max(age, 1.0) * (LongestBucketRatio - 1);
    const auto bucket = static_cast<size_t>(positionOf(age));
    double sum = 0;
    for (size_t i = bucket; i < BucketCount; ++i) {
        const double from = std::max(lowerEdge(i), age);
        const double inBucket = i == bucket ? alive - this->tails[i + 1] : this->counts[i];
        sum += inBucket * ((from + lowerEdge(i + 1)) / 2 - age);
    }
    return sum / alive;
}

LengthEstimator::LengthEstimator()
{
    // Labels and reports are indistinguishable at first: equal weight from 16 to 4,096 tokens.
    for (uint32_t tokens = 16; tokens <= 4096; tokens *= 2)
        this->fallback.record(tokens);
}

void LengthEstimator::record(std::string_view account, std::string_view className, uint32_t tokens)
{
    auto entry = this->classes.find(className);
    if (entry == this->classes.end())
        entry = this->classes.emplace(std::string(className), ClassProfiles{}).first;
    entry->second.all.record(tokens);
    auto profile = entry->second.accounts.find(account);
    if (profile == entry->second.accounts.end())
        profile = entry->second.accounts.emplace(std::string(account), LengthProfile{}).first;
    profile->second.record(tokens);
}

const LengthProfile &LengthEstimator::profile(std::string_view account, std::string_view className) const
{
    const auto entry = this->classes.find(className);
    if (entry == this->classes.end())
        return this->fallback;
    const auto profile = entry->second.accounts.find(account);
    if (profile != entry->second.accounts.end() && profile->second.sampleCount() >= MinAccountSamples)
        return profile->second;
    return entry->second.all.sampleCount() >= MinAccountSamples ? entry->second.all : this->fallback;
}

double LengthEstimator::expectedRemaining(std::string_view account, std::string_view className, uint32_t age,
                                          uint32_t maxTokens) const
{
    if (age >= maxTokens)
        return 0;
    return std::min(this->profile(account, className).expectedRemaining(age),
                    static_cast<double>(maxTokens - age));
}

size_t LengthEstimator::byteSize() const
{
    // A map node adds about four pointers.
    constexpr size_t NodeBytes = 4 * sizeof(void *) + sizeof(std::string);
    size_t bytes = sizeof(*this);
    for (const auto &[name, profiles] : this->classes)
        bytes +=
                sizeof(profiles) + NodeBytes + profiles.accounts.size() * (sizeof(LengthProfile) + NodeBytes);
    return bytes;
}

} // namespace eelgrasslift
