#pragma once

#include "libconsensus/events.h"

#include <span>
#include <string>
#include <vector>

namespace eelgrasslift {

/// Stored state of a member, as read when its storage was opened.
struct RecoveredState
{
    Identity identity;
    HardState hardState;
    SnapshotPointer snapshot; // nullptr if none
    std::vector<LogEntry> entries;
};

/// Durable storage of one member's hard state, log, snapshot and cluster id. What the store functions write
/// is durable only after sync() has returned. The owner of a RaftNode calls it through
/// executeStorageAction().
class LogStorage
{
public:
    virtual ~LogStorage() = default;

    /// Stores the term and the vote.
    virtual void storeHardState(const HardState &state) = 0;

    /// Stores entries. An entry replaces the stored entries at its index and after it.
    virtual void storeEntries(std::span<const LogEntry> entries) = 0;

    /// Replaces the whole log by the snapshot, the hard state and the entries after the snapshot.
    virtual void storeSnapshot(const Snapshot &snapshot, const HardState &state,
                               std::span<const LogEntry> following) = 0;

    /// Stores the id of the cluster that the member has joined.
    virtual void storeClusterId(const ClusterId &clusterId) = 0;

    /// Makes everything stored so far durable.
    virtual void sync() = 0;
};

/// Executes the action if it is one of the storage actions, and returns whether it is.
bool executeStorageAction(LogStorage &storage, const raft::Action &action);

} // namespace eelgrasslift
