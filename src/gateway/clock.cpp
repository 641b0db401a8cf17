#include "gateway/clock.h"

namespace eelgrasslift {

TimePoint steadyNow()
{
    return TimePoint{std::chrono::steady_clock::now().time_since_epoch()};
}

} // namespace eelgrasslift
