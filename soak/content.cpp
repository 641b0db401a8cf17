#include "content.h"

namespace eelgrasslift::soak {

namespace {

// One body in eight exceeds what fits into a single read.
constexpr uint64_t LargeBodyShare = 8;
constexpr uint64_t LargeBodyBytes = 100'000;
constexpr uint64_t SmallBodyBytes = 600;

} // namespace

uint64_t hashOf(std::string_view text)
{
    // FNV-1a, 64 bits.
    constexpr uint64_t Basis = 0xcbf29ce484222325;
    constexpr uint64_t Prime = 0x100000001b3;
    uint64_t hash = Basis;
    for (const char c : text)
        hash = (hash ^ static_cast<uint8_t>(c)) * Prime;
    return hash;
}

std::string sealOf(std::string_view requestId)
{
    return "seal-" + std::to_string(hashOf(requestId));
}

std::string bodyOf(std::string_view requestId)
{
    const uint64_t hash = hashOf(requestId);
    const uint64_t limit = hash % LargeBodyShare == 0 ? LargeBodyBytes : SmallBodyBytes;
    const size_t size = hash / LargeBodyShare % limit;
    std::string body;
    do {
        body.append(requestId).append(" ").append(std::to_string(body.size())).append("\n");
    } while (body.size() < size);
    return body;
}

std::string eventOf(std::string_view requestId, uint64_t number)
{
    const std::string text = std::to_string(number);
    return "id: " + text + "\ndata: " + std::string(requestId) + " " + text + "\n\n";
}

} // namespace eelgrasslift::soak
