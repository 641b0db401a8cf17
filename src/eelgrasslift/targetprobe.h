#pragma once

#include "eelgrasslift/endpoint.h"

#include <boost/asio/awaitable.hpp>

namespace eelgrasslift {

enum class ProbeResult {
    /// Something accepts connections.
    Answers,
    /// The host says that nothing listens: the process is gone.
    Refused,
    /// No answer within the timeout; a partition or a frozen process looks like this.
    Silent,
};

/// Tries to connect to a target.
boost::asio::awaitable<ProbeResult> probeTarget(Endpoint endpoint);

} // namespace eelgrasslift
