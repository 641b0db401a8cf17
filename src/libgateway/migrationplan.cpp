#include "libgateway/migrationplan.h"

#include "libgateway/generationtime.h"

#include <algorithm>

namespace eelgrasslift {

namespace {

// Length estimates are correct only at the median, so a generation stays only if twice its remaining length
// ends in time.
constexpr double LengthMargin = 2.0;
constexpr Duration SafetyMargin = std::chrono::milliseconds{300};

// Lengths vary widely, so a generation that has produced much is likely to be long. It stays only if there is
// time to produce this share of its output so far once more.
constexpr double MinRemainingShare = 0.4;

// The first copy of a prompt takes 0.2 s on the link, or 0.4 s between failure domains, and queues behind
// other copies.
constexpr Duration BackupTransferTime = std::chrono::milliseconds{800};

// With less time than this until the stop, a backup that may be incomplete is better than none.
constexpr Duration LastResortTime = std::chrono::milliseconds{300};

} // namespace

MigrationAction planMigration(const LeavingGeneration &generation, Duration timeUntilStop)
{
    const double tokens = std::max(generation.remainingTokens * LengthMargin,
                                   generation.generatedTokens * MinRemainingShare);
    const Duration remaining = fromSeconds(tokens * SecondsPerToken);
    if (!generation.hasFirstEvent || remaining + SafetyMargin < timeUntilStop)
        return MigrationAction::Stay;
    if (generation.hasBackup &&
        (generation.timeSinceFirstEvent >= BackupTransferTime || timeUntilStop < LastResortTime))
        return MigrationAction::SwitchToBackup;
    return generation.canMigrate ? MigrationAction::Move : MigrationAction::Stay;
}

} // namespace eelgrasslift
