#pragma once

#include "libcore/core.h"
#include "libgateway/outputlengthdistribution.h"

namespace eelgrasslift {

/// Time per token on a runner that shares its steps with a few others; from the engines' step time and batch
/// slowdown on the users' sheets.
constexpr double SecondsPerToken = 0.010;

/// Prompt tokens that a runner reads in a second beside its running generations; half of the sheets' rate,
/// since every other step of a busy engine decodes.
constexpr double PrefillTokensPerSecond = 8000;

/// Expected time from the send of a generation to its last event.
inline Duration expectedDuration(const GenerationSize &size)
{
    return fromSeconds(size.promptTokens / PrefillTokensPerSecond + size.outputTokens * SecondsPerToken);
}

/// Expected time from the send of a generation to its first event.
inline Duration timeToFirstEvent(const GenerationSize &size)
{
    // The steps behind another prompt, and the way of the first event.
    constexpr double Reserve = 0.5;
    return fromSeconds(size.promptTokens / PrefillTokensPerSecond + Reserve);
}

/// Whether a gateway that shuts down should still take a generation.
///
/// Load pattern: gateways are stopped one after the other, and their callers come until the balancer has
/// noticed; a generation that lasts longer than the rest of the grace period would be cut.
inline bool fitsBeforeShutdown(const GenerationSize &size, Duration timeLeft)
{
    return expectedDuration(size) <= timeLeft;
}

} // namespace eelgrasslift
