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
    const uint32_t gaps = this->stateOf(target).gaps;
    for (const PrefixHash hash : hashes) {
        const auto [entry, isNew] = this->index.try_emplace(hash);
        if (isNew)
            this->order.push_back(hash);
        std::vector<Holder> &holders = entry->second;
        const auto known = std::find_if(holders.begin(), holders.end(),
                                        [target](const Holder &holder) { return holder.target == target; });
        if (known == holders.end())
            holders.push_back({target, gaps});
        else
            known->gaps = gaps;
    }
    while (this->index.size() > MaxPrefixes) {
        this->index.erase(this->order.front());
        this->order.pop_front();
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
    ++state.gaps;
    state.validFrom = std::max(state.validFrom, state.gaps - 1);
}

void PrefixIndex::clear(uint32_t target)
{
    TargetState &state = this->stateOf(target);
    ++state.gaps;
    state.validFrom = state.gaps;
}

double PrefixIndex::confidence(const Holder &holder) const
{
    const TargetState &state = this->targets[holder.target];
    if (holder.gaps < state.validFrom)
        return 0;
    return holder.gaps == state.gaps ? 1.0 : 0.5;
}

double PrefixIndex::matchedShare(uint32_t target, std::span<const PrefixHash> hashes) const
{
    for (size_t count = hashes.size(); count > 0; --count) {
        const auto entry = this->index.find(hashes[count - 1]);
        if (entry == this->index.end())
            continue;
        for (const Holder &holder : entry->second) {
            if (holder.target == target && this->confidence(holder) > 0)
                return this->confidence(holder) * static_cast<double>(count) /
                       static_cast<double>(hashes.size());
        }
    }
    return 0;
}

std::span<const PrefixIndex::Holder> PrefixIndex::holders(std::span<const PrefixHash> hashes) const
{
    for (size_t count = hashes.size(); count > 0; --count) {
        const auto entry = this->index.find(hashes[count - 1]);
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
