#include "prefixcache.h"

#include "tokens.h"

#include <algorithm>
#include <array>

namespace eelgrasslift::standins {

namespace {

constexpr std::array<size_t, 4> PrefixLengths{64, 256, 1024, 4096};
constexpr size_t EventLimit = 10'000;

} // namespace

PrefixCache::PrefixCache(uint64_t capacity)
    : capacity(capacity)
{}

uint64_t PrefixCache::access(std::string_view prompt, uint64_t promptTokens)
{
    uint64_t cached = 0;
    uint64_t shorterPrefixTokens = 0;
    for (const size_t length : PrefixLengths) {
        if (prompt.size() < length)
            break;
        const uint64_t tokens = promptTokens * length / prompt.size();
        std::string prefix = promptDigest(prompt.substr(0, length));
        const auto it = this->index.find(prefix);
        if (it != this->index.end()) {
            cached = tokens;
            this->entries.splice(this->entries.begin(), this->entries, it->second);
        } else {
            this->entries.push_front({std::move(prefix), tokens - shorterPrefixTokens});
            this->index[this->entries.front().prefix] = this->entries.begin();
            this->usedTokens += this->entries.front().tokens;
            this->addEvent(true, this->entries.front());
        }
        shorterPrefixTokens = tokens;
    }
    this->evictUntilFits();
    return std::min(cached, promptTokens);
}

void PrefixCache::evictUntilFits()
{
    while (this->usedTokens > this->capacity && !this->entries.empty()) {
        this->addEvent(false, this->entries.back());
        this->usedTokens -= this->entries.back().tokens;
        this->index.erase(this->entries.back().prefix);
        this->entries.pop_back();
    }
}

void PrefixCache::addEvent(bool isStored, const Entry &entry)
{
    this->recentEvents.push_back({this->nextSequence++, isStored, entry.prefix, entry.tokens});
    if (this->recentEvents.size() > EventLimit)
        this->recentEvents.pop_front();
}

} // namespace eelgrasslift::standins
