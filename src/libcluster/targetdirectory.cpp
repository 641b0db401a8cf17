#include "libcluster/targetdirectory.h"

#include <iterator>

namespace eelgrasslift {

std::vector<DirectoryAction> TargetDirectory::handle(const DirectoryEvent &event)
{
    return match(
            event, [&](const VmListReceived &list) { return this->listReceived(list); },
            [&](const NewWorkRefused &refused) {
                return this->markLeaving(refused.target, this->newestVersion);
            },
            [&](const LeavingReported &reported) {
                return this->markLeaving(reported.target, reported.listVersion);
            },
            [&](const ConnectionFailed &failed) { return this->connectionFailed(failed.target); },
            [&](const ProbeSucceeded &probe) { return this->probeSucceeded(probe.target); });
}

std::vector<DirectoryAction> TargetDirectory::listReceived(const VmListReceived &list)
{
    if (list.version < this->newestVersion)
        return {};
    this->newestVersion = list.version;
    this->listed.clear();
    for (const ListedVm &vm : list.vms)
        this->listed.emplace(vm.id, vm);

    std::vector<DirectoryAction> actions;
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        if (this->listed.contains(entry->first)) {
            ++entry;
            continue;
        }
        if (entry->second.state != TargetAvailability::Leaving)
            actions.emplace_back(TargetStopsNewWork{entry->first, TargetAvailability::Leaving});
        entry = this->entries.erase(entry);
    }
    for (const auto &[id, vm] : this->listed)
        this->applyListed(vm, actions);
    return actions;
}

void TargetDirectory::applyListed(const ListedVm &vm, std::vector<DirectoryAction> &actions)
{
    const auto [entry, isNew] =
            this->entries.try_emplace(vm.id, TargetEntry{vm, TargetAvailability::Live, 0});
    TargetEntry &known = entry->second;
    if (isNew && !vm.isLeaving) {
        actions.emplace_back(TargetBecameLive{vm.id});
        return;
    }
    // A changed address means that the VM was replaced: it gets new work only after a probe.
    if (known.vm.address != vm.address && known.state == TargetAvailability::Live) {
        known.state = TargetAvailability::Unreachable;
        actions.emplace_back(TargetStopsNewWork{vm.id, TargetAvailability::Unreachable});
    }
    known.vm = vm;
    if (!vm.isLeaving)
        return;
    if (known.state != TargetAvailability::Leaving || isNew)
        actions.emplace_back(TargetStopsNewWork{vm.id, TargetAvailability::Leaving});
    known.state = TargetAvailability::Leaving;
    known.leavingListVersion = this->newestVersion;
}

std::vector<DirectoryAction> TargetDirectory::markLeaving(std::string_view target,
                                                          uint64_t leavingListVersion)
{
    const auto entry = this->entries.find(target);
    if (entry == this->entries.end())
        return {};
    TargetEntry &known = entry->second;
    if (known.state == TargetAvailability::Leaving) {
        known.leavingListVersion = std::max(known.leavingListVersion, leavingListVersion);
        return {};
    }
    // A newer list has shown the target as live since this observation.
    if (leavingListVersion < this->newestVersion && known.leavingListVersion >= leavingListVersion)
        return {};
    known.state = TargetAvailability::Leaving;
    known.leavingListVersion = leavingListVersion;
    return {TargetStopsNewWork{std::string(target), TargetAvailability::Leaving}};
}

std::vector<DirectoryAction> TargetDirectory::connectionFailed(std::string_view target)
{
    const auto entry = this->entries.find(target);
    if (entry == this->entries.end() || entry->second.state != TargetAvailability::Live)
        return {};
    entry->second.state = TargetAvailability::Unreachable;
    return {TargetStopsNewWork{std::string(target), TargetAvailability::Unreachable}};
}

std::vector<DirectoryAction> TargetDirectory::probeSucceeded(std::string_view target)
{
    const auto entry = this->entries.find(target);
    if (entry == this->entries.end() || entry->second.state == TargetAvailability::Live)
        return {};
    TargetEntry &known = entry->second;
    const bool isStillLeaving = known.state == TargetAvailability::Leaving &&
                                (known.vm.isLeaving || this->newestVersion <= known.leavingListVersion);
    if (isStillLeaving)
        return {};
    known.state = TargetAvailability::Live;
    return {TargetBecameLive{std::string(target)}};
}

std::vector<TargetEntry> TargetDirectory::targetsToProbe() const
{
    std::vector<TargetEntry> result;
    for (const auto &[id, entry] : this->entries) {
        const bool isListedLiveAgain = entry.state == TargetAvailability::Leaving && !entry.vm.isLeaving &&
                                       this->newestVersion > entry.leavingListVersion;
        if (entry.state == TargetAvailability::Unreachable || isListedLiveAgain)
            result.push_back(entry);
    }
    return result;
}

std::vector<TargetEntry> TargetDirectory::leavingTargets() const
{
    std::vector<TargetEntry> result;
    for (const auto &[id, entry] : this->entries) {
        if (entry.state == TargetAvailability::Leaving)
            result.push_back(entry);
    }
    return result;
}

} // namespace eelgrasslift
