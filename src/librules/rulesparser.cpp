#include "librules/rulesparser.h"

#include "librules/fieldreader.h"
#include "librules/rulereaders.h"

#include <algorithm>

namespace eelgrasslift {

namespace {

/// Reads the lines of one file, then checks references and conflicts between rules.
class Parser
{
public:
    explicit Parser(std::string_view fileName)
        : errors(fileName)
    {}

    void readText(std::string_view text);
    void checkReferences();
    void checkConflicts();
    Result<RuleSet, RuleErrors> finish();

private:
    void readLine(std::string_view text, uint32_t line);
    bool isDuplicate(const RuleLine &line);
    void reportDuplicate(std::map<std::string, uint32_t> &seen, const std::string &key,
                         const RuleOrigin &origin, const std::string &what);

    RuleErrorList errors;
    RuleSet rules;
    std::vector<RuleReference> references;
    std::map<std::string, uint32_t> firstLines; // by "kind name", or by kind where only one rule is allowed
    size_t ruleCount = 0;
};

void Parser::readText(std::string_view text)
{
    constexpr std::string_view ByteOrderMark = "\xef\xbb\xbf";
    if (text.starts_with(ByteOrderMark))
        text.remove_prefix(ByteOrderMark.size());
    uint32_t number = 0;
    while (!text.empty()) {
        const size_t end = std::min(text.find('\n'), text.size());
        std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        this->readLine(line, ++number);
    }
    // An empty file is most likely a failed copy; accepting it would remove every account.
    if (this->ruleCount == 0 && this->errors.isEmpty())
        this->errors.add(RuleErrorCode::NoRules, 1, 1, "the file has no rules", "domain trakiya  # who: why");
    if (this->ruleCount > MaxRules) {
        this->errors.add(RuleErrorCode::TooLarge, number, 1,
                         "the file has " + std::to_string(this->ruleCount) + " rules, at most " +
                                 std::to_string(MaxRules) + " are allowed");
    }
}

void Parser::readLine(std::string_view text, uint32_t number)
{
    const std::optional<RuleLine> line = splitRuleLine(text, number, this->errors);
    if (!line || ++this->ruleCount > MaxRules || this->isDuplicate(*line))
        return;
    FieldReader fields(*line, this->errors, this->references);
    if (!readRule(fields, this->rules)) {
        this->errors.add(RuleErrorCode::UnknownKind, number, line->kindColumn,
                         "there is no rule kind '" + line->kind + "'; the kinds are " + knownKinds(),
                         "domain trakiya");
        return;
    }
    RuleSource &source = this->rules.sources[line->kind + " " + line->name];
    source.origin = line->origin;
    for (const RuleField &field : line->fields)
        source.values[field.key] = field.value;
}

bool Parser::isDuplicate(const RuleLine &line)
{
    const bool isSingle = isSingleKind(line.kind);
    const auto [first, isNew] =
            this->firstLines.emplace(isSingle ? line.kind : line.kind + " " + line.name, line.origin.line);
    if (isNew)
        return false;
    const std::string what = isSingle ? "a second rule of kind '" + line.kind + "'"
                                      : "a second '" + line.kind + " " + line.name + "'";
    this->errors.add(RuleErrorCode::Duplicate, line.origin.line, line.kindColumn,
                     what + "; the first is in line " + std::to_string(first->second),
                     "keep one of the two lines");
    return true;
}

void Parser::checkReferences()
{
    for (const RuleReference &reference : this->references) {
        if (this->firstLines.contains(reference.kind + " " + reference.name))
            continue;
        this->errors.add(RuleErrorCode::UnknownReference, reference.line, reference.column,
                         "there is no " + reference.kind + " '" + reference.name + "'",
                         reference.kind + " " + (reference.name.empty() ? "name" : reference.name) +
                                 " ...  # who: why");
    }
}

void Parser::reportDuplicate(std::map<std::string, uint32_t> &seen, const std::string &key,
                             const RuleOrigin &origin, const std::string &what)
{
    const auto [first, isNew] = seen.emplace(key, origin.line);
    if (isNew)
        return;
    this->errors.add(RuleErrorCode::Duplicate, origin.line, 1,
                     what + " as line " + std::to_string(first->second), "change one of the two lines");
}

void Parser::checkConflicts()
{
    std::map<std::string, uint32_t> keys;
    for (const auto &[name, rule] : this->rules.accounts) {
        if (!rule.keySha256.empty())
            this->reportDuplicate(keys, rule.keySha256, rule.origin, "the account has the same key");
    }
    std::map<std::string, uint32_t> routes;
    for (const auto &[name, rule] : this->rules.routes) {
        this->reportDuplicate(routes, rule.service + " " + rule.method + " " + rule.path, rule.origin,
                              "the route covers the same requests");
    }
    std::map<std::string, uint32_t> targets;
    for (const auto &[name, rule] : this->rules.targets)
        this->reportDuplicate(targets, rule.match, rule.origin, "the rule matches the same targets");
    std::map<std::string, uint32_t> loads;
    for (const auto &[name, rule] : this->rules.loads)
        this->reportDuplicate(loads, rule.match, rule.origin, "the rule matches the same targets");
}

Result<RuleSet, RuleErrors> Parser::finish()
{
    if (this->errors.isEmpty())
        return std::move(this->rules);
    return this->errors.take();
}

} // namespace

Result<RuleSet, RuleErrors> parseRules(std::string_view text, std::string_view fileName)
{
    if (text.size() > MaxRuleFileBytes) {
        return RuleErrors{{RuleErrorCode::TooLarge, std::string(fileName), 1, 1,
                           "the file has " + std::to_string(text.size()) + " bytes, at most " +
                                   std::to_string(MaxRuleFileBytes) + " are allowed",
                           ""}};
    }
    Parser parser(fileName);
    parser.readText(text);
    parser.checkReferences();
    parser.checkConflicts();
    return parser.finish();
}

} // namespace eelgrasslift
