#pragma once

// Public header of libcore: time, timers, randomness, results and digests shared by all libraries.

#include "libcore/digest.h"
#include "libcore/random.h"
#include "libcore/result.h"
#include "libcore/time.h"
#include "libcore/timerservice.h"
#include "libcore/uuid.h"
