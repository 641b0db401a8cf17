#pragma once

#include "eelgrasslift/entrysettings.h"

namespace eelgrasslift {

/// Runs the subcommand "entry" until it is told to end. Returns the exit code.
int runEntry(const EntrySettings &settings);

} // namespace eelgrasslift
