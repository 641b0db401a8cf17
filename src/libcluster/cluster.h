#pragma once

// Public header of libcluster: gossip between processes, and the directory of targets and their availability.

#include "libcluster/gossipnode.h"
#include "libcluster/targetdirectory.h"
