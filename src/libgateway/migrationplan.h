#pragma once

#include "libcore/core.h"

#include <optional>
#include <string_view>

namespace eelgrasslift {

/// When a leaving runner stops, counted from now; negative after it.
struct StopForecast
{
    /// The runner is expected to serve at least until then.
    Duration earliest{};
    /// The runner has announced that it will have stopped by then; absent if it has announced no time.
    std::optional<Duration> latest;
};

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
    /// Time since the KV cache was last copied to another runner that is not leaving.
    std::optional<Duration> copyAge;
    /// The runner, or the platform's list, states that it is leaving; health checks alone may be wrong.
    bool isLeaveStated = false;
    /// The runner has been called to end the run.
    bool isEndRequested = false;
};

/// What happens to a generation on a leaving runner.
enum class MigrationAction {
    Stay,   ///< Nothing for now.
    Copy,   ///< Copy the KV cache to another runner, to continue there when this one stops.
    EndRun, ///< Call the runner to end the run, and continue from the copy once it has.
    Leave   ///< Continue from the copy or the backup at once.
};

std::string_view toString(MigrationAction action);

/// Decides whether a generation migrates off a runner that will be stopped. Called again with each event
/// while the runner is leaving.
///
/// A generation stays until its runner ends it, by itself or on a call, or is about to stop. A closed
/// connection need not end the work on it, so a runner that is left earlier may go on with what another one
/// has taken over.
///
/// Load pattern: runners are stopped at two seconds' notice while their generations last ten seconds.
MigrationAction planMigration(const LeavingGeneration &generation, const StopForecast &stop);

} // namespace eelgrasslift
