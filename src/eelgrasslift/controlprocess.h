#pragma once

#include "eelgrasslift/controlsettings.h"

namespace eelgrasslift {

/// Runs a control member until SIGTERM or SIGINT. Returns the exit code: 0 after a normal shutdown, 1 if the
/// data folder or the peer address is unusable, 2 if the admin key is missing.
int runControl(const ControlSettings &settings);

/// Initialises an empty folder as the data folder of a new cluster's first member and prints the ids of both.
/// Returns the exit code: 0, or 1 if the folder cannot be initialised.
int runControlInit(const ControlInitSettings &settings);

} // namespace eelgrasslift
