#include "librules/fieldreader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>

namespace eelgrasslift {

namespace {

constexpr size_t MaxPathLength = 1024;

struct Unit
{
    std::string_view text;
    Duration length;
};

// "ms" precedes "s" because a text that ends in "ms" also ends in "s".
constexpr std::array<Unit, 5> Units{{{"ms", std::chrono::milliseconds{1}},
                                     {"s", std::chrono::seconds{1}},
                                     {"m", std::chrono::minutes{1}},
                                     {"h", std::chrono::hours{1}},
                                     {"d", std::chrono::hours{24}}}};

template <typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::optional<Duration> parseDuration(std::string_view text)
{
    for (const Unit &unit : Units) {
        if (!text.ends_with(unit.text))
            continue;
        const auto count = parseNumber<uint64_t>(text.substr(0, text.size() - unit.text.size()));
        const auto largest = static_cast<uint64_t>(Duration::max() / unit.length);
        if (!count || *count > largest)
            return std::nullopt;
        return unit.length * static_cast<int64_t>(*count);
    }
    return std::nullopt;
}

std::string decimalText(double value)
{
    std::array<char, 32> buffer{};
    const auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return error == std::errc{} ? std::string(buffer.data(), end) : std::string{};
}

std::string join(std::span<const std::string_view> texts)
{
    std::string joined;
    for (const std::string_view text : texts)
        joined += (joined.empty() ? "" : ", ") + std::string(text);
    return joined;
}

} // namespace

std::string durationText(Duration duration)
{
    const Unit *best = &Units.front();
    for (const Unit &unit : Units) {
        if (duration >= unit.length && duration % unit.length == Duration{0})
            best = &unit;
    }
    return std::to_string(duration / best->length) + std::string(best->text);
}

FieldReader::FieldReader(const RuleLine &line, RuleErrorList &errors, std::vector<RuleReference> &references)
    : line(line)
    , errors(errors)
    , referenceList(references)
{}

FieldReader &FieldReader::required(std::string_view example)
{
    this->requiredExample = example;
    return *this;
}

const RuleField *FieldReader::find(std::string_view key) const
{
    const auto found = std::find_if(this->line.fields.begin(), this->line.fields.end(),
                                    [key](const RuleField &field) { return field.key == key; });
    return found == this->line.fields.end() ? nullptr : &*found;
}

bool FieldReader::has(std::string_view key) const
{
    return this->find(key) != nullptr;
}

const RuleField *FieldReader::takeField(std::string_view key)
{
    this->knownKeys.push_back(key);
    const RuleField *field = this->find(key);
    const std::string example = std::exchange(this->requiredExample, {});
    if (field == nullptr && !example.empty()) {
        this->errors.add(RuleErrorCode::MissingKey, this->line.origin.line, this->line.kindColumn,
                         "the rule needs the key '" + std::string(key) + "'",
                         std::string(key) + "=" + example);
    }
    return field;
}

void FieldReader::reportBadValue(const RuleField &field, std::string_view expected, std::string_view example)
{
    this->errors.add(RuleErrorCode::BadValue, this->line.origin.line, field.valueColumn,
                     "'" + field.value + "' is not " + std::string(expected),
                     field.key + "=" + std::string(example));
}

void FieldReader::reportOutOfRange(const RuleField &field, const std::string &min, const std::string &max)
{
    this->errors.add(RuleErrorCode::OutOfRange, this->line.origin.line, field.valueColumn,
                     "'" + field.value + "' is outside the range " + min + " to " + max,
                     field.key + "=" + min);
}

void FieldReader::number(std::string_view key, uint32_t &value, uint32_t min, uint32_t max)
{
    const RuleField *field = this->takeField(key);
    if (field == nullptr)
        return;
    const auto parsed = parseNumber<uint64_t>(field->value);
    if (!parsed)
        this->reportBadValue(*field, "a whole number", std::to_string(min));
    else if (*parsed < min || *parsed > max)
        this->reportOutOfRange(*field, std::to_string(min), std::to_string(max));
    else
        value = static_cast<uint32_t>(*parsed);
}

void FieldReader::decimal(std::string_view key, double &value, double min, double max)
{
    const RuleField *field = this->takeField(key);
    if (field == nullptr)
        return;
    const auto parsed = parseNumber<double>(field->value);
    if (!parsed || !std::isfinite(*parsed))
        this->reportBadValue(*field, "a number", decimalText(min));
    else if (*parsed < min || *parsed > max)
        this->reportOutOfRange(*field, decimalText(min), decimalText(max));
    else
        value = *parsed;
}

void FieldReader::percent(std::string_view key, double &value)
{
    const RuleField *field = this->takeField(key);
    if (field == nullptr)
        return;
    const std::string_view text = field->value;
    const auto parsed =
            text.ends_with('%') ? parseNumber<double>(text.substr(0, text.size() - 1)) : std::nullopt;
    if (!parsed || !std::isfinite(*parsed))
        this->reportBadValue(*field, "a percentage", "10%");
    else if (*parsed < 0 || *parsed > 100)
        this->reportOutOfRange(*field, "0%", "100%");
    else
        value = *parsed / 100;
}

bool FieldReader::readDuration(const RuleField &field, std::string_view text, Duration &value, Duration min,
                               Duration max)
{
    const auto parsed = parseDuration(text);
    if (!parsed) {
        this->reportBadValue(field, "a duration: a whole number with ms, s, m, h or d", durationText(min));
        return false;
    }
    if (*parsed < min || *parsed > max) {
        this->reportOutOfRange(field, durationText(min), durationText(max));
        return false;
    }
    value = *parsed;
    return true;
}

void FieldReader::duration(std::string_view key, Duration &value, Duration min, Duration max)
{
    if (const RuleField *field = this->takeField(key))
        this->readDuration(*field, field->value, value, min, max);
}

void FieldReader::durationRange(std::string_view key, Duration &low, Duration &high, Duration min,
                                Duration max)
{
    const RuleField *field = this->takeField(key);
    if (field == nullptr)
        return;
    const std::string_view text = field->value;
    const size_t dots = text.find("..");
    if (dots == std::string_view::npos) {
        this->reportBadValue(*field, "a range of durations", "50ms..2s");
        return;
    }
    if (!this->readDuration(*field, text.substr(0, dots), low, min, max) ||
        !this->readDuration(*field, text.substr(dots + 2), high, min, max))
        return;
    if (low > high)
        this->reportBadValue(*field, "a range: its start is after its end", "50ms..2s");
}

void FieldReader::yesNo(std::string_view key, bool &value)
{
    static constexpr std::array<std::string_view, 2> Texts{"no", "yes"};
    size_t index = value ? 1 : 0;
    this->choice(key, Texts, index);
    value = index == 1;
}

void FieldReader::name(std::string_view key, std::string &value)
{
    const RuleField *field = this->takeField(key);
    if (field == nullptr)
        return;
    if (isRuleName(field->value))
        value = field->value;
    else
        this->reportBadValue(*field, "a name of lower-case letters, digits, '-', '_' or '.'", "none");
}

void FieldReader::pattern(std::string_view key, std::string &value)
{
    const RuleField *field = this->takeField(key);
    if (field == nullptr)
        return;
    std::string plain = field->value;
    std::replace(plain.begin(), plain.end(), '*', 'x');
    if (isRuleName(plain))
        value = field->value;
    else
        this->reportBadValue(*field, "a VM id, in which '*' stands for any text", "runner-*");
}

void FieldReader::path(std::string_view key, std::string &value)
{
    const RuleField *field = this->takeField(key);
    if (field == nullptr)
        return;
    const bool hasQuery = field->value.find_first_of("?%") != std::string::npos;
    if (field->value.front() == '/' && field->value.size() <= MaxPathLength && !hasQuery)
        value = field->value;
    else
        this->reportBadValue(*field, "a path that starts with '/' and has no '?' or '%'", "/shelves");
}

void FieldReader::hexDigest(std::string_view key, std::string &value)
{
    constexpr size_t DigestDigits = 64;
    const RuleField *field = this->takeField(key);
    if (field == nullptr)
        return;
    const bool isHex = field->value.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (isHex && field->value.size() == DigestDigits)
        value = field->value;
    else
        this->reportBadValue(*field, "a SHA-256 digest of 64 lower-case hex digits",
                             "$(printf %s \"$KEY\" | sha256sum | cut -d' ' -f1)");
}

void FieldReader::choice(std::string_view key, std::span<const std::string_view> texts, size_t &index)
{
    const RuleField *field = this->takeField(key);
    if (field == nullptr)
        return;
    const auto found = std::find(texts.begin(), texts.end(), field->value);
    if (found != texts.end())
        index = static_cast<size_t>(found - texts.begin());
    else
        this->reportBadValue(*field, "one of " + join(texts), texts.front());
}

void FieldReader::addReference(const RuleField &field, std::string_view kind, std::string_view name,
                               size_t offset)
{
    this->referenceList.push_back({std::string(kind), std::string(name), this->line.origin.line,
                                   field.valueColumn + static_cast<uint32_t>(offset)});
}

void FieldReader::reference(std::string_view key, std::string_view kind, std::string &value)
{
    const RuleField *field = this->takeField(key);
    if (field == nullptr)
        return;
    value = field->value;
    this->addReference(*field, kind, field->value, 0);
}

void FieldReader::references(std::string_view key, std::string_view kind, Names &values)
{
    const RuleField *field = this->takeField(key);
    if (field == nullptr)
        return;
    const std::string_view text = field->value;
    for (size_t at = 0; at <= text.size();) {
        const size_t end = std::min(text.find(',', at), text.size());
        const std::string_view name = text.substr(at, end - at);
        this->addReference(*field, kind, name, at);
        if (!values.insert(std::string(name)).second) {
            this->errors.add(RuleErrorCode::Duplicate, this->line.origin.line,
                             field->valueColumn + static_cast<uint32_t>(at),
                             "'" + std::string(name) + "' is listed twice", std::string(name));
        }
        at = end + 1;
    }
}

void FieldReader::reportContradiction(std::string_view key, std::string cause, std::string example)
{
    const RuleField *field = this->find(key);
    this->errors.add(RuleErrorCode::Contradiction, this->line.origin.line,
                     field == nullptr ? this->line.kindColumn : field->keyColumn, std::move(cause),
                     std::move(example));
}

void FieldReader::reportUnknownKeys()
{
    for (const RuleField &field : this->line.fields) {
        if (std::find(this->knownKeys.begin(), this->knownKeys.end(), field.key) != this->knownKeys.end())
            continue;
        const std::string known = this->knownKeys.empty() ? "no keys" : join(this->knownKeys);
        this->errors.add(RuleErrorCode::UnknownKey, this->line.origin.line, field.keyColumn,
                         "a rule of kind '" + this->line.kind + "' has no key '" + field.key +
                                 "'; its keys: " + known,
                         this->knownKeys.empty() ? this->line.kind + " " + this->line.name
                                                 : std::string(this->knownKeys.front()) + "=...");
    }
}

} // namespace eelgrasslift
