#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace eelgrasslift {

/// A SHA-256 digest or HMAC-SHA-256 code in binary form.
using Sha256 = std::array<uint8_t, 32>;

Sha256 sha256(std::string_view data);
Sha256 hmacSha256(std::string_view key, std::string_view data);

/// Compares in constant time, so that the response time does not reveal how much of a forged signature is
/// right.
bool equalsConstantTime(std::string_view left, std::string_view right);

/// Returns two lower-case hex digits per byte.
std::string toHex(std::span<const uint8_t> bytes);

/// Decodes hex digits to bytes. Returns std::nullopt if the text has an odd length or a character outside
/// 0-9a-fA-F.
std::optional<std::string> fromHex(std::string_view text);

} // namespace eelgrasslift
