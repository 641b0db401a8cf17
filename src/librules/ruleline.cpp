#include "librules/ruleline.h"

#include "librules/rulesparser.h"

#include <algorithm>
#include <tuple>

namespace eelgrasslift {

namespace {

constexpr size_t MaxNameLength = 63;
constexpr std::string_view Whitespace = " \t";
constexpr std::string_view OriginExample = "# Elena Petrova: kiosks open at seven";

struct Word
{
    std::string_view text;
    uint32_t column = 0;
};

/// Length of the UTF-8 sequence that starts at this byte, 0 if none can start here.
size_t sequenceLength(uint8_t lead)
{
    if (lead < 0x80)
        return 1;
    if (lead >= 0xc2 && lead < 0xe0)
        return 2;
    if (lead >= 0xe0 && lead < 0xf0)
        return 3;
    return lead >= 0xf0 && lead < 0xf5 ? 4 : 0;
}

bool isContinuation(char byte)
{
    return (static_cast<uint8_t>(byte) & 0xc0) == 0x80;
}

/// Position of the first byte that is not printable UTF-8 text, npos if there is none.
size_t findInvalidByte(std::string_view text)
{
    for (size_t at = 0; at < text.size();) {
        const auto lead = static_cast<uint8_t>(text[at]);
        const size_t length = sequenceLength(lead);
        const bool isControl = (lead < 0x20 && lead != '\t') || lead == 0x7f;
        if (length == 0 || isControl || at + length > text.size())
            return at;
        const std::string_view continuation = text.substr(at + 1, length - 1);
        if (!std::all_of(continuation.begin(), continuation.end(), isContinuation))
            return at;
        at += length;
    }
    return std::string_view::npos;
}

uint32_t columnOf(std::string_view line, size_t at)
{
    const std::string_view before = line.substr(0, at);
    return 1 + static_cast<uint32_t>(std::count_if(before.begin(), before.end(),
                                                   [](char byte) { return !isContinuation(byte); }));
}

std::string_view trim(std::string_view text)
{
    const size_t first = text.find_first_not_of(Whitespace);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(Whitespace) - first + 1);
}

/// Splits the part before the comment into words. commentAt receives the position of the '#', npos if there
/// is none.
std::vector<Word> splitWords(std::string_view line, size_t &commentAt)
{
    std::vector<Word> words;
    commentAt = std::string_view::npos;
    for (size_t at = line.find_first_not_of(Whitespace); at != std::string_view::npos;) {
        if (line[at] == '#') {
            commentAt = at;
            break;
        }
        const size_t end = std::min(line.find_first_of(Whitespace, at), line.size());
        words.push_back({line.substr(at, end - at), columnOf(line, at)});
        at = line.find_first_not_of(Whitespace, end);
    }
    return words;
}

void readOrigin(std::string_view line, size_t commentAt, RuleOrigin &origin, RuleErrorList &errors)
{
    if (commentAt == std::string_view::npos) {
        errors.add(RuleErrorCode::MissingOrigin, origin.line, columnOf(line, line.size()),
                   "the rule does not say who asked for it and why", std::string(OriginExample));
        return;
    }
    const std::string_view comment = line.substr(commentAt + 1);
    const size_t colon = comment.find(':');
    origin.requestedBy = trim(comment.substr(0, colon));
    origin.reason = colon == std::string_view::npos ? std::string_view{} : trim(comment.substr(colon + 1));
    if (origin.requestedBy.empty() || origin.reason.empty()) {
        errors.add(RuleErrorCode::MissingOrigin, origin.line, columnOf(line, commentAt),
                   "the comment must have the form '# who: why'", std::string(OriginExample));
    }
}

void readField(const Word &word, RuleLine &rule, RuleErrorList &errors)
{
    const size_t equals = word.text.find('=');
    if (equals == 0 || equals == std::string_view::npos || equals + 1 == word.text.size()) {
        errors.add(RuleErrorCode::BadValue, rule.origin.line, word.column,
                   "'" + std::string(word.text) + "' is not of the form key=value", "priority=2");
        return;
    }
    const std::string_view key = word.text.substr(0, equals);
    const auto isSame = [key](const RuleField &field) { return field.key == key; };
    if (std::any_of(rule.fields.begin(), rule.fields.end(), isSame)) {
        errors.add(RuleErrorCode::Duplicate, rule.origin.line, word.column,
                   "the key '" + std::string(key) + "' is given twice", "one " + std::string(key) + "=...");
        return;
    }
    const uint32_t valueColumn = word.column + columnOf(word.text, equals);
    rule.fields.push_back(
            {std::string(key), std::string(word.text.substr(equals + 1)), word.column, valueColumn});
}

bool checkText(std::string_view line, uint32_t number, RuleErrorList &errors)
{
    if (line.size() > MaxRuleLineBytes) {
        errors.add(RuleErrorCode::TooLarge, number, 1,
                   "the line has " + std::to_string(line.size()) + " bytes, at most " +
                           std::to_string(MaxRuleLineBytes) + " are allowed");
        return false;
    }
    const size_t bad = findInvalidByte(line);
    if (bad == std::string_view::npos)
        return true;
    errors.add(RuleErrorCode::NotText, number, columnOf(line, bad),
               "the line contains a byte that is not printable UTF-8 text", "save the file as UTF-8");
    return false;
}

} // namespace

void RuleErrorList::add(RuleErrorCode code, uint32_t line, uint32_t column, std::string cause,
                        std::string example)
{
    if (this->errors.size() >= MaxRuleErrors) {
        ++this->dropped;
        return;
    }
    this->errors.push_back({code, this->fileName, line, column, std::move(cause), std::move(example)});
}

RuleErrors RuleErrorList::take()
{
    std::stable_sort(this->errors.begin(), this->errors.end(),
                     [](const RuleError &left, const RuleError &right) {
                         return std::tie(left.line, left.column) < std::tie(right.line, right.column);
                     });
    if (this->dropped > 0) {
        this->errors.push_back({RuleErrorCode::TooManyErrors, this->fileName, this->errors.back().line, 1,
                                std::to_string(this->dropped) + " further errors are not listed", ""});
    }
    return std::move(this->errors);
}

bool isRuleName(std::string_view text)
{
    const auto isNameCharacter = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= MaxNameLength && text.front() != '-' && text.front() != '.' &&
           std::all_of(text.begin(), text.end(), isNameCharacter);
}

std::optional<RuleLine> splitRuleLine(std::string_view text, uint32_t line, RuleErrorList &errors)
{
    if (!checkText(text, line, errors))
        return std::nullopt;
    size_t commentAt = 0;
    const std::vector<Word> words = splitWords(text, commentAt);
    if (words.empty())
        return std::nullopt;

    RuleLine rule;
    rule.origin.line = line;
    rule.kind = words[0].text;
    rule.kindColumn = words[0].column;
    readOrigin(text, commentAt, rule.origin, errors);
    if (words.size() < 2 || !isRuleName(words[1].text)) {
        errors.add(RuleErrorCode::MissingName, line, words.size() < 2 ? words[0].column : words[1].column,
                   "the rule needs a name of lower-case letters, digits, '-', '_' or '.' after its kind",
                   rule.kind + " kiosk-centre");
        return std::nullopt;
    }
    rule.name = words[1].text;
    rule.nameColumn = words[1].column;
    for (size_t i = 2; i < words.size(); ++i)
        readField(words[i], rule, errors);
    return rule;
}

} // namespace eelgrasslift
