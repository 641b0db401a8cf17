#pragma once

#include "libcore/core.h"

#include <algorithm>

namespace eelgrasslift {

/// Detects that a stream makes no progress, unless the cause is a pause of this process. The caller checks at
/// the times given by nextCheck().
///
/// Load pattern: a runner stops sending without closing its connections, or a network partition drops what it
/// sends. The pause that the caller observes begins with the last event, so the stream has to continue at
/// another runner before the pause exceeds its limit.
class StallDetector
{
public:
    /// A check that is later than this after its due time shows that this process was paused or starved.
    static constexpr Duration MaxTimerDelay = std::chrono::milliseconds{30};

    /// timeout is the time without progress after which the stream has stalled.
    explicit StallDetector(Duration timeout)
        : timeout(timeout)
    {}

    /// Records that an event has arrived.
    void recordProgress(TimePoint now) { this->lastProgress = now; }

    /// When the next check is due.
    TimePoint nextCheck() const { return this->nextCheckAt; }

    /// Starts at the given time; the first check is due one timeout later.
    void start(TimePoint now)
    {
        this->lastProgress = now;
        this->nextCheckAt = now + this->timeout;
    }

    /// Sets the time of the next check to one timeout from now, after a stall that nothing could be done
    /// about.
    void postpone(TimePoint now) { this->nextCheckAt = now + this->timeout; }

    /// Returns whether the stream has stalled; otherwise sets the time of the next check. Unread bytes on the
    /// connection count as progress.
    bool check(TimePoint now, bool hasUnreadBytes)
    {
        const bool isLate = now > this->nextCheckAt + MaxTimerDelay;
        const bool isOverdue = now >= this->lastProgress + this->timeout;
        if (isOverdue && !isLate && !hasUnreadBytes)
            return true;
        this->nextCheckAt = isOverdue ? now + this->timeout : this->lastProgress + this->timeout;
        return false;
    }

private:
    Duration timeout;
    TimePoint lastProgress{};
    TimePoint nextCheckAt{};
};

/// Returns how long a send waits for its first event, or for a response header that arrives earlier, before
/// it is aborted. remainingTime is the time until the deadline of the request.
///
/// Load pattern: a generation is continued from a copy of its KV cache at a runner that is busy with other
/// prefills for a second. Aborting the send ends the generation, since the copy can be used only once, unless
/// the stream can be resumed.
inline Duration firstEventTimeout(bool isResumable, Duration latencyObjective, Duration remainingTime)
{
    // Aborting a generation that is only queued costs another prefill, which delays other generations.
    constexpr double ObjectiveMultiple = 2.5;
    if (!isResumable)
        return remainingTime;
    return std::min(remainingTime,
                    std::chrono::duration_cast<Duration>(latencyObjective * ObjectiveMultiple));
}

} // namespace eelgrasslift
