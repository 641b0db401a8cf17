#include "libgateway/transferqueue.h"

namespace eelgrasslift {

namespace {

// The gateway of a copy that takes longer has failed; the longest specified notice period is two seconds.
constexpr Duration MaxTransferTime = std::chrono::milliseconds{1500};

} // namespace

TransferQueue::Ticket TransferQueue::enqueue(std::string_view source, double valuePerToken, TimePoint now)
{
    const Ticket ticket = ++this->lastTicket;
    this->entries.emplace(ticket, Entry{std::string(source), valuePerToken, now, false});
    return ticket;
}

std::vector<TransferQueue::Ticket> TransferQueue::grant(TimePoint now)
{
    std::erase_if(this->entries, [&](const auto &entry) {
        return entry.second.isActive && now - entry.second.stateSince > MaxTransferTime;
    });
    std::map<std::string_view, Ticket> best;
    std::map<std::string_view, bool> isBusy;
    for (const auto &[ticket, entry] : this->entries) {
        if (entry.isActive) {
            isBusy[entry.source] = true;
            continue;
        }
        const auto found = best.find(entry.source);
        if (found == best.end())
            best.emplace(entry.source, ticket);
        else if (entry.valuePerToken > this->entries.at(found->second).valuePerToken)
            found->second = ticket;
    }
    std::vector<Ticket> granted;
    for (const auto &[source, ticket] : best) {
        if (isBusy[source])
            continue;
        Entry &entry = this->entries.at(ticket);
        entry.isActive = true;
        entry.stateSince = now;
        granted.push_back(ticket);
    }
    return granted;
}

void TransferQueue::release(Ticket ticket)
{
    this->entries.erase(ticket);
}

bool TransferQueue::isActive(Ticket ticket) const
{
    const auto found = this->entries.find(ticket);
    return found != this->entries.end() && found->second.isActive;
}

} // namespace eelgrasslift
