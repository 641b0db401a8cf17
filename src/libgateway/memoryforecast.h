#pragma once

#include "libgateway/outputlengthdistribution.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace eelgrasslift {

/// Memory, in tokens of KV cache, that running generations are expected to occupy at several points in time
/// from now.
///
/// Load pattern: the memory of all runners is nearly full all day. Generations on one runner start and end at
/// different times, so the sum of their final sizes is never in use at once; another generation fits as long
/// as the peak of the summed forecasts stays below the runner's memory.
class MemoryForecast
{
public:
    /// Points in time in seconds from now; denser at the start, since most generations last some seconds.
    static constexpr std::array<double, 6> SampleSeconds{0, 0.7, 1.5, 3, 6, 10};
    /// Memory in tokens at each point in time.
    using Tokens = std::array<double, SampleSeconds.size()>;

    MemoryForecast() = default;
    /// The same amount at all times.
    MemoryForecast(double tokens) { this->samples.fill(tokens); } // NOLINT(google-explicit-constructor)
    explicit MemoryForecast(const Tokens &tokens)
        : samples(tokens)
    {}

    /// Forecast for one generation that has produced generatedTokens so far: prompt and output at each point
    /// in time, multiplied by the probability that the generation still runs then.
    static MemoryForecast forGeneration(const GenerationSize &size, double generatedTokens);

    MemoryForecast &operator+=(const MemoryForecast &other);
    /// Clamps at zero, since rounding, or a load that was already dropped with a restarted process, must not
    /// make the result negative.
    MemoryForecast &operator-=(const MemoryForecast &other);

    /// Raises the memory in use now to at least the given amount.
    void raiseCurrent(double tokens) { this->samples.front() = std::max(this->samples.front(), tokens); }

    /// Maximum over all points in time.
    double peak() const;
    /// Memory in use now.
    double currentTokens() const { return this->samples.front(); }
    const Tokens &tokens() const { return this->samples; }

private:
    Tokens samples{};
};

} // namespace eelgrasslift
