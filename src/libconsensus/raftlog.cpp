#include "libconsensus/raftlog.h"

#include "libconsensus/codec.h"

#include <algorithm>

namespace eelgrasslift {

RaftLog::RaftLog(const RecoveredState &recovered)
    : memberships{MembershipAt{}}
{
    if (recovered.snapshot)
        this->setSnapshot(recovered.snapshot, 0, 0);
    for (const LogEntry &entry : recovered.entries)
        this->append(entry);
}

std::optional<Term> RaftLog::termAt(LogIndex index) const
{
    if (index == this->baseIndex)
        return this->baseTerm;
    if (index < this->baseIndex || index > this->lastIndex())
        return std::nullopt;
    return this->at(index).term;
}

std::vector<LogEntry> RaftLog::entriesFrom(LogIndex index, size_t maxBytes) const
{
    std::vector<LogEntry> result;
    size_t bytes = 0;
    for (LogIndex i = std::max(index, this->baseIndex + 1); i <= this->lastIndex(); ++i) {
        const LogEntry &entry = this->at(i);
        bytes += entry.payload.size();
        // The first entry is included regardless of its size, so that replication makes progress.
        if (bytes > maxBytes && !result.empty())
            break;
        result.push_back(entry);
    }
    return result;
}

LogIndex RaftLog::firstIndexOfTerm(LogIndex index) const
{
    while (index > this->baseIndex + 1 && this->termAt(index - 1) == this->termAt(index))
        --index;
    return index;
}

void RaftLog::append(LogEntry entry)
{
    if (entry.kind == EntryKind::Membership) {
        if (std::optional<Membership> members = decodeMembership(entry.payload))
            this->memberships.push_back(MembershipAt{entry.index, std::move(*members)});
    }
    this->payloadBytesSinceSnapshot += entry.payload.size();
    this->entries.push_back(std::move(entry));
}

void RaftLog::truncateFrom(LogIndex index)
{
    while (this->lastIndex() >= index && !this->entries.empty())
        this->entries.pop_back();
    while (this->memberships.size() > 1 && this->memberships.back().index >= index)
        this->memberships.pop_back();
    this->updatePayloadBytes();
}

SnapshotPointer RaftLog::makeSnapshot(LogIndex index, std::string data) const
{
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->index = index;
    snapshot->term = this->termAt(index).value_or(0);
    snapshot->data = std::move(data);
    for (const MembershipAt &membership : this->memberships) {
        if (membership.index <= index) {
            snapshot->membershipIndex = membership.index;
            snapshot->membership = membership.members;
        }
    }
    return snapshot;
}

void RaftLog::setSnapshot(SnapshotPointer snapshot, size_t retainedEntries, size_t retainedBytes)
{
    if (this->termAt(snapshot->index) == snapshot->term) {
        LogIndex base = snapshot->index;
        size_t bytes = 0;
        while (base > this->baseIndex && snapshot->index - base < retainedEntries) {
            bytes += this->at(base).payload.size();
            if (bytes > retainedBytes)
                break;
            --base;
        }
        this->compactTo(base);
    } else {
        this->entries.clear();
        this->baseIndex = snapshot->index;
        this->baseTerm = snapshot->term;
        this->memberships = {MembershipAt{snapshot->membershipIndex, snapshot->membership}};
    }
    this->latestSnapshot = std::move(snapshot);
    this->updatePayloadBytes();
}

void RaftLog::compactTo(LogIndex index)
{
    this->baseTerm = this->termAt(index).value_or(this->baseTerm);
    while (this->baseIndex < index) {
        this->entries.pop_front();
        ++this->baseIndex;
    }
    while (this->memberships.size() > 1 && this->memberships[1].index <= index)
        this->memberships.erase(this->memberships.begin());
}

void RaftLog::updatePayloadBytes()
{
    this->payloadBytesSinceSnapshot = 0;
    for (const LogEntry &entry : this->entries) {
        if (entry.index > this->snapshotIndex())
            this->payloadBytesSinceSnapshot += entry.payload.size();
    }
}

} // namespace eelgrasslift
