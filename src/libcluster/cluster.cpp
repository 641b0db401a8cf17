#include "libcluster/cluster.h"
