#pragma once

#include "libcore/core.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace eelgrasslift {

/// A generation that waits for a runner with enough free memory.
struct WaitingGeneration
{
    /// Priority of the client account, or of the route if the account has none; 0 is the most urgent.
    uint32_t priority = 0;
    /// Priority of the route; decides between generations of the same priority.
    uint32_t routePriority = 0;
    /// Arrival of the request at its gateway.
    TimePoint arrivedAt{};
};

/// Queue of the generations of all gateways that wait for a runner with enough free memory, in order of
/// priority, then of arrival.
///
/// Load pattern: runners leave, and the memory of the others is full for seconds. If gateways retried on
/// their own, freed memory would go to a random one, and early requests would miss their objective while
/// later ones are served.
class PlacementQueue
{
public:
    using Ticket = uint64_t;

    /// Adds a generation and returns its ticket.
    Ticket add(const WaitingGeneration &generation);
    /// Removes a generation that was placed or whose gateway has stopped waiting; ignores unknown tickets.
    void remove(Ticket ticket) { this->entries.erase(ticket); }

    /// Returns all tickets in the order in which their generations are placed.
    std::vector<Ticket> order() const;

    bool isEmpty() const { return this->entries.empty(); }
    size_t size() const { return this->entries.size(); }

private:
    std::map<Ticket, WaitingGeneration> entries;
    Ticket lastTicket = 0;
};

} // namespace eelgrasslift
