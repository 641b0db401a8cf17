#pragma once

#include <array>
#include <cstdint>

namespace eelgrasslift {

/// Seeded xoshiro256** generator. The same seed gives the same sequence on every machine.
class Random
{
public:
    explicit Random(uint64_t seed);

    /// Uniform integer over the whole range.
    uint64_t next();

    /// Uniform integer in [0, bound); bound must be greater than 0.
    uint64_t below(uint64_t bound);

    /// Uniform number in [0, 1).
    double uniform();

    /// Exponentially distributed number with the given mean.
    double exponential(double mean);

    /// Standard normal number.
    double normal();

    /// True with the given probability, from 0 to 1.
    bool chance(double probability) { return this->uniform() < probability; }

    // Requirements of UniformRandomBitGenerator, so that std::shuffle accepts the generator.
    using result_type = uint64_t;
    static constexpr result_type min() { return 0; }
    static constexpr result_type max() { return UINT64_MAX; }
    result_type operator()() { return this->next(); }

private:
    std::array<uint64_t, 4> state;
};

/// Returns a seed from the operating system, for production use; tests use fixed seeds.
uint64_t systemSeed();

} // namespace eelgrasslift
