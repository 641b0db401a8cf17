#pragma once

// Public header of libcore: time, timers, random numbers, results, digests and UUIDs for all libraries.

#include "libcore/digest.h"
#include "libcore/random.h"
#include "libcore/result.h"
#include "libcore/time.h"
#include "libcore/timerservice.h"
#include "libcore/uuid.h"
