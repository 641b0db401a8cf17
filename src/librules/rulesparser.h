#pragma once

#include "libcore/result.h"
#include "librules/ruleerror.h"
#include "librules/ruleset.h"

#include <string_view>

namespace eelgrasslift {

constexpr size_t MaxRuleFileBytes = 1'048'576;
constexpr size_t MaxRules = 10'000;
/// Longer lines are rejected, so that every rule is readable in an editor and in an error message.
constexpr size_t MaxRuleLineBytes = 4096;
/// Further errors are only counted: a file with so many errors is most likely not a rule file.
constexpr size_t MaxRuleErrors = 1000;

/// Parses a whole rule file. Returns the rule set, or all errors in line order; fileName is used in the
/// errors only.
Result<RuleSet, RuleErrors> parseRules(std::string_view text, std::string_view fileName);

} // namespace eelgrasslift
