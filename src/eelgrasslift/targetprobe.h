#pragma once

#include "eelgrasslift/endpoint.h"

#include <boost/asio/awaitable.hpp>

namespace eelgrasslift {

/// Result of probeTarget().
enum class ProbeResult {
    /// The target accepts connections.
    Reachable,
    /// The host refused the connection: no process listens on the port, so the target's process has ended.
    Refused,
    /// The connection failed otherwise or timed out, as with a network partition or a paused process.
    Unreachable,
};

/// Checks whether a target accepts TCP connections; takes at most 500 ms.
boost::asio::awaitable<ProbeResult> probeTarget(Endpoint endpoint);

} // namespace eelgrasslift
