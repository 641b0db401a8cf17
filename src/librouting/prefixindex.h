#pragma once

#include "librouting/target.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

namespace eelgrasslift {

/// Index of the prompt prefixes in the targets' caches. Cache events arrive late and may be lost: after a gap
/// in a target's event stream, the prefixes recorded before the gap count half, and after a second gap they
/// are ignored.
///
/// Targets are small integers chosen by the caller.
class PrefixIndex
{
public:
    /// Limits the index to about 6 MB; the prefixes that were added first are evicted first.
    static constexpr size_t MaxPrefixes = 65536;

    /// A target that has a prefix in its cache.
    struct Holder
    {
        uint32_t target = 0;
        /// Gap count of the target when the prefix was last confirmed.
        uint32_t gapCount = 0;
    };

    /// Records or confirms that the target has cached these prefixes.
    void add(uint32_t target, std::span<const PrefixHash> hashes);

    /// Records that the target has evicted these prefixes.
    void remove(uint32_t target, std::span<const PrefixHash> hashes);

    /// Records that events of the target were lost.
    void recordGap(uint32_t target);

    /// Invalidates all prefixes of the target.
    void clear(uint32_t target);

    /// Expected fraction (0..1) of the prompt that the target has cached. `hashes` are those of the prompt's
    /// blocks in order.
    double expectedCachedFraction(uint32_t target, std::span<const PrefixHash> hashes) const;

    /// Targets that hold the longest known prefix of the prompt; may contain targets whose entries are
    /// invalid. The result is valid until the next change of the index.
    std::span<const Holder> holders(std::span<const PrefixHash> hashes) const;

    /// Number of known prefixes.
    size_t size() const { return this->index.size(); }

    /// Approximate memory use in bytes.
    size_t byteSize() const;

private:
    struct TargetState
    {
        uint32_t gapCount = 0;
        /// Holders with a lower gap count are invalid.
        uint32_t minGapCount = 0;
    };

    TargetState &stateOf(uint32_t target);
    /// Weight of a holder: 1, or 0.5 after one gap, or 0 if it is invalid.
    double confidence(const Holder &holder) const;

    std::unordered_map<PrefixHash, std::vector<Holder>> index;
    /// Keys of the index, oldest first.
    std::deque<PrefixHash> insertionOrder;
    std::vector<TargetState> targets;
};

} // namespace eelgrasslift
