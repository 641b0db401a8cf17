#pragma once

#include "libgateway/retrycontroller.h"

namespace eelgrasslift {

/// What a stream does after the runner that should continue it has not accepted it.
enum class SwitchStep {
    Retry, ///< Ask the same runner again.
    Stay,  ///< Go on at the current runner.
    GiveUp ///< The current runner is disconnected: the stream depends on other continuations.
};

/// A failed try to continue a stream at another runner.
struct FailedSwitch
{
    SendOutcome outcome = SendOutcome::Unknown;
    /// The stream continues from a copy of its KV cache there that may still be in transit.
    bool isCopyInTransit = false;
    /// Refusals of this continuation, including this one.
    uint32_t refusals = 0;
    /// The runner that the stream should leave is still connected.
    bool isCurrentConnected = false;
};

/// Decides how a stream goes on after a runner has not accepted its continuation. A copy that may still be in
/// transit is tried up to four times.
///
/// Load pattern: runners leave at two seconds' notice while the others are full, or are slow for some
/// seconds, so that streams leave runners that could have completed them for others that refuse.
SwitchStep planFailedSwitch(const FailedSwitch &failed);

} // namespace eelgrasslift
