#pragma once

#include <chrono>
#include <cstdint>

namespace eelgrasslift {

using Duration = std::chrono::nanoseconds;

/// Clock type of monotonic time points. It has no now(): the current time is passed in as a parameter, so
/// that tests control it.
struct MonotonicClock
{
    using duration = Duration;
    using rep = Duration::rep;
    using period = Duration::period;
    using time_point = std::chrono::time_point<MonotonicClock, Duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

using TimePoint = MonotonicClock::time_point;

/// Wall-clock time in milliseconds since the Unix epoch, for times that are stored or sent to other
/// processes.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Whole milliseconds, rounded towards zero.
inline int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace eelgrasslift
