#pragma once

#include "libcore/result.h"
#include "librules/ruleerror.h"
#include "librules/ruleset.h"

#include <string_view>

namespace eelgrasslift {

constexpr size_t MaxRuleFileBytes = 1'048'576;
constexpr size_t MaxRules = 10'000;
/// Longer lines are refused, so that one rule stays readable in an editor and in an error message.
constexpr size_t MaxRuleLineBytes = 4096;
/// A file with more errors is most likely not a rule file; further errors are only counted.
constexpr size_t MaxRuleErrors = 1000;

/// Parses a whole rule file. On failure all errors are returned, in the order of their lines.
Result<RuleSet, RuleErrors> parseRules(std::string_view text, std::string_view fileName);

} // namespace eelgrasslift
