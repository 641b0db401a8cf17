#pragma once

#include "libcore/core.h"

namespace eelgrasslift {

/// A running generation on a runner that is leaving.
struct LeavingGeneration
{
    /// Number of tokens that the generation is still expected to produce.
    double remainingTokens = 0;
    /// Number of tokens that it has produced.
    double generatedTokens = 0;
    /// Whether it has produced an event at this runner; its memory cannot be copied earlier.
    bool hasFirstEvent = false;
    /// Time since the first event at this runner.
    Duration timeSinceFirstEvent{};
    /// Another runner, which is not leaving, keeps a growing copy of the memory.
    bool hasBackup = false;
    /// The engine can copy the memory to another runner, and the stream could not be resumed without it.
    bool canMigrate = false;
};

/// What happens to a generation on a leaving runner.
enum class MigrationAction {
    Stay, ///< No migration for now: the generation ends in time, or its memory cannot be copied yet.
    SwitchToBackup, ///< Continue from the backup copy.
    Move            ///< Copy the memory to another runner and continue there.
};

/// Decides whether a generation migrates off a runner that stops after timeUntilStop. Called again with each
/// event while the runner is leaving.
///
/// Load pattern: runners are stopped at two seconds' notice while their generations last ten seconds.
MigrationAction planMigration(const LeavingGeneration &generation, Duration timeUntilStop);

} // namespace eelgrasslift
