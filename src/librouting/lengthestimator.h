#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace eelgrasslift {

/// Distribution of output lengths in tokens, as a histogram with two logarithmic buckets per doubling; the
/// last one holds 65,536 tokens and more.
///
/// All counts are halved after 1,024 samples, so that the distribution follows a change within about as many
/// samples.
class LengthDistribution
{
public:
    static constexpr size_t BucketCount = 33;

    /// Adds the length of one complete output.
    void record(uint32_t tokens);

    /// Number of samples, old ones at their reduced weight.
    double sampleCount() const { return this->total; }

    /// Probability that an output which has reached `generatedTokens` tokens reaches `tokens` tokens.
    double survival(double generatedTokens, double tokens) const;

    /// Mean number of further tokens of an output that has reached `generatedTokens` tokens.
    double expectedRemaining(double generatedTokens) const;

private:
    /// Number of samples of at least `tokens` tokens, interpolated within a bucket.
    double countAtLeast(double tokens) const;

    std::array<float, BucketCount> counts{};
    /// Number of samples in a bucket and all longer ones.
    std::array<float, BucketCount + 1> countsFrom{};
    double total = 0;
};

/// Learns the distribution of output lengths per account and class. An account with fewer than 20 samples in
/// a class uses the distribution of the whole class; a class with fewer than 20 samples uses a broad default.
///
/// Single-threaded.
class LengthEstimator
{
public:
    LengthEstimator();

    /// Adds the length of a completed output. Cancelled and failed outputs must not be recorded, since they
    /// would bias the estimate towards short outputs.
    void record(std::string_view account, std::string_view className, uint32_t tokens);

    /// Returns the most specific distribution with enough samples. The reference stays valid as long as the
    /// estimator, but a later call may return a more specific distribution.
    const LengthDistribution &distribution(std::string_view account, std::string_view className) const;

    /// Mean number of further tokens of an output that has reached `generatedTokens` tokens, limited by
    /// `maxTokens`, the maximum length of the whole output.
    double expectedRemaining(std::string_view account, std::string_view className, uint32_t generatedTokens,
                             uint32_t maxTokens) const;

    /// Approximate memory use in bytes.
    size_t byteSize() const;

private:
    struct ClassDistributions
    {
        LengthDistribution overall;
        std::map<std::string, LengthDistribution, std::less<>> accounts;
    };

    std::map<std::string, ClassDistributions, std::less<>> classes;
    LengthDistribution defaultDistribution;
};

} // namespace eelgrasslift
