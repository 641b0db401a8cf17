#pragma once

#include "libcore/core.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace eelgrasslift {

/// Limits the log lines about an occurrence to one per interval. A line states how often it occurred since
/// the previous one.
///
/// Load pattern: a faulty runner sends a malformed header field in each answer, some hundred times a second.
class OccurrenceLimiter
{
public:
    /// Records an occurrence. Returns the number of occurrences since the last one that was to be logged,
    /// including this one, or nothing if this one is not to be logged.
    std::optional<uint64_t> record(TimePoint now)
    {
        ++this->count;
        if (this->nextAt && now < *this->nextAt)
            return std::nullopt;
        this->nextAt = now + Interval;
        return std::exchange(this->count, 0);
    }

private:
    static constexpr Duration Interval = std::chrono::seconds{10};

    uint64_t count = 0;
    std::optional<TimePoint> nextAt;
};

} // namespace eelgrasslift
