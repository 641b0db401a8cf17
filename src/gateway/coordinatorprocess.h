#pragma once

#include "gateway/nodesettings.h"
#include "gateway/wireformat.h"

namespace eelgrasslift {

/// Runs a control member: replicated configuration, operators' calls, exchange with the gateways. Returns the
/// exit code of the process.
int runCoordinator(const NodeSettings &settings, const WireFormat &format);

} // namespace eelgrasslift
