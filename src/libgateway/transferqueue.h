#pragma once

#include "libcore/core.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasslift {

/// Queue of memory copies of generations off leaving runners. Permits one copy at a time from each source
/// runner, in order of value per token. Used by the leading coordinator.
///
/// Load pattern: a runner with several generations stops in a second, and its link sends one copy after the
/// other. If all start together, the short final copies wait behind the long first ones, and all generations
/// pause or are lost.
class TransferQueue
{
public:
    using Ticket = uint64_t;

    /// Queues a copy from a source runner and returns its ticket. valuePerToken is what is lost without the
    /// copy, divided by the number of tokens whose memory is sent.
    Ticket enqueue(std::string_view source, double valuePerToken, TimePoint now);

    /// Starts the queued copy with the highest value for each source that has no active one, and returns the
    /// tickets. Removes active copies that have exceeded the maximum transfer time first.
    std::vector<Ticket> grant(TimePoint now);

    /// Removes a copy that has ended or that its gateway no longer waits for; ignores unknown tickets.
    void release(Ticket ticket);

    /// Whether the copy was granted and is neither released nor expired.
    bool isActive(Ticket ticket) const;
    /// Number of queued and active copies.
    size_t size() const { return this->entries.size(); }

private:
    struct Entry
    {
        std::string source;
        double valuePerToken = 0;
        TimePoint stateSince{};
        bool isActive = false;
    };

    std::map<Ticket, Entry> entries;
    Ticket lastTicket = 0;
};

} // namespace eelgrasslift
