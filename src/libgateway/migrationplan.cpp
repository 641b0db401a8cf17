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

// How long before the stop a generation leaves. Two runners may work on it for 400 ms, as specified by the
// users; the other half is for runners that stop late.
constexpr Duration DepartureLead = std::chrono::milliseconds{200};

// Copies are made this long before the stop, since each occupies memory at its destination: the longest
// notice that the users specify, with time for several copies over one link.
constexpr Duration CopyLead = std::chrono::seconds{3};

// A copy is renewed after this time. The users' engines keep one for 5 s.
constexpr Duration CopyRenewalInterval = std::chrono::milliseconds{2500};

} // namespace

std::string_view toString(MigrationAction action)
{
    switch (action) {
    case MigrationAction::Stay:
        return "stay";
    case MigrationAction::Copy:
        return "copy";
    case MigrationAction::EndRun:
        return "end-run";
    case MigrationAction::Leave:
        return "leave";
    }
    return "unknown";
}

MigrationAction planMigration(const LeavingGeneration &generation, const StopForecast &stop)
{
    const double tokens = std::max(generation.remainingTokens * LengthMargin,
                                   generation.generatedTokens * MinRemainingShare);
    const Duration remaining = fromSeconds(tokens * SecondsPerToken);
    if (!generation.hasFirstEvent || remaining + SafetyMargin < stop.earliest)
        return MigrationAction::Stay;
    const bool isBackupUsable =
            generation.hasBackup &&
            (generation.timeSinceFirstEvent >= BackupTransferTime || stop.earliest < LastResortTime);
    if ((isBackupUsable || generation.copyAge) && stop.latest && *stop.latest <= DepartureLead)
        return MigrationAction::Leave;
    if (isBackupUsable || !generation.canMigrate || stop.earliest > CopyLead)
        return MigrationAction::Stay;
    // One by one, as their copies are made: runners that take over many generations at once delay them.
    if (generation.copyAge && generation.isLeaveStated && !generation.isEndRequested)
        return MigrationAction::EndRun;
    const bool isCopyNeeded = !generation.copyAge || *generation.copyAge >= CopyRenewalInterval;
    return isCopyNeeded ? MigrationAction::Copy : MigrationAction::Stay;
}

} // namespace eelgrasslift
