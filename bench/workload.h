#pragma once

#include "libcore/random.h"
#include "libcore/time.h"
#include "librouting/routing.h"

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasslift::bench {

/// Settings and length distributions of one request class. Lengths are in tokens and follow clamped lognormal
/// distributions.
struct ClassSpec
{
    std::string name;
    /// 0 is served first.
    uint32_t priority = 1;
    /// Maximum time to first token.
    Duration deadline{};
    /// Whether the caller receives the output only when it is complete, so that a failed run may be repeated
    /// after its first token.
    bool isDeliveredWhole = false;
    /// Fraction of all requests, 0..1.
    double shareOfRequests = 0;
    double promptMedian = 0;
    /// Before the factor of the account is applied.
    double outputMedian = 0;
    /// Standard deviation of the logarithm of the output length.
    double outputSigma = 0;
};

/// Request mix of one of the users in design section 1.
struct RequestMix
{
    std::string name;
    /// Two classes, the one with the shorter outputs first.
    std::vector<ClassSpec> classes;
    /// Requests per second to the whole fleet at load 1.0, which keeps ten engines busy all the time.
    double nominalRate = 0;
};

/// Short labels (70%) and reports.
RequestMix plovdivMix();
/// Short notes (50%) and summaries.
RequestMix steinerMix();

/// One request of a trace.
struct TraceRequest
{
    TimePoint arrival{};
    uint32_t account = 0;
    /// Index in RequestMix::classes.
    uint32_t classIndex = 0;
    /// Index of the entry that receives the request.
    uint32_t entry = 0;
    uint32_t promptTokens = 0;
    /// Length of the complete output.
    uint32_t outputTokens = 0;
    /// One per block of the cacheable prompt prefix.
    std::vector<PrefixHash> prefixHashes;
};

constexpr uint32_t AccountCount = 10;
constexpr uint32_t EntryCount = 9;
constexpr uint32_t EngineCount = 10;
constexpr uint32_t DomainCount = 3;
constexpr uint32_t MaxOutputTokens = 32768;
/// Size of a block in the prefix cache.
constexpr uint32_t TokensPerBlock = 256;

/// Generates the requests of a Poisson process, in order of arrival, at the rate `load` times
/// RequestMix::nominalRate. The same arguments give the same trace.
std::vector<TraceRequest> makeTrace(const RequestMix &mix, double load, Duration length, uint64_t seed);

/// Name of a client account, from its index.
std::string accountName(uint32_t account);

} // namespace eelgrasslift::bench
