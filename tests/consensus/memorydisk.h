#pragma once

#include "libconsensus/consensus.h"

#include <functional>

namespace eelgrasslift::test {

/// Storage in memory that may lose unsynced writes when its host crashes.
class MemoryDisk : public LogStorage
{
public:
    void storeHardState(const HardState &state) override
    {
        this->unsynced.emplace_back([state](RecoveredState &disk) { disk.hardState = state; });
    }

    void storeEntries(std::span<const LogEntry> entries) override
    {
        for (const LogEntry &entry : entries)
            this->unsynced.emplace_back([entry](RecoveredState &disk) { storeEntry(disk, entry); });
    }

    void storeSnapshot(const Snapshot &snapshot, const HardState &state,
                       std::span<const LogEntry> following) override
    {
        const auto copy = std::make_shared<const Snapshot>(snapshot);
        const std::vector<LogEntry> entries{following.begin(), following.end()};
        this->unsynced.emplace_back([copy, state, entries](RecoveredState &disk) {
            disk = RecoveredState{disk.identity, state, copy, entries};
        });
    }

    void storeClusterId(const ClusterId &clusterId) override
    {
        this->unsynced.emplace_back(
                [clusterId](RecoveredState &disk) { disk.identity.clusterId = clusterId; });
    }

    void sync() override { this->applyFirst(this->unsynced.size()); }

    /// Simulates a crash, which retains a random prefix of the writes since the last sync.
    void crash(Random &random) { this->applyFirst(random.below(this->unsynced.size() + 1)); }

    /// Whether the entry is synced or contained in the snapshot.
    bool hasEntry(LogIndex index, Term term) const
    {
        const LogIndex base = this->durable.snapshot ? this->durable.snapshot->index : 0;
        if (index <= base)
            return true;
        return index - base <= this->durable.entries.size() &&
               this->durable.entries[index - base - 1].term == term;
    }

    /// Synced content.
    RecoveredState durable;

private:
    static void storeEntry(RecoveredState &disk, const LogEntry &entry)
    {
        const LogIndex base = disk.snapshot ? disk.snapshot->index : 0;
        if (entry.index <= base)
            return;
        disk.entries.resize(entry.index - base - 1);
        disk.entries.push_back(entry);
    }

    void applyFirst(size_t count)
    {
        for (size_t i = 0; i < count; ++i)
            this->unsynced[i](this->durable);
        this->unsynced.clear();
    }

    std::vector<std::function<void(RecoveredState &)>> unsynced;
};

} // namespace eelgrasslift::test
