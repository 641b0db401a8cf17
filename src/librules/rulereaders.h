#pragma once

#include "librules/fieldreader.h"
#include "librules/ruleset.h"

namespace eelgrasslift {

/// Reads one rule of any kind into the rule set; errors in its fields go to the reader. Returns false if the
/// kind is unknown.
bool readRule(FieldReader &fields, RuleSet &rules);

/// Whether a file may contain only one rule of this kind, regardless of its name.
bool isSingleKind(std::string_view kind);

/// All rule kinds, separated by commas, for error messages.
std::string knownKinds();

} // namespace eelgrasslift
