#pragma once

#include "libcore/core.h"

namespace eelgrasslift {

/// One running generation on a runner that is about to leave.
struct LeavingRun
{
    /// Tokens that the generation is expected to produce from now on.
    double remainingTokens = 0;
    bool hasFirstEvent = false;
};

enum class MigrationStep {
    Stay, ///< The run ends before its runner is gone.
    Move  ///< Copy its memory to another runner and go on there.
};

/// Decides for one run whether it moves.
///
/// Load pattern: runners are taken away at two seconds' notice while their generations last ten.
MigrationStep planMigration(const LeavingRun &run, Duration untilGone);

} // namespace eelgrasslift
