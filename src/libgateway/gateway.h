#pragma once

// Public header of libgateway: routing, retry, placement and migration decisions of gateways and
// coordinators. The library does no I/O; callers pass the current time.

#include "libgateway/coordinatordirectory.h"
#include "libgateway/eventsplitter.h"
#include "libgateway/fleetchangelog.h"
#include "libgateway/fleetload.h"
#include "libgateway/fleetview.h"
#include "libgateway/generationtime.h"
#include "libgateway/leavingdetector.h"
#include "libgateway/leavingrunners.h"
#include "libgateway/lostruns.h"
#include "libgateway/memoryforecast.h"
#include "libgateway/migrationplan.h"
#include "libgateway/occurrencelimiter.h"
#include "libgateway/outputlengthdistribution.h"
#include "libgateway/placementqueue.h"
#include "libgateway/retrycontroller.h"
#include "libgateway/routetable.h"
#include "libgateway/runnerpauses.h"
#include "libgateway/runnerpool.h"
#include "libgateway/schedulercontact.h"
#include "libgateway/servingconfig.h"
#include "libgateway/sharedretrybudget.h"
#include "libgateway/stalldetector.h"
#include "libgateway/switchplan.h"
#include "libgateway/transferqueue.h"
