#pragma once

#include "libcore/core.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasslift {

/// Orders the copies of generations away from runners that are leaving: one at a time for each source.
///
/// Load pattern: a runner with several generations has a second left, and its link carries one copy after the
/// other. Started together, the short final copies wait behind the long first ones, and all pause or are
/// lost.
class TransferQueue
{
public:
    using Ticket = uint64_t;

    /// Queues a copy from a source; value is what is lost without it per byte on the link.
    Ticket enqueue(std::string_view source, double value, TimePoint now);

    /// Copies that begin now, in order of value.
    std::vector<Ticket> grant(TimePoint now);

    /// The copy ended, or nobody waits for it any more.
    void release(Ticket ticket);

    /// Whether the copy has begun and is not finished.
    bool isActive(Ticket ticket) const;
    size_t size() const { return this->entries.size(); }

private:
    struct Entry
    {
        std::string source;
        double value = 0;
        TimePoint since{};
        bool isActive = false;
    };

    std::map<Ticket, Entry> entries;
    Ticket lastTicket = 0;
};

} // namespace eelgrasslift
