#pragma once

#include "libconsensus/logstorage.h"

#include <deque>
#include <optional>

namespace eelgrasslift {

/// The member's log in memory: latest snapshot, entries, and the memberships that they contain.
/// Some entries before the snapshot stay in memory, so that a member slightly behind needs no snapshot.
class RaftLog
{
public:
    explicit RaftLog(const RecoveredState &recovered);

    LogIndex lastIndex() const { return this->baseIndex + this->entries.size(); }
    Term lastTerm() const { return this->entries.empty() ? this->baseTerm : this->entries.back().term; }

    /// Index before the first entry in memory.
    LogIndex firstKnownIndex() const { return this->baseIndex; }

    /// Nothing if the entry is compacted away or not there yet.
    std::optional<Term> termAt(LogIndex index) const;
    const LogEntry &at(LogIndex index) const { return this->entries[index - this->baseIndex - 1]; }
    std::vector<LogEntry> entriesFrom(LogIndex index, size_t maxBytes) const;

    /// First index of the run of entries with the same term that contains index.
    LogIndex firstIndexOfTerm(LogIndex index) const;

    void append(LogEntry entry);
    void truncateFrom(LogIndex index);

    const Membership &membership() const { return this->memberships.back().members; }
    LogIndex membershipIndex() const { return this->memberships.back().index; }

    const SnapshotPointer &snapshot() const { return this->latestSnapshot; }
    LogIndex snapshotIndex() const { return this->latestSnapshot ? this->latestSnapshot->index : 0; }
    size_t bytesSinceSnapshot() const { return this->payloadBytes; }

    /// A snapshot of the own state at index, with the membership that was in force there.
    SnapshotPointer makeSnapshot(LogIndex index, std::string data) const;

    /// Takes over the snapshot; drops all entries unless the log contains the snapshot's last entry.
    void setSnapshot(SnapshotPointer snapshot, size_t retainedEntries);

private:
    struct MembershipAt
    {
        LogIndex index = 0;
        Membership members;
    };

    void compactTo(LogIndex index);
    void countPayload();

    LogIndex baseIndex = 0;
    Term baseTerm = 0;
    std::deque<LogEntry> entries;
    std::vector<MembershipAt> memberships;
    SnapshotPointer latestSnapshot;
    size_t payloadBytes = 0;
};

} // namespace eelgrasslift
