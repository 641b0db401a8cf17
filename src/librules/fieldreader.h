#pragma once

#include "librules/ruleline.h"

#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasslift {

/// A reference to another rule by kind and name. Line and column are those of the name.
struct RuleReference
{
    std::string kind;
    std::string name;
    uint32_t line = 0;
    uint32_t column = 0;
};

/// Reads the keys of one rule and checks types and ranges. A value whose key is absent stays unchanged; an
/// invalid value is added to the errors. A key that is not read is unknown.
class FieldReader
{
public:
    using Names = std::set<std::string, std::less<>>;

    FieldReader(const RuleLine &line, RuleErrorList &errors, std::vector<RuleReference> &references);

    const RuleLine &rule() const { return this->line; }

    /// Makes the next key that is read mandatory; example is a valid value for the error message.
    FieldReader &required(std::string_view example);

    void number(std::string_view key, uint32_t &value, uint32_t min, uint32_t max);
    void decimal(std::string_view key, double &value, double min, double max);
    /// A percentage such as 10%, as a fraction such as 0.1. 0% to 100% are valid.
    void percent(std::string_view key, double &value);
    /// A whole number with the unit ms, s, m, h or d.
    void duration(std::string_view key, Duration &value, Duration min, Duration max);
    /// Two durations in the form 50ms..2s.
    void durationRange(std::string_view key, Duration &low, Duration &high, Duration min, Duration max);
    void yesNo(std::string_view key, bool &value);
    /// A name as checked by isRuleName().
    void name(std::string_view key, std::string &value);
    /// A VM id in which '*' matches any text.
    void pattern(std::string_view key, std::string &value);
    /// An absolute path without '?' and '%'.
    void path(std::string_view key, std::string &value);
    /// A SHA-256 digest of 64 lower-case hex digits.
    void hexDigest(std::string_view key, std::string &value);
    /// One of the texts; index receives its position.
    void choice(std::string_view key, std::span<const std::string_view> texts, size_t &index);
    /// The name of a rule of the given kind; its existence is checked after the whole file has been read.
    void reference(std::string_view key, std::string_view kind, std::string &value);
    /// Names of rules of the given kind, separated by commas.
    void references(std::string_view key, std::string_view kind, Names &values);

    bool has(std::string_view key) const;
    /// Adds an error at the key, or at the kind of the rule if the key is absent.
    void reportContradiction(std::string_view key, std::string cause, std::string example);

    /// Adds an error for every key that was not read.
    void reportUnknownKeys();

private:
    const RuleField *takeField(std::string_view key);
    const RuleField *find(std::string_view key) const;
    void reportBadValue(const RuleField &field, std::string_view expected, std::string_view example);
    void reportOutOfRange(const RuleField &field, const std::string &min, const std::string &max);
    void addReference(const RuleField &field, std::string_view kind, std::string_view name, size_t offset);
    bool readDuration(const RuleField &field, std::string_view text, Duration &value, Duration min,
                      Duration max);

    const RuleLine &line;
    RuleErrorList &errors;
    std::vector<RuleReference> &referenceList;
    std::vector<std::string_view> knownKeys;
    std::string requiredExample;
};

/// Formats a duration in the largest unit that divides it, such as "1500ms", "30s" or "2h".
std::string durationText(Duration duration);

} // namespace eelgrasslift
