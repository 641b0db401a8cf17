#pragma once

#include "librules/ruleline.h"

#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasslift {

/// A name in one rule that another rule must define.
struct RuleReference
{
    std::string kind;
    std::string name;
    uint32_t line = 0;
    uint32_t column = 0;
};

/// Reads the keys of one rule with type and range checks. A key that is not read is unknown.
class FieldReader
{
public:
    using Names = std::set<std::string, std::less<>>;

    FieldReader(const RuleLine &line, RuleErrorList &errors, std::vector<RuleReference> &references);

    const RuleLine &rule() const { return this->line; }

    /// Makes the next read key mandatory; example is a correct value.
    FieldReader &required(std::string_view example);

    void number(std::string_view key, uint32_t &value, uint32_t min, uint32_t max);
    void decimal(std::string_view key, double &value, double min, double max);
    void percent(std::string_view key, double &value);
    void duration(std::string_view key, Duration &value, Duration min, Duration max);
    void durationRange(std::string_view key, Duration &low, Duration &high, Duration min, Duration max);
    void yesNo(std::string_view key, bool &value);
    void name(std::string_view key, std::string &value);
    void pattern(std::string_view key, std::string &value);
    void path(std::string_view key, std::string &value);
    void hexDigest(std::string_view key, std::string &value);
    /// One of the texts; returns its index.
    void choice(std::string_view key, std::span<const std::string_view> texts, size_t &index);
    /// The name of a rule of the given kind.
    void reference(std::string_view key, std::string_view kind, std::string &value);
    void references(std::string_view key, std::string_view kind, Names &values);

    bool has(std::string_view key) const;
    void contradiction(std::string_view key, std::string cause, std::string example);

    /// Reports every key that was not read.
    void finish();

private:
    const RuleField *take(std::string_view key);
    const RuleField *find(std::string_view key) const;
    void bad(const RuleField &field, std::string_view expected, std::string_view example);
    void outOfRange(const RuleField &field, const std::string &min, const std::string &max);
    void refer(const RuleField &field, std::string_view kind, std::string_view name, size_t offset);
    bool readDuration(const RuleField &field, std::string_view text, Duration &value, Duration min,
                      Duration max);

    const RuleLine &line;
    RuleErrorList &errors;
    std::vector<RuleReference> &referenceList;
    std::vector<std::string_view> knownKeys;
    std::string requiredExample;
};

/// "1500ms", "30s", "24h"; the largest unit that divides the duration.
std::string durationText(Duration duration);

} // namespace eelgrasslift
