#pragma once

#include "libcore/core.h"
#include "libgateway/outputlengthdistribution.h"

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

/// Whether a gateway that is shutting down should accept a generation; remainingTime is the remainder of its
/// grace period.
///
/// Load pattern: gateways are stopped one after the other, and each receives requests until the load balancer
/// has noticed. A generation that lasts longer than the remaining grace period would be cut off.
inline bool fitsBeforeShutdown(const GenerationSize &size, Duration remainingTime)
{
    return expectedDuration(size) <= remainingTime;
}

} // namespace eelgrasslift
