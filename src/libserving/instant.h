#pragma once

#include "libcore/time.h"

namespace eelgrasslift {

/// Reading of the monotonic and the wall clock at which an event is handled. To be read after the event has
/// arrived: an earlier reading would hide that the process was suspended in between.
struct Instant
{
    TimePoint now;
    WallTime wall{};
};

} // namespace eelgrasslift
