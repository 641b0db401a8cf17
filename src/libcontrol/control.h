#pragma once

// Public header of libcontrol: the replicated control state, its commands, and orders to engines.

#include "libcontrol/commandcodec.h"
#include "libcontrol/commands.h"
#include "libcontrol/controlstate.h"
#include "libcontrol/controltables.h"
#include "libcontrol/orderevents.h"
#include "libcontrol/orderreconciler.h"
#include "libcontrol/weightbudget.h"
