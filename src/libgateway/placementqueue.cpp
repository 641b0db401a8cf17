#include "libgateway/placementqueue.h"

#include <algorithm>
#include <tuple>

namespace eelgrasslift {

PlacementQueue::Ticket PlacementQueue::add(const WaitingGeneration &generation)
{
    const Ticket ticket = ++this->lastTicket;
    this->entries.emplace(ticket, generation);
    return ticket;
}

std::vector<PlacementQueue::Ticket> PlacementQueue::order() const
{
    std::vector<Ticket> tickets;
    for (const auto &[ticket, generation] : this->entries)
        tickets.push_back(ticket);
    const auto rank = [&](Ticket ticket) {
        const WaitingGeneration &generation = this->entries.at(ticket);
        return std::tuple(generation.priority, generation.routePriority, generation.arrivedAt, ticket);
    };
    std::ranges::sort(tickets, {}, rank);
    return tickets;
}

} // namespace eelgrasslift
