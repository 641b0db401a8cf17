#pragma once

#include "libcore/core.h"
#include "libgateway/outputlengthdistribution.h"

#include <optional>

namespace eelgrasslift {

/// Decode time per token of a generation that is batched with a few others; from the engines' step time and
/// batch slowdown as specified by the users.
constexpr double SecondsPerToken = 0.010;

/// Prefill rate of a runner with running generations; half of the specified rate, since every other step of a
/// busy engine decodes.
constexpr double PrefillTokensPerSecond = 8000;

/// Returns the expected time from the send of a generation to its last event.
inline Duration expectedDuration(const GenerationSize &size)
{
    return fromSeconds(size.promptTokens / PrefillTokensPerSecond + size.outputTokens * SecondsPerToken);
}

/// Returns the expected time from the send of a generation to its first event.
inline Duration timeToFirstEvent(const GenerationSize &size)
{
    // Wait for the prefill of another prompt, and the transmission of the first event.
    constexpr double OverheadSeconds = 0.5;
    return fromSeconds(size.promptTokens / PrefillTokensPerSecond + OverheadSeconds);
}

/// What decides whether a gateway that is shutting down accepts a request.
struct RequestDuringShutdown
{
    /// Absent for requests other than generations.
    std::optional<GenerationSize> size;
    /// The caller may repeat it elsewhere.
    bool isIdempotent = false;
    /// Time until its deadline.
    Duration maxDuration{};
};

/// Times of a gateway's shutdown.
struct ShutdownTimes
{
    /// The load balancer has noticed: only callers that were slow to send their requests still reach the
    /// gateway.
    TimePoint balancerInformedAt{};
    /// The process ends; the time for the last responses is not included.
    TimePoint exitAt{};
};

/// Whether a gateway that is shutting down should accept a request that it has read.
///
/// Load pattern: gateways are stopped one after the other, and each receives requests until the load balancer
/// has noticed. A generation that lasts longer than the remaining grace period would be cut off. Requests
/// whose callers take seconds to send them arrive until the end, and are refused unless they end in any case:
/// another gateway can take them.
inline bool fitsBeforeShutdown(const RequestDuringShutdown &request, const ShutdownTimes &shutdown,
                               TimePoint now)
{
    const Duration remainingTime = shutdown.exitAt - now;
    if (now >= shutdown.balancerInformedAt)
        return request.maxDuration <= remainingTime;
    return !request.size || request.isIdempotent || expectedDuration(*request.size) <= remainingTime;
}

} // namespace eelgrasslift
