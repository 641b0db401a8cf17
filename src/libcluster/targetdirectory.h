#pragma once

#include "libcore/core.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace eelgrasslift {

/// One line of the platform's VM list.
struct ListedVm
{
    std::string id;
    std::string address;
    std::string domain;
    bool isLeaving = false;
};

struct VmListReceived
{
    uint64_t version = 0;
    std::vector<ListedVm> vms;
};

/// The target itself refused new work because it is leaving.
struct NewWorkRefused
{
    std::string target;
};

/// Another entry saw that the target is leaving while it knew this list version.
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

/// The target answered a probe and does not refuse new work.
struct ProbeSucceeded
{
    std::string target;
};

using DirectoryEvent =
        std::variant<VmListReceived, NewWorkRefused, LeavingReported, ConnectionFailed, ProbeSucceeded>;

enum class TargetAvailability {
    Live,
    /// No new work; streams in flight go on.
    Leaving,
    /// A connection failed; probed until it answers.
    Unreachable,
};

struct TargetEntry
{
    ListedVm vm;
    TargetAvailability state = TargetAvailability::Live;
    /// List version known when the evidence of leaving was seen. Only a newer list can reinstate the target.
    uint64_t leavingListVersion = 0;
};

struct TargetBecameLive
{
    std::string target;
};

struct TargetStopsNewWork
{
    std::string target;
    TargetAvailability state = TargetAvailability::Leaving;
};

using DirectoryAction = std::variant<TargetBecameLive, TargetStopsNewWork>;

/// Which targets may get new work, from the lagging VM list and from an entry's own evidence; the earliest
/// evidence wins.
///
/// A list that is older than the newest one seen is ignored. A target that is known to be leaving comes back
/// only when a list newer than the evidence shows it as live and it then answers a probe.
class TargetDirectory
{
public:
    std::vector<DirectoryAction> handle(const DirectoryEvent &event);

    const std::map<std::string, TargetEntry, std::less<>> &targets() const { return this->entries; }

    /// Targets that should be probed: unreachable, or leaving but shown as live by a newer list.
    std::vector<TargetEntry> targetsToProbe() const;

    /// Targets known to be leaving, with the list version of the evidence, for the other entries.
    std::vector<TargetEntry> leavingTargets() const;

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
