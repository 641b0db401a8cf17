#pragma once

#include <algorithm>
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

/// Longest time that fromSeconds() returns, 31 years; the sum of a TimePoint and several such times does not
/// overflow.
constexpr double MaxSeconds = 1e9;

/// Rounds towards zero to whole nanoseconds. Limits the result to MaxSeconds in either direction, since the
/// number may come from another program; what is no number counts as the lower limit.
inline Duration fromSeconds(double seconds)
{
    seconds = seconds >= -MaxSeconds ? std::min(seconds, MaxSeconds) : -MaxSeconds;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace eelgrasslift
