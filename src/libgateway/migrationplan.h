#pragma once

#include "libcore/core.h"

namespace eelgrasslift {

/// One running generation on a runner that is about to leave.
struct LeavingGeneration
{
    /// Tokens that the generation is expected to produce from now on.
    double remainingTokens = 0;
    /// Tokens that it has produced.
    double generatedTokens = 0;
    /// Memory can be copied only after the first event.
    bool hasFirstEvent = false;
    /// Time since the first event at this runner.
    Duration age{};
    /// A runner that stays keeps a growing copy.
    bool hasBackup = false;
    /// The engine can copy the memory elsewhere, and a lost run could not be repeated.
    bool canMigrate = false;
};

enum class MigrationAction {
    Stay,           ///< For now: the run ends in time, or its memory cannot be copied yet.
    SwitchToBackup, ///< Go on from the copy that is there.
    Move            ///< Copy the memory to another runner and go on there.
};

/// Decides for one run whether it moves; asked again with each event while the runner leaves.
///
/// Load pattern: runners are taken away at two seconds' notice while their generations last ten.
MigrationAction planMigration(const LeavingGeneration &run, Duration untilGone);

} // namespace eelgrasslift
