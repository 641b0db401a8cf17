#pragma once

#include "libcore/core.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace eelgrasslift {

/// A generation that waits for a runner with room.
struct WaitingGeneration
{
    /// Of the client account, or of the route if the account has none; 0 is the most urgent.
    uint32_t priority = 0;
    /// Of the route; decides between generations of the same priority.
    uint32_t routePriority = 0;
    TimePoint arrived{};
};

/// Orders the generations of all gateways that wait for a runner with room: urgent ones first, then the one
/// that has waited longest.
///
/// Load pattern: runners leave and the memory of the others is full for seconds. Gateways that ask again on
/// their own take each freed place at random, and early ones miss their objective while new ones are served.
class PlacementQueue
{
public:
    using Ticket = uint64_t;

    Ticket add(const WaitingGeneration &generation);
    /// The generation was placed, or nobody waits for it any more.
    void remove(Ticket ticket) { this->entries.erase(ticket); }

    /// Tickets in the order in which room is given to them.
    std::vector<Ticket> order() const;

    bool isEmpty() const { return this->entries.empty(); }
    size_t size() const { return this->entries.size(); }

private:
    std::map<Ticket, WaitingGeneration> entries;
    Ticket lastTicket = 0;
};

} // namespace eelgrasslift
