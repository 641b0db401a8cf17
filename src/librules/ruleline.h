#pragma once

#include "librules/ruleerror.h"
#include "librules/ruleset.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasslift {

/// Collects the errors of one file and drops those beyond MaxRuleErrors.
class RuleErrorList
{
public:
    explicit RuleErrorList(std::string_view fileName)
        : fileName(fileName)
    {}

    void add(RuleErrorCode code, uint32_t line, uint32_t column, std::string cause, std::string example = {});
    bool isEmpty() const { return this->errors.empty(); }

    /// Moves out the errors, sorted by line and column, with a final TooManyErrors if some were dropped.
    RuleErrors take();

private:
    std::string fileName;
    RuleErrors errors;
    size_t dropped = 0;
};

/// One key=value pair of a rule.
struct RuleField
{
    std::string key;
    std::string value;
    uint32_t keyColumn = 0;
    uint32_t valueColumn = 0;
};

/// One rule split into kind, name and fields; keys and values are not checked yet.
struct RuleLine
{
    RuleOrigin origin;
    std::string kind;
    std::string name;
    uint32_t kindColumn = 0;
    uint32_t nameColumn = 0;
    std::vector<RuleField> fields;
};

/// Splits one line and adds its errors. Returns std::nullopt for lines without a rule, lines that are too
/// long or not printable text, and rules without a valid name.
std::optional<RuleLine> splitRuleLine(std::string_view text, uint32_t line, RuleErrorList &errors);

/// Whether text is a valid rule name: at most 63 lower-case letters, digits, '.', '_' and '-', the first not
/// '.' or
/// '-'.
bool isRuleName(std::string_view text);

} // namespace eelgrasslift
