#include "libcore/random.h"

#include <bit>
#include <cmath>
#include <numbers>
#include <random>

namespace eelgrasslift {

namespace {

uint64_t splitMix(uint64_t &state)
{
    state += 0x9e3779b97f4a7c15ULL;
    uint64_t mixed = state;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

} // namespace

Random::Random(uint64_t seed)
{
    for (uint64_t &word : this->state)
        word = splitMix(seed);
}

uint64_t Random::next()
{
    const uint64_t result = std::rotl(this->state[1] * 5, 7) * 9;
    const uint64_t shifted = this->state[1] << 17;
    this->state[2] ^= this->state[0];
    this->state[3] ^= this->state[1];
    this->state[1] ^= this->state[2];
    this->state[0] ^= this->state[3];
    this->state[2] ^= shifted;
    this->state[3] = std::rotl(this->state[3], 45);
    return result;
}

uint64_t Random::below(uint64_t bound)
{
    const uint64_t limit = UINT64_MAX - UINT64_MAX % bound;
    uint64_t value = this->next();
    while (value >= limit)
        value = this->next();
    return value % bound;
}

double Random::uniform()
{
    return static_cast<double>(this->next() >> 11) * 0x1.0p-53;
}

double Random::exponential(double mean)
{
    return -mean * std::log(1.0 - this->uniform());
}

double Random::normal()
{
    const double radius = std::sqrt(this->exponential(2.0));
    return radius * std::cos(2.0 * std::numbers::pi * this->uniform());
}

uint64_t systemSeed()
{
    std::random_device device;
    return (static_cast<uint64_t>(device()) << 32) | device();
}

} // namespace eelgrasslift
