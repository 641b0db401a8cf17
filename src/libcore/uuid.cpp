#include "libcore/uuid.h"

#include "libcore/digest.h"

#include <array>

namespace eelgrasslift {

namespace {

constexpr size_t UuidTextLength = 36;
constexpr std::array<size_t, 4> HyphenPositions{8, 13, 18, 23};

std::optional<std::string> uuidBytes(std::string_view text)
{
    if (text.size() != UuidTextLength)
        return std::nullopt;
    std::string digits;
    size_t nextHyphen = 0;
    for (size_t i = 0; i < text.size(); ++i) {
        if (nextHyphen < HyphenPositions.size() && i == HyphenPositions[nextHyphen]) {
            if (text[i] != '-')
                return std::nullopt;
            ++nextHyphen;
            continue;
        }
        digits.push_back(text[i]);
    }
    return fromHex(digits);
}

} // namespace

std::optional<WallTime> uuidV7Time(std::string_view text)
{
    const std::optional<std::string> bytes = uuidBytes(text);
    if (!bytes || (static_cast<uint8_t>((*bytes)[6]) >> 4) != 7)
        return std::nullopt;
    int64_t milliseconds = 0;
    for (size_t i = 0; i < 6; ++i)
        milliseconds = milliseconds * 256 + static_cast<uint8_t>((*bytes)[i]);
    return WallTime{std::chrono::milliseconds{milliseconds}};
}

std::string makeUuidV7(WallTime time, Random &random)
{
    std::array<uint8_t, 16> bytes{};
    const auto milliseconds = static_cast<uint64_t>(time.time_since_epoch().count());
    for (size_t i = 0; i < 6; ++i)
        bytes[i] = static_cast<uint8_t>(milliseconds >> (40 - 8 * i));
    const uint64_t high = random.next();
    const uint64_t low = random.next();
    bytes[6] = static_cast<uint8_t>(0x70 | (high & 0x0f));
    bytes[7] = static_cast<uint8_t>(high >> 8);
    for (size_t i = 0; i < 8; ++i)
        bytes[8 + i] = static_cast<uint8_t>(low >> (8 * i));
    bytes[8] = static_cast<uint8_t>(0x80 | (bytes[8] & 0x3f));
    std::string text = toHex(bytes);
    for (const size_t position : HyphenPositions)
        text.insert(position, 1, '-');
    return text;
}

} // namespace eelgrasslift
