#pragma once

#include "libgateway/outputlengthdistribution.h"

#include <array>
#include <cstddef>

namespace eelgrasslift {

/// Memory in tokens that running generations are expected to hold at some points in time from now on.
///
/// Load pattern: the memory of all runners is nearly full all day. Generations on one runner begin and end at
/// different times, so the sum of their final sizes is never held at once; a runner has room as long as the
/// peak of what is held together stays below its memory.
class MemoryForecast
{
public:
    /// Points in time, in seconds from now; dense at first, since most generations last some seconds.
    static constexpr std::array<double, 6> Seconds{0, 0.7, 1.5, 3, 6, 10};
    using Tokens = std::array<double, Seconds.size()>;

    MemoryForecast() = default;
    /// The same amount at all times.
    MemoryForecast(double tokens) { this->held.fill(tokens); } // NOLINT(google-explicit-constructor)
    explicit MemoryForecast(const Tokens &tokens)
        : held(tokens)
    {}

    /// A generation that has made some tokens.
    static MemoryForecast forGeneration(const GenerationSize &size, double madeTokens);

    MemoryForecast &operator+=(const MemoryForecast &other);
    /// Never goes below zero, as the loads of a restarted process vanish at once.
    MemoryForecast &operator-=(const MemoryForecast &other);

    /// The most that is expected to be held at one time.
    double peak() const;
    double currentTokens() const { return this->held.front(); }
    const Tokens &tokens() const { return this->held; }

private:
    Tokens held{};
};

} // namespace eelgrasslift
