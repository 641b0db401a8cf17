#pragma once

#include "libcore/core.h"

namespace eelgrasslift {

/// Monotonic time of this process.
TimePoint steadyNow();

} // namespace eelgrasslift
