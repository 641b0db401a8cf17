#pragma once

#include "gateway/nodesettings.h"
#include "gateway/wireformat.h"

#include <functional>

namespace eelgrasslift {

/// Reads the settings again; at SIGHUP and when no control member of the known ones answers.
using SettingsLoader = std::function<Result<NodeSettings, SettingsError>()>;

/// Runs a gateway in front of runners. Returns the exit code of the process.
int runGateway(const NodeSettings &settings, const WireFormat &format, const SettingsLoader &reload);

} // namespace eelgrasslift
