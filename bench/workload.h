#pragma once

#include "libcore/random.h"
#include "libcore/time.h"
#include "librouting/routing.h"

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasslift::bench {

/// Lengths of one request class: lognormal, cut off at the longest output of the model.
struct ClassSpec
{
    std::string name;
    uint32_t priority = 1;
    Duration deadline{};
    /// Whether the answer is delivered whole, so that a restart after the first token is allowed.
    bool isWhole = false;
    double shareOfRequests = 0;
    double promptMedian = 0;
    double outputMedian = 0;
    double outputSigma = 0;
};

/// Request mix of one user of design section 1.
struct Mix
{
    std::string name;
    std::vector<ClassSpec> classes;
    /// Requests per second of the whole fleet at load 1.0, where ten engines are busy all the time.
    double nominalRate = 0;
};

Mix plovdivMix();
Mix steinerMix();

struct TraceRequest
{
    TimePoint arrival{};
    uint32_t account = 0;
    uint32_t classIndex = 0;
    uint32_t entry = 0;
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0;
    std::vector<PrefixHash> prefixHashes;
};

constexpr uint32_t AccountCount = 10;
constexpr uint32_t EntryCount = 9;
constexpr uint32_t EngineCount = 10;
constexpr uint32_t DomainCount = 3;
constexpr uint32_t MaxOutputTokens = 32768;
constexpr uint32_t TokensPerBlock = 256;

/// The same arguments give the same trace.
std::vector<TraceRequest> makeTrace(const Mix &mix, double load, Duration length, uint64_t seed);

std::string accountName(uint32_t account);

} // namespace eelgrasslift::bench
