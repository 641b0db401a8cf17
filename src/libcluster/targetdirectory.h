#pragma once

#include "libcore/core.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace eelgrasslift {

/// One VM of the platform's VM list.
struct ListedVm
{
    std::string id;
    std::string address;
    std::string domain;
    bool isLeaving = false;
};

/// A VM list was read from the platform.
struct VmListReceived
{
    uint64_t version = 0;
    std::vector<ListedVm> vms;
};

/// The target refused a request because it is leaving.
struct NewWorkRefused
{
    std::string target;
};

/// Another entry reported that the target is leaving; it knew this list version when it observed that.
struct LeavingReported
{
    std::string target;
    uint64_t listVersion = 0;
};

/// A connection to the target failed.
struct ConnectionFailed
{
    std::string target;
};

/// The target answered a probe and accepts new work.
struct ProbeSucceeded
{
    std::string target;
};

using DirectoryEvent =
        std::variant<VmListReceived, NewWorkRefused, LeavingReported, ConnectionFailed, ProbeSucceeded>;

/// Whether a target may get new work.
enum class TargetAvailability {
    Live,
    /// Gets no new work; streams in flight continue.
    Leaving,
    /// A connection failed: gets no new work until a probe succeeds.
    Unreachable,
};

/// A listed target and its availability.
struct TargetEntry
{
    ListedVm vm;
    TargetAvailability state = TargetAvailability::Live;
    /// List version that was known when the target was last observed to be leaving. Only a newer list can
    /// reinstate the target.
    uint64_t leavingListVersion = 0;
};

/// The target may get new work.
struct TargetBecameLive
{
    std::string target;
};

/// The target must get no new work; state says why: Leaving or Unreachable.
struct TargetStopsNewWork
{
    std::string target;
    TargetAvailability state = TargetAvailability::Leaving;
};

using DirectoryAction = std::variant<TargetBecameLive, TargetStopsNewWork>;

/// Decides which targets may get new work, from the VM list, which lags, and from refusals, failed
/// connections and reports of other entries. The first sign that a target is leaving is sufficient.
///
/// A list that is older than the newest one received is ignored. A leaving target is reinstated only when a
/// list newer than leavingListVersion shows it as live and it then answers a probe.
class TargetDirectory
{
public:
    /// Processes an event and returns the changes of availability. Events of unlisted targets are ignored.
    std::vector<DirectoryAction> handle(const DirectoryEvent &event);

    /// All listed targets by id.
    const std::map<std::string, TargetEntry, std::less<>> &targets() const { return this->entries; }

    /// Targets to probe: unreachable ones, and leaving ones that a newer list shows as live.
    std::vector<TargetEntry> targetsToProbe() const;

    /// Leaving targets with their leavingListVersion, to be reported to the other entries.
    std::vector<TargetEntry> leavingTargets() const;

    /// Version of the newest list received; 0 before the first.
    uint64_t listVersion() const { return this->newestVersion; }

private:
    std::vector<DirectoryAction> listReceived(const VmListReceived &list);
    std::vector<DirectoryAction> markLeaving(std::string_view target, uint64_t leavingListVersion);
    std::vector<DirectoryAction> connectionFailed(std::string_view target);
    std::vector<DirectoryAction> probeSucceeded(std::string_view target);
    void applyListed(const ListedVm &vm, std::vector<DirectoryAction> &actions);

    std::map<std::string, TargetEntry, std::less<>> entries;
    std::map<std::string, ListedVm, std::less<>> listed;
    uint64_t newestVersion = 0;
};

} // namespace eelgrasslift
