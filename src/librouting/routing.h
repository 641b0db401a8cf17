#pragma once

// Public header of librouting.

#include "librouting/accountlimiter.h"
#include "librouting/admissionqueue.h"
#include "librouting/lengthestimator.h"
#include "librouting/outlierdetector.h"
#include "librouting/retrybudget.h"
#include "librouting/target.h"
#include "librouting/targetselector.h"
