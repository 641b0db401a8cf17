#pragma once

// Public header of librules: the rule set that operators edit, its parser, its differences and the check of
// changes.

#include "librules/ruleschange.h"
#include "librules/rulesdiff.h"
#include "librules/ruleset.h"
#include "librules/rulesparser.h"
