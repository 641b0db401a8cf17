#include "libconsensus/consensus.h"
