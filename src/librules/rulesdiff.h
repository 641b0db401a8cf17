#pragma once

#include "librules/ruleset.h"

#include <string>
#include <vector>

namespace eelgrasslift {

enum class RuleChangeKind { Added, Removed, Changed };

/// One key that differs between two versions of a rule; an empty text means that the key is absent.
struct KeyChange
{
    std::string key;
    std::string before;
    std::string after;

    bool operator==(const KeyChange &) const = default;
};

struct RuleChange
{
    RuleChangeKind kind = RuleChangeKind::Changed;
    /// "kind name", as at the start of the line.
    std::string rule;
    std::vector<KeyChange> keys;
    /// Who asked for the new line and why; for a removed rule, the comment of the old line.
    std::string requestedBy;
    std::string reason;

    bool operator==(const RuleChange &) const = default;
};

using RulesDiff = std::vector<RuleChange>;

/// Rules added, removed or changed from previous to next, by kind and name. A rule whose comment alone
/// changed is a changed rule without keys.
RulesDiff diffRules(const RuleSet &previous, const RuleSet &next);

/// One line per changed rule, such as "~ account kiosk-centre rate: 50 -> 60  # Maria: summer".
std::string toText(const RulesDiff &diff);

} // namespace eelgrasslift
