#include "libserving/serving.h"
