#include "libgateway/fleetchangelog.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace eelgrasslift {

namespace {

// Removals that are remembered; a receiver that has missed more gets the whole list.
constexpr size_t MaxRemovals = 512;

bool isReportedLeaving(const RunnerEntry &entry)
{
    return entry.report && entry.report->isLeaving;
}

bool hasStopTime(const RunnerEntry &entry)
{
    return entry.report && entry.report->timeUntilStop;
}

/// The fields whose change is passed on.
auto comparable(const RunnerEntry &entry)
{
    return std::tuple(std::string_view(entry.service), std::string_view(entry.address),
                      std::string_view(entry.domain), entry.slots, entry.isLeaving, entry.seemsLeaving,
                      entry.startedAtMs, entry.isUnresponsive, isReportedLeaving(entry), hasStopTime(entry));
}

RunnerEntry agedCopy(const RunnerEntry &entry, Duration age)
{
    RunnerEntry result = entry;
    result.warmUpRemaining = std::max(entry.warmUpRemaining - age, Duration::zero());
    if (hasStopTime(entry))
        result.report->timeUntilStop = *entry.report->timeUntilStop - age;
    return result;
}

} // namespace

std::vector<std::string> FleetChangeLog::update(std::span<const RunnerEntry> entries, TimePoint now)
{
    std::vector<std::string> changedIds;
    std::set<std::string_view> listed;
    const uint64_t nextVersion = this->currentVersion + 1;
    for (const RunnerEntry &entry : entries) {
        listed.insert(entry.id);
        const auto found = this->items.find(entry.id);
        if (found != this->items.end() && comparable(found->second.entry) == comparable(entry))
            continue;
        this->items.insert_or_assign(entry.id, Item{entry, now, nextVersion});
        changedIds.push_back(entry.id);
    }
    std::erase_if(this->items, [&](const auto &item) {
        if (listed.contains(item.first))
            return false;
        this->removals.push_back({item.first, nextVersion});
        changedIds.push_back(item.first);
        return true;
    });
    while (this->removals.size() > MaxRemovals) {
        this->oldestBase = this->removals.front().removedIn;
        this->removals.pop_front();
    }
    // An empty list is a version too, so that receivers can tell it from no list at all.
    if (!changedIds.empty() || this->currentVersion == 0)
        this->currentVersion = nextVersion;
    return changedIds;
}

FleetChanges FleetChangeLog::changesSince(uint64_t version, TimePoint now) const
{
    FleetChanges changes;
    changes.version = this->currentVersion;
    changes.isComplete = version == 0 || version < this->oldestBase || version > this->currentVersion;
    for (const auto &[id, item] : this->items) {
        if (changes.isComplete || item.changedIn > version)
            changes.entries.push_back(agedCopy(item.entry, now - item.readAt));
    }
    if (changes.isComplete)
        return changes;
    for (const Removal &removal : this->removals) {
        if (removal.removedIn > version && !this->items.contains(removal.id))
            changes.removedIds.push_back(removal.id);
    }
    return changes;
}

} // namespace eelgrasslift
