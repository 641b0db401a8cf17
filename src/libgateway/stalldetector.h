#pragma once

#include "libcore/core.h"

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
    static constexpr Duration LateLook = std::chrono::milliseconds{30};

    explicit StallDetector(Duration patience)
        : patience(patience)
    {}

    void noteProgress(TimePoint now) { this->lastProgress = now; }

    /// When to look again.
    TimePoint nextLook() const { return this->lookAt; }

    /// Begins at the time given; the first look is due one patience later.
    void start(TimePoint now)
    {
        this->lastProgress = now;
        this->lookAt = now + this->patience;
    }

    /// Whether the stream has stalled; otherwise sets the time of the next look.
    bool look(TimePoint now, bool hasUnreadBytes)
    {
        const bool isLate = now > this->lookAt + LateLook;
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

} // namespace eelgrasslift
