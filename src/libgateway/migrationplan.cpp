#include "libgateway/migrationplan.h"

#include "libgateway/generationtime.h"

#include <algorithm>

namespace eelgrasslift {

namespace {

// Estimates of the length are good at the median only, so a run stays only if twice its estimate ends in
// time.
constexpr double LengthMargin = 2.0;
constexpr Duration SafetyMargin = std::chrono::milliseconds{300};

// Lengths are spread widely, so an old generation is likely a long one: it stays only if it may produce this
// part of what it has produced already before its runner is gone.
constexpr double ShareOfAge = 0.4;

// The first copy of a prompt crosses the link in 0.2 s, or 0.4 s between failure domains, and waits for
// others.
constexpr Duration BackupSettling = std::chrono::milliseconds{800};

// Below this time an incomplete copy is still better than none.
constexpr Duration LastMoment = std::chrono::milliseconds{300};

} // namespace

MigrationAction planMigration(const LeavingGeneration &run, Duration untilGone)
{
    const double tokens = std::max(run.remainingTokens * LengthMargin, run.generatedTokens * ShareOfAge);
    const Duration remaining = fromSeconds(tokens * SecondsPerToken);
    if (!run.hasFirstEvent || remaining + SafetyMargin < untilGone)
        return MigrationAction::Stay;
    if (run.hasBackup && (run.age >= BackupSettling || untilGone < LastMoment))
        return MigrationAction::SwitchToBackup;
    return run.canMigrate ? MigrationAction::Move : MigrationAction::Stay;
}

} // namespace eelgrasslift
