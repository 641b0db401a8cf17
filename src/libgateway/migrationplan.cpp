#include "libgateway/migrationplan.h"

namespace eelgrasslift {

namespace {

// Time per token on a runner that shares its steps with a few others; from the engines' step time and batch
// slowdown on the users' sheets.
constexpr double SecondsPerToken = 0.010;

// Estimates of the length are good at the median only, so a run stays only if twice its estimate ends in
// time.
constexpr double LengthMargin = 2.0;
constexpr Duration SafetyMargin = std::chrono::milliseconds{300};

// The first copy of a prompt crosses the link in 0.2 s, or 0.4 s between failure domains, and waits for
// others.
constexpr Duration BackupSettling = std::chrono::milliseconds{800};

// Below this time an incomplete copy is still better than none.
constexpr Duration LastMoment = std::chrono::milliseconds{300};

} // namespace

MigrationStep planMigration(const LeavingRun &run, Duration untilGone)
{
    const Duration remaining = fromSeconds(run.remainingTokens * SecondsPerToken * LengthMargin);
    if (!run.hasFirstEvent || remaining + SafetyMargin < untilGone)
        return MigrationStep::Stay;
    if (run.hasBackup && (run.age >= BackupSettling || untilGone < LastMoment))
        return MigrationStep::SwitchToBackup;
    return run.canMove ? MigrationStep::Move : MigrationStep::Stay;
}

} // namespace eelgrasslift
