#pragma once

#include "libcore/core.h"

#include <algorithm>

namespace eelgrasslift {

/// Notices that a stream makes no progress while its process itself runs.
///
/// Load pattern: a runner falls silent without closing its connections, or a partition swallows what it
/// sends. A caller sees a pause from the last event on, so a continuation elsewhere has to begin before the
/// pause is too long.
class StallDetector
{
public:
    /// A process that looks this much later than it meant to has stood still itself.
    static constexpr Duration MaxTimerDelay = std::chrono::milliseconds{30};

    explicit StallDetector(Duration patience)
        : patience(patience)
    {}

    void recordProgress(TimePoint now) { this->lastProgress = now; }

    /// When to look again.
    TimePoint nextCheck() const { return this->lookAt; }

    /// Begins at the time given; the first look is due one patience later.
    void start(TimePoint now)
    {
        this->lastProgress = now;
        this->lookAt = now + this->patience;
    }

    /// Whether the stream has stalled; otherwise sets the time of the next look.
    bool check(TimePoint now, bool hasUnreadBytes)
    {
        const bool isLate = now > this->lookAt + MaxTimerDelay;
        const bool isOverdue = now >= this->lastProgress + this->patience;
        if (isOverdue && !isLate && !hasUnreadBytes)
            return true;
        this->lookAt = isOverdue ? now + this->patience : this->lastProgress + this->patience;
        return false;
    }

private:
    Duration patience;
    TimePoint lastProgress{};
    TimePoint lookAt{};
};

/// How long a send may go without its first event before it is given up.
///
/// Load pattern: a generation goes on from a copy at a runner that reads other prompts for a second. Giving
/// it up there ends it, since the copy can be used once; only a stream that can be resumed has another way.
inline Duration firstEventTimeout(bool isResumable, Duration objective, Duration timeLeft)
{
    // A second prompt for a generation that only waits for its turn takes the time of others.
    constexpr double Objectives = 2.5;
    if (!isResumable)
        return timeLeft;
    return std::min(timeLeft, std::chrono::duration_cast<Duration>(objective * Objectives));
}

} // namespace eelgrasslift
