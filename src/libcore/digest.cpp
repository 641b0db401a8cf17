#include "libcore/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

namespace eelgrasslift {

namespace {

const uint8_t *bytesOf(std::string_view text)
{
    return reinterpret_cast<const uint8_t *>(text.data());
}

int hexValue(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    if (digit >= 'a' && digit <= 'f')
        return digit - 'a' + 10;
    if (digit >= 'A' && digit <= 'F')
        return digit - 'A' + 10;
    return -1;
}

} // namespace

Sha256 sha256(std::string_view data)
{
    Sha256 result{};
    SHA256(bytesOf(data), data.size(), result.data());
    return result;
}

Sha256 hmacSha256(std::string_view key, std::string_view data)
{
    Sha256 result{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytesOf(data), data.size(), result.data(),
         &length);
    return result;
}

bool equalsConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string toHex(std::span<const uint8_t> bytes)
{
    static constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const uint8_t byte : bytes) {
        text.push_back(Digits[byte >> 4]);
        text.push_back(Digits[byte & 0x0f]);
    }
    return text;
}

std::optional<std::string> fromHex(std::string_view text)
{
    if (text.size() % 2 != 0)
        return std::nullopt;
    std::string bytes;
    bytes.reserve(text.size() / 2);
    for (size_t i = 0; i < text.size(); i += 2) {
        const int high = hexValue(text[i]);
        const int low = hexValue(text[i + 1]);
        if (high < 0 || low < 0)
            return std::nullopt;
        bytes.push_back(static_cast<char>(high * 16 + low));
    }
    return bytes;
}

} // namespace eelgrasslift
