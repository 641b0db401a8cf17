#pragma once

#include "libgateway/fleetview.h"

#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasslift {

/// What a receiver needs to bring its copy of the list of runners up to date.
struct FleetChanges
{
    /// Version of the list after the changes.
    uint64_t version = 0;
    /// The entries are the whole list; all others are to be dropped.
    bool isComplete = false;
    /// Runners that were added or changed.
    std::vector<RunnerEntry> entries;
    /// Ids of runners that are no longer listed; empty if isComplete.
    std::vector<std::string> removedIds;

    bool isEmpty() const { return !this->isComplete && this->entries.empty() && this->removedIds.empty(); }
};

/// Versioned list of runners that returns the changes since an earlier version.
///
/// Load pattern: 295 gateways ask three times a second for a list of 127 runners that is read anew each 400
/// ms, and of which a few change between two reads. The whole list takes 30 KB.
class FleetChangeLog
{
public:
    /// Replaces the list and returns the ids of runners that were added, removed or changed. Numbers of a
    /// report that change all the time are no change: queue, memory, and the remaining times once they are
    /// known.
    std::vector<std::string> update(std::span<const RunnerEntry> entries, TimePoint now);

    /// Returns the changes since a version that update() has made; the whole list for version 0, for an
    /// unknown version and for one that is too old. Remaining times are relative to now.
    FleetChanges changesSince(uint64_t version, TimePoint now) const;

    /// Version of the list; 0 before the first update.
    uint64_t version() const { return this->currentVersion; }

private:
    struct Item
    {
        RunnerEntry entry;
        /// When the remaining times of the entry were read.
        TimePoint readAt{};
        uint64_t changedIn = 0;
    };

    struct Removal
    {
        std::string id;
        uint64_t removedIn = 0;
    };

    uint64_t currentVersion = 0;
    /// Removals up to this version are no longer known.
    uint64_t oldestBase = 0;
    std::map<std::string, Item, std::less<>> items;
    std::deque<Removal> removals;
};

} // namespace eelgrasslift
