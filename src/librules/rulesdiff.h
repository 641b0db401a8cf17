#pragma once

#include "librules/ruleset.h"

#include <string>
#include <vector>

namespace eelgrasslift {

enum class RuleChangeKind { Added, Removed, Changed };

/// One key that differs between two versions of a rule. An empty value means that the key is absent.
struct KeyChange
{
    std::string key;
    std::string before;
    std::string after;

    bool operator==(const KeyChange &) const = default;
};

/// One rule that differs between two rule sets.
struct RuleChange
{
    RuleChangeKind kind = RuleChangeKind::Changed;
    /// "kind name", as at the start of the line.
    std::string rule;
    std::vector<KeyChange> keys;
    /// From the comment of the new line, or of the old line if the rule was removed.
    std::string requestedBy;
    std::string reason;

    bool operator==(const RuleChange &) const = default;
};

using RulesDiff = std::vector<RuleChange>;

/// Rules added, removed or changed from previous to next, matched by kind and name. A rule of which only the
/// comment changed is listed as changed, without keys.
RulesDiff diffRules(const RuleSet &previous, const RuleSet &next);

/// Formats one line per changed rule, such as "~ account kiosk-centre rate: 50 -> 60  # Maria: summer".
std::string toText(const RulesDiff &diff);

} // namespace eelgrasslift
