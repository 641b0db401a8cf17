#include "libcontrol/control.h"
