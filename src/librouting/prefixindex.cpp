#include "librouting/prefixindex.h"

#include <algorithm>

namespace eelgrasslift {

PrefixIndex::TargetState &PrefixIndex::stateOf(uint32_t target)
{
    if (target >= this->targets.size())
        this->targets.resize(target + 1);
    return this->targets[target];
}

void PrefixIndex::add(uint32_t target, std::span<const PrefixHash> hashes)
{
    const uint32_t gapCount = this->stateOf(target).gapCount;
    for (const PrefixHash hash : hashes) {
        const auto [entry, isNew] = this->index.try_emplace(hash);
        if (isNew)
            this->insertionOrder.push_back(hash);
        std::vector<Holder> &holders = entry->second;
        const auto existing = std::find_if(holders.begin(), holders.end(), [target](const Holder &holder) {
            return holder.target == target;
        });
        if (existing == holders.end())
            holders.push_back({target, gapCount});
        else
            existing->gapCount = gapCount;
    }
    while (this->index.size() > MaxPrefixes) {
        this->index.erase(this->insertionOrder.front());
        this->insertionOrder.pop_front();
    }
}

void PrefixIndex::remove(uint32_t target, std::span<const PrefixHash> hashes)
{
    for (const PrefixHash hash : hashes) {
        const auto entry = this->index.find(hash);
        if (entry != this->index.end())
            std::erase_if(entry->second, [target](const Holder &holder) { return holder.target == target; });
    }
}

void PrefixIndex::recordGap(uint32_t target)
{
    TargetState &state = this->stateOf(target);
    ++state.gapCount;
    state.minGapCount = std::max(state.minGapCount, state.gapCount - 1);
}

void PrefixIndex::clear(uint32_t target)
{
    TargetState &state = this->stateOf(target);
    ++state.gapCount;
    state.minGapCount = state.gapCount;
}

double PrefixIndex::confidence(const Holder &holder) const
{
    const TargetState &state = this->targets[holder.target];
    if (holder.gapCount < state.minGapCount)
        return 0;
    return holder.gapCount == state.gapCount ? 1.0 : 0.5;
}

double PrefixIndex::expectedCachedFraction(uint32_t target, std::span<const PrefixHash> hashes) const
{
    for (size_t length = hashes.size(); length > 0; --length) {
        const auto entry = this->index.find(hashes[length - 1]);
        if (entry == this->index.end())
            continue;
        for (const Holder &holder : entry->second) {
            if (holder.target == target && this->confidence(holder) > 0)
                return this->confidence(holder) * static_cast<double>(length) /
                       static_cast<double>(hashes.size());
        }
    }
    return 0;
}

std::span<const PrefixIndex::Holder> PrefixIndex::holders(std::span<const PrefixHash> hashes) const
{
    for (size_t length = hashes.size(); length > 0; --length) {
        const auto entry = this->index.find(hashes[length - 1]);
        if (entry != this->index.end() && !entry->second.empty())
            return entry->second;
    }
    return {};
}

size_t PrefixIndex::byteSize() const
{
    constexpr size_t NodeBytes = 4 * sizeof(void *);
    size_t bytes = sizeof(*this) + this->targets.size() * sizeof(TargetState);
    for (const auto &[hash, holders] : this->index)
        bytes += NodeBytes + 2 * sizeof(hash) + sizeof(std::vector<Holder>) + holders.size() * sizeof(Holder);
    return bytes;
}

} // namespace eelgrasslift
