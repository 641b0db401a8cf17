#pragma once

#include "libconsensus/logstorage.h"

#include <deque>
#include <optional>

namespace eelgrasslift {

/// In-memory copy of a member's log: the latest snapshot, the entries, and the memberships that they contain.
/// Some entries before the snapshot are retained, so that a member slightly behind needs no snapshot.
/// Used by RaftNode, which also emits the actions that store the same changes.
class RaftLog
{
public:
    explicit RaftLog(const RecoveredState &recovered);

    /// Index and term of the last entry, or of the snapshot if no entries follow it; 0 in an empty log.
    LogIndex lastIndex() const { return this->baseIndex + this->entries.size(); }
    Term lastTerm() const { return this->entries.empty() ? this->baseTerm : this->entries.back().term; }

    /// Index of the last entry that is no longer in memory; 0 if none was compacted.
    LogIndex lastCompactedIndex() const { return this->baseIndex; }

    /// Term of the entry at index, or std::nullopt if it was compacted or does not exist yet. The term at
    /// lastCompactedIndex() is known.
    std::optional<Term> termAt(LogIndex index) const;

    /// Entry at index, which must be in memory.
    const LogEntry &at(LogIndex index) const { return this->entries[index - this->baseIndex - 1]; }

    /// Copies the entries from index on, up to maxBytes of payload but at least one entry if there is any.
    std::vector<LogEntry> entriesFrom(LogIndex index, size_t maxBytes) const;

    /// First index in memory of the consecutive entries that have the same term as the entry at index.
    LogIndex firstIndexOfTerm(LogIndex index) const;

    /// Appends an entry, whose index must be lastIndex() + 1.
    void append(LogEntry entry);

    /// Removes the entry at index and all after it.
    void truncateFrom(LogIndex index);

    /// Latest membership in the log, committed or not, and the index of its entry.
    const Membership &membership() const { return this->memberships.back().members; }
    LogIndex membershipIndex() const { return this->memberships.back().index; }

    /// Latest snapshot, or nullptr.
    const SnapshotPointer &snapshot() const { return this->latestSnapshot; }

    /// Index of the last entry that the latest snapshot contains; 0 without a snapshot.
    LogIndex snapshotIndex() const { return this->latestSnapshot ? this->latestSnapshot->index : 0; }

    /// Bytes of payload in the entries after the latest snapshot.
    size_t bytesSinceSnapshot() const { return this->payloadBytesSinceSnapshot; }

    /// Builds a snapshot from the application's state at index and the membership in force there. The log
    /// itself is not changed.
    SnapshotPointer makeSnapshot(LogIndex index, std::string data) const;

    /// Makes the snapshot the latest one. If the log contains its last entry, all later entries are retained,
    /// and the entries up to there as far as both limits allow; otherwise all entries are removed.
    void setSnapshot(SnapshotPointer snapshot, size_t retainedEntries, size_t retainedBytes);

private:
    struct MembershipAt
    {
        LogIndex index = 0;
        Membership members;
    };

    void compactTo(LogIndex index);
    void updatePayloadBytes();

    LogIndex baseIndex = 0;
    Term baseTerm = 0;
    std::deque<LogEntry> entries;
    std::vector<MembershipAt> memberships;
    SnapshotPointer latestSnapshot;
    size_t payloadBytesSinceSnapshot = 0;
};

} // namespace eelgrasslift
