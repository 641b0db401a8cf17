#include "libgateway/transferqueue.h"

namespace eelgrasslift {

namespace {

// A copy that takes longer has a gateway that failed; the longest notice on the sheets is two seconds.
constexpr Duration LongestTransfer = std::chrono::milliseconds{1500};

} // namespace

TransferQueue::Ticket TransferQueue::enqueue(std::string_view source, double value, TimePoint now)
{
    const Ticket ticket = ++this->lastTicket;
    this->entries.emplace(ticket, Entry{std::string(source), value, now, false});
    return ticket;
}

std::vector<TransferQueue::Ticket> TransferQueue::grant(TimePoint now)
{
    std::erase_if(this->entries, [&](const auto &entry) {
        return entry.second.isActive && now - entry.second.since > LongestTransfer;
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
        else if (entry.value > this->entries.at(found->second).value)
            found->second = ticket;
    }
    std::vector<Ticket> granted;
    for (const auto &[source, ticket] : best) {
        if (isBusy[source])
            continue;
        Entry &entry = this->entries.at(ticket);
        entry.isActive = true;
        entry.since = now;
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
