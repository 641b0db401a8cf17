#pragma once

#include "libconsensus/events.h"

#include <span>
#include <string>
#include <vector>

namespace eelgrasslift {

/// What a storage held when it was opened.
struct RecoveredState
{
    Identity identity;
    HardState hardState;
    SnapshotPointer snapshot; // nullptr if none
    std::vector<LogEntry> entries;
};

/// Durable state of one member. Nothing is durable before sync() returns.
class LogStorage
{
public:
    virtual ~LogStorage() = default;

    virtual void storeHardState(const HardState &state) = 0;

    /// An entry replaces stored entries with its index and all after it.
    virtual void storeEntries(std::span<const LogEntry> entries) = 0;

    /// Replaces the whole log.
    virtual void storeSnapshot(const Snapshot &snapshot, const HardState &state,
                               std::span<const LogEntry> following) = 0;
    virtual void storeClusterId(const ClusterId &clusterId) = 0;
    virtual void sync() = 0;
};

/// Executes the action if it concerns the storage; returns whether it did.
bool executeStorageAction(LogStorage &storage, const raft::Action &action);

} // namespace eelgrasslift
