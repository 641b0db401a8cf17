#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrasslift::standins {

/// Value of `name=<digits>` in a prompt, such as `words=2000`.
std::optional<uint64_t> promptNumber(std::string_view prompt, std::string_view name);

/// Output length of a prompt in tokens: `words=<n>`, otherwise 4 to 35, derived from the prompt.
uint64_t outputLength(std::string_view prompt);

/// Length of the prompt itself in tokens: one per four bytes, at least one, plus `context=<n>`.
uint64_t promptLength(std::string_view prompt);

/// First eight hex digits of the prompt's SHA-256.
std::string promptDigest(std::string_view prompt);

/// Text of one token: `<index>-<prompt digest>-<generation> `. A caller that knows its prompt can check
/// completeness, order and that all tokens come from one generation.
std::string tokenText(std::string_view digest, std::string_view generation, uint64_t index);

} // namespace eelgrasslift::standins
