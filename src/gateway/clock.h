#pragma once

#include "libcore/core.h"

namespace eelgrasslift {

/// Current time of the steady clock, as the TimePoint that the libraries take.
TimePoint steadyNow();

} // namespace eelgrasslift
