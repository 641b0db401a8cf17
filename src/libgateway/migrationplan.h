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
    /// Whether it has produced an event at this runner; its KV cache cannot be copied earlier.
    bool hasFirstEvent = false;
    /// Time since the first event at this runner.
    Duration timeSinceFirstEvent{};
    /// Another runner, which is not leaving, keeps an incremental copy of the KV cache.
    bool hasBackup = false;
    /// The engine can copy the KV cache to another runner, and the stream cannot be resumed without it.
    bool canMigrate = false;
};

/// What happens to a generation on a leaving runner.
enum class MigrationAction {
    Stay, ///< No migration for now: the generation ends in time, or it cannot or need not be copied.
    SwitchToBackup, ///< Continue from the backup at once.
    Move            ///< Copy the KV cache to another runner and continue there.
};

/// Decides whether a generation migrates off a runner that stops after timeUntilStop. Called again with each
/// event while the runner is leaving.
///
/// Load pattern: runners are stopped at two seconds' notice while their generations last ten seconds.
MigrationAction planMigration(const LeavingGeneration &generation, Duration timeUntilStop);

} // namespace eelgrasslift
