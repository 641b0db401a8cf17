#pragma once

// Public header of libserving: streams, idempotency records, plain-service calls, crash quarantine, shutdown.

#include "libserving/crashquarantine.h"
#include "libserving/drainstate.h"
#include "libserving/generationstream.h"
#include "libserving/idempotencyclaim.h"
#include "libserving/idempotencyreplica.h"
#include "libserving/isolationclaim.h"
#include "libserving/markbroadcast.h"
#include "libserving/resumetoken.h"
#include "libserving/servicecall.h"
