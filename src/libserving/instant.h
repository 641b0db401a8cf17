#pragma once

#include "libcore/time.h"

namespace eelgrasslift {

/// Both clocks at the moment an event is handled. The owner reads them after the event has arrived.
struct Instant
{
    TimePoint now;
    WallTime wall{};
};

} // namespace eelgrasslift
