#pragma once

#include "gateway/nodesettings.h"
#include "gateway/wireformat.h"

#include <functional>

namespace eelgrasslift {

/// Reads the settings again. Called at SIGHUP and when none of the known control members responds.
using SettingsLoader = std::function<Result<NodeSettings, SettingsError>()>;

/// Runs a gateway, which forwards callers' requests to runners, until SIGTERM or SIGINT and the drain after
/// it. Returns the exit code of the process.
int runGateway(const NodeSettings &settings, const WireFormat &format, const SettingsLoader &loadSettings);

} // namespace eelgrasslift
