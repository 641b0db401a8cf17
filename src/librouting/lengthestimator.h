#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace eelgrasslift {

/// Output lengths in logarithmic buckets (two per doubling, up to 65,536 tokens and beyond).
/// Old samples fade: counts are halved after 1,024 samples, so a change of habit shows within about that
/// many.
class LengthProfile
{
public:
    static constexpr size_t BucketCount = 33;

    void record(uint32_t tokens);
    double sampleCount() const { return this->total; }

    /// Probability that an output reaches `tokens` tokens, given that it has reached `age`.
    double survival(double age, double tokens) const;

    /// Mean number of further tokens of an output that has reached `age`.
    double expectedRemaining(double age) const;

private:
    double tail(double tokens) const;

    std::array<float, BucketCount> counts{};
    /// Samples in this and all longer buckets.
    std::array<float, BucketCount + 1> tails{};
    double total = 0;
};

/// Learns output lengths per account and class. An account with fewer than 20 samples in a class uses the
/// profile of the whole class, and a class without samples a broad default.
class LengthEstimator
{
public:
    LengthEstimator();

    /// Feeds the length of a completed output. Cancelled and broken outputs are not recorded: they would
    /// make the estimate too short.
    void record(std::string_view account, std::string_view className, uint32_t tokens);

    /// The profile to use for this account and class. The reference stays valid as long as the estimator,
    /// but a later call may return a better one.
    const LengthProfile &profile(std::string_view account, std::string_view className) const;

    /// Mean number of further tokens of an output that has reached `age` tokens, at most maxTokens - age.
    double expectedRemaining(std::string_view account, std::string_view className, uint32_t age,
                             uint32_t maxTokens) const;

    size_t byteSize() const;

private:
    struct ClassProfiles
    {
        LengthProfile all;
        std::map<std::string, LengthProfile, std::less<>> accounts;
    };

    std::map<std::string, ClassProfiles, std::less<>> classes;
    LengthProfile fallback;
};

} // namespace eelgrasslift
