#pragma once

// Public header of librules: the rule set that operators edit, its parser, differences and change checks.

#include "librules/ruleset.h"
