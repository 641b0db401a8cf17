#pragma once

// Public header of librules: the rule set that operators edit, its parser, differences and change checks.

#include "librules/ruleschange.h"
#include "librules/rulesdiff.h"
#include "librules/ruleset.h"
#include "librules/rulesparser.h"
