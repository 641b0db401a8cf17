#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrasslift::standins {

/// Value of the first `name=<digits>` in a prompt, such as `words=2000`; nullopt if there is none.
std::optional<uint64_t> promptNumber(std::string_view prompt, std::string_view name);

/// Output length in tokens for a prompt: `words=<n>` in the prompt, otherwise 4 to 35, derived from its hash.
uint64_t outputLength(std::string_view prompt);

/// Length of a prompt in tokens: 1 + one per four bytes + `context=<n>`.
uint64_t promptLength(std::string_view prompt);

/// First eight hex digits of the prompt's SHA-256.
std::string promptDigest(std::string_view prompt);

/// Text of one token: `<index>-<prompt digest>-<generation> `. It lets a caller check that its answer is
/// complete, in order, made for its prompt and from one generation only.
std::string tokenText(std::string_view digest, std::string_view generation, uint64_t index);

} // namespace eelgrasslift::standins
