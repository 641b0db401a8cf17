#include "libgateway/migrationplan.h"

namespace eelgrasslift {

namespace {

// Time per token on a runner that shares its steps with a few others; from the engines' step time and batch
// slowdown on the users' sheets.
constexpr double SecondsPerToken = 0.010;

// A run that would end this close to the departure moves: the estimate of its length is rough.
constexpr Duration SafetyMargin = std::chrono::milliseconds{500};

} // namespace

MigrationStep planMigration(const LeavingRun &run, Duration untilGone)
{
    const Duration remaining = fromSeconds(run.remainingTokens * SecondsPerToken);
    return remaining + SafetyMargin < untilGone ? MigrationStep::Stay : MigrationStep::Move;
}

} // namespace eelgrasslift
