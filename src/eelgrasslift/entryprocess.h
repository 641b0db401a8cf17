#pragma once

#include "eelgrasslift/entrysettings.h"

namespace eelgrasslift {

/// Runs the subcommand "entry" until the shutdown after SIGTERM or SIGINT is complete. Returns the exit code:
/// 0, or 1 if the caller or peer address cannot be listened on. Throws if the operator address cannot.
int runEntry(const EntrySettings &settings);

} // namespace eelgrasslift
