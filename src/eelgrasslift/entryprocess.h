#pragma once

#include "eelgrasslift/entrysettings.h"

namespace eelgrasslift {

/// Runs the subcommand "entry" until the shutdown after SIGTERM or SIGINT is complete. Returns the exit code:
/// 0, or 1 if an address cannot be listened on.
int runEntry(const EntrySettings &settings);

} // namespace eelgrasslift
