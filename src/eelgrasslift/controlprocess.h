#pragma once

#include "eelgrasslift/controlsettings.h"

namespace eelgrasslift {

/// Runs a control member until SIGTERM or SIGINT. Returns the exit code.
int runControl(const ControlSettings &settings);

/// Makes an empty folder the data folder of a new cluster. Returns the exit code.
int runControlInit(const ControlInitSettings &settings);

} // namespace eelgrasslift
