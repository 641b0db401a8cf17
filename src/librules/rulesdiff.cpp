#include "librules/rulesdiff.h"

#include <set>

namespace eelgrasslift {

namespace {

using Values = std::map<std::string, std::string, std::less<>>;

std::string valueOf(const Values &values, const std::string &key)
{
    const auto found = values.find(key);
    return found == values.end() ? std::string{} : found->second;
}

std::vector<KeyChange> diffValues(const Values &before, const Values &after)
{
    std::set<std::string> keys;
    for (const auto &[key, value] : before)
        keys.insert(key);
    for (const auto &[key, value] : after)
        keys.insert(key);
    std::vector<KeyChange> changes;
    for (const std::string &key : keys) {
        KeyChange change{key, valueOf(before, key), valueOf(after, key)};
        if (change.before != change.after)
            changes.push_back(std::move(change));
    }
    return changes;
}

RuleChange makeChange(RuleChangeKind kind, const std::string &rule, const RuleSource &before,
                      const RuleSource &after)
{
    const RuleOrigin &origin = kind == RuleChangeKind::Removed ? before.origin : after.origin;
    return {kind, rule, diffValues(before.values, after.values), origin.requestedBy, origin.reason};
}

bool isSame(const RuleSource &left, const RuleSource &right)
{
    return left.values == right.values && left.origin.requestedBy == right.origin.requestedBy &&
           left.origin.reason == right.origin.reason;
}

std::string diffPrefix(RuleChangeKind kind)
{
    switch (kind) {
    case RuleChangeKind::Added:
        return "+ ";
    case RuleChangeKind::Removed:
        return "- ";
    case RuleChangeKind::Changed:
        break;
    }
    return "~ ";
}

std::string keyText(const KeyChange &change, RuleChangeKind kind)
{
    if (kind == RuleChangeKind::Added)
        return " " + change.key + "=" + change.after;
    if (kind == RuleChangeKind::Removed)
        return " " + change.key + "=" + change.before;
    const std::string before = change.before.empty() ? "(default)" : change.before;
    const std::string after = change.after.empty() ? "(default)" : change.after;
    return " " + change.key + ": " + before + " -> " + after;
}

} // namespace

RulesDiff diffRules(const RuleSet &previous, const RuleSet &next)
{
    static const RuleSource absent;
    RulesDiff diff;
    for (const auto &[rule, before] : previous.sources) {
        const auto after = next.sources.find(rule);
        if (after == next.sources.end())
            diff.push_back(makeChange(RuleChangeKind::Removed, rule, before, absent));
        else if (!isSame(before, after->second))
            diff.push_back(makeChange(RuleChangeKind::Changed, rule, before, after->second));
    }
    for (const auto &[rule, after] : next.sources) {
        if (!previous.sources.contains(rule))
            diff.push_back(makeChange(RuleChangeKind::Added, rule, absent, after));
    }
    return diff;
}

std::string toText(const RulesDiff &diff)
{
    std::string text;
    for (const RuleChange &change : diff) {
        text += diffPrefix(change.kind) + change.rule;
        for (const KeyChange &key : change.keys)
            text += keyText(key, change.kind);
        text += "  # " + change.requestedBy + ": " + change.reason + "\n";
    }
    return text;
}

} // namespace eelgrasslift
