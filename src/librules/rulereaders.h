#pragma once

#include "librules/fieldreader.h"
#include "librules/ruleset.h"

namespace eelgrasslift {

/// Reads one rule of any kind into the rule set. Returns false if the kind is unknown.
bool readRule(FieldReader &fields, RuleSet &rules);

/// Whether a file may hold only one rule of this kind, whatever its name.
bool isSingleKind(std::string_view kind);

/// All kinds, separated by commas.
std::string knownKinds();

} // namespace eelgrasslift
