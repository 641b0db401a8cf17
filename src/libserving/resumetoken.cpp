#include "libserving/resumetoken.h"

#include "libcore/digest.h"

#include <array>
#include <charconv>
#include <optional>
#include <vector>

namespace eelgrasslift {

namespace {

/// Maximum length of a token that is parsed: tokens arrive in a header from untrusted callers.
constexpr size_t MaxTokenLength = 2048;
constexpr size_t FieldCount = 5;

std::string payload(const ResumeToken &token)
{
    std::string text;
    for (const std::string &field :
         {token.target, token.generation, std::to_string(token.nextIndex), token.account})
        text += toHex({reinterpret_cast<const uint8_t *>(field.data()), field.size()}) + '.';
    return text;
}

std::string signature(std::string_view signedPart, std::string_view signingKey)
{
    return toHex(hmacSha256(signingKey, signedPart));
}

std::optional<std::array<std::string_view, FieldCount>> split(std::string_view text)
{
    std::array<std::string_view, FieldCount> fields;
    for (size_t i = 0; i + 1 < FieldCount; ++i) {
        const size_t dot = text.find('.');
        if (dot == std::string_view::npos)
            return std::nullopt;
        fields[i] = text.substr(0, dot);
        text.remove_prefix(dot + 1);
    }
    fields.back() = text;
    return fields;
}

std::optional<uint64_t> parseNumber(std::string_view text)
{
    uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace

/// The fields are encoded in hexadecimal, so that the names in them cannot contain the separator.
std::string ResumeToken::encode(std::string_view signingKey) const
{
    const std::string text = payload(*this);
    return text + signature(text, signingKey);
}

Result<ResumeToken, ResumeTokenError> ResumeToken::decode(std::string_view text, std::string_view account,
                                                          std::string_view signingKey)
{
    if (text.size() > MaxTokenLength)
        return ResumeTokenError::Malformed;
    const auto fields = split(text);
    if (!fields)
        return ResumeTokenError::Malformed;
    const std::string_view signedPart = text.substr(0, text.size() - fields->back().size());
    if (!equalsConstantTime(fields->back(), signature(signedPart, signingKey)))
        return ResumeTokenError::BadSignature;
    const auto target = fromHex((*fields)[0]);
    const auto generation = fromHex((*fields)[1]);
    const auto index = fromHex((*fields)[2]);
    const auto owner = fromHex((*fields)[3]);
    if (!target || !generation || !index || !owner)
        return ResumeTokenError::Malformed;
    const std::optional<uint64_t> nextIndex = parseNumber(*index);
    if (!nextIndex)
        return ResumeTokenError::Malformed;
    if (*owner != account)
        return ResumeTokenError::OtherAccount;
    return ResumeToken{*target, *generation, *nextIndex, *owner};
}

} // namespace eelgrasslift
