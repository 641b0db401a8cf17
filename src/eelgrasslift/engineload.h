#pragma once

#include "eelgrasslift/endpoint.h"
#include "libcore/core.h"
#include "librouting/routing.h"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace eelgrasslift {

/// Asks an engine for its load report, which also identifies its process. Empty if it does not answer within
/// the timeout.
boost::asio::awaitable<std::optional<LoadReport>> readEngineLoad(Endpoint endpoint, Duration timeout);

} // namespace eelgrasslift
