#pragma once

#include "gateway/nodesettings.h"
#include "gateway/wireformat.h"

namespace eelgrasslift {

/// Runs a control member until SIGTERM or SIGINT: it replicates the configuration and serves operators and
/// gateways. Returns the exit code of the process.
int runCoordinator(const NodeSettings &settings, const WireFormat &format);

} // namespace eelgrasslift
