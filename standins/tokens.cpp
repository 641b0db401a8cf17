#include "tokens.h"

#include "libcore/core.h"

#include <charconv>

namespace eelgrasslift::standins {

namespace {

constexpr uint64_t ShortestDefaultOutput = 4;
constexpr uint64_t DefaultOutputRange = 32;
constexpr uint64_t BytesPerPromptToken = 4;

} // namespace

std::optional<uint64_t> promptNumber(std::string_view prompt, std::string_view name)
{
    const std::string key = std::string(name) + "=";
    const size_t at = prompt.find(key);
    if (at == std::string_view::npos)
        return std::nullopt;
    uint64_t value = 0;
    const char *first = prompt.data() + at + key.size();
    const auto [end, error] = std::from_chars(first, prompt.data() + prompt.size(), value);
    if (error != std::errc{})
        return std::nullopt;
    return value;
}

uint64_t outputLength(std::string_view prompt)
{
    if (const auto words = promptNumber(prompt, "words"))
        return std::max<uint64_t>(*words, 1);
    return ShortestDefaultOutput + sha256(prompt)[0] % DefaultOutputRange;
}

uint64_t promptLength(std::string_view prompt)
{
    return 1 + prompt.size() / BytesPerPromptToken + promptNumber(prompt, "context").value_or(0);
}

std::string promptDigest(std::string_view prompt)
{
    const Sha256 digest = sha256(prompt);
    return toHex(std::span(digest).first(4));
}

std::string tokenText(std::string_view digest, std::string_view generation, uint64_t index)
{
    std::string text = std::to_string(index);
    text.append("-").append(digest).append("-").append(generation).append(" ");
    return text;
}

} // namespace eelgrasslift::standins
