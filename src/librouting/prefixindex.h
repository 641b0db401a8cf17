#pragma once

#include "librouting/target.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

namespace eelgrasslift {

/// Which targets hold which prompt prefixes. Knowledge is late and incomplete: after a gap in a target's
/// event stream, all that was known about it before counts half, and nothing after a second gap.
class PrefixIndex
{
public:
    /// Keeps the index within about 6 MB; the oldest prefixes are forgotten first.
    static constexpr size_t MaxPrefixes = 65536;

    struct Holder
    {
        uint32_t target = 0;
        /// Gap count of the target when the prefix was last confirmed.
        uint32_t gaps = 0;
    };

    void add(uint32_t target, std::span<const PrefixHash> hashes);
    void remove(uint32_t target, std::span<const PrefixHash> hashes);
    void recordGap(uint32_t target);
    void clear(uint32_t target);

    /// Expected share of the prompt (0..1) that the target has cached.
    double matchedShare(uint32_t target, std::span<const PrefixHash> hashes) const;

    /// Targets that hold the longest known prefix of the request.
    std::span<const Holder> holders(std::span<const PrefixHash> hashes) const;

    size_t size() const { return this->index.size(); }
    size_t byteSize() const;

private:
    struct TargetState
    {
        uint32_t gaps = 0;
        /// Holders with fewer gaps than this are void.
        uint32_t validFrom = 0;
    };

    TargetState &stateOf(uint32_t target);
    double confidence(const Holder &holder) const;

    std::unordered_map<PrefixHash, std::vector<Holder>> index;
    std::deque<PrefixHash> order;
    std::vector<TargetState> targets;
};

} // namespace eelgrasslift
