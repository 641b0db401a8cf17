#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace eelgrasslift {

using Sha256 = std::array<uint8_t, 32>;

Sha256 sha256(std::string_view data);
Sha256 hmacSha256(std::string_view key, std::string_view data);

/// Compares in constant time, so that a forged signature cannot be guessed byte by byte.
bool equalsConstantTime(std::string_view left, std::string_view right);

std::string toHex(std::span<const uint8_t> bytes);

/// Returns nothing if the text has an odd length or a character outside 0-9a-fA-F.
std::optional<std::string> fromHex(std::string_view text);

} // namespace eelgrasslift
