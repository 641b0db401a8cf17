#pragma once

#include "librules/ruleerror.h"
#include "librules/ruleset.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasslift {

/// Collects errors of one file and drops those beyond MaxRuleErrors.
class RuleErrorList
{
public:
    explicit RuleErrorList(std::string_view fileName)
        : fileName(fileName)
    {}

    void add(RuleErrorCode code, uint32_t line, uint32_t column, std::string cause, std::string example = {});
    bool isEmpty() const { return this->errors.empty(); }

    /// The errors by line and column, with a final TooManyErrors if some were dropped.
    RuleErrors take();

private:
    std::string fileName;
    RuleErrors errors;
    size_t dropped = 0;
};

struct RuleField
{
    std::string key;
    std::string value;
    uint32_t keyColumn = 0;
    uint32_t valueColumn = 0;
};

/// One line split into its words, before any key is understood.
struct RuleLine
{
    RuleOrigin origin;
    std::string kind;
    std::string name;
    uint32_t kindColumn = 0;
    uint32_t nameColumn = 0;
    std::vector<RuleField> fields;
};

/// Splits one line. Returns nothing for blank lines, comment lines and lines with errors.
std::optional<RuleLine> splitRuleLine(std::string_view text, uint32_t line, RuleErrorList &errors);

/// Whether text may name a rule: lower-case letters, digits, '.', '_' and '-', 63 characters at most.
bool isRuleName(std::string_view text);

} // namespace eelgrasslift
