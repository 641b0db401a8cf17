#pragma once

// Public header of libwire: the generated messages between the system's processes.

#include "peer.pb.h"
