#include "librouting/routing.h"
