#pragma once

#include "libgateway/fleetview.h"

#include <map>
#include <span>
#include <string>
#include <tuple>
#include <vector>

namespace eelgrasslift {

/// One start of a runner. A later start has another id, address or start time.
struct RunnerIncarnation
{
    std::string id;
    /// ip:port
    std::string address;
    /// As in RunnerEntry.
    int64_t startedAtMs = 0;

    static RunnerIncarnation of(const RunnerEntry &entry)
    {
        return {entry.id, entry.address, entry.startedAtMs};
    }
    bool operator==(const RunnerIncarnation &) const = default;
    bool operator<(const RunnerIncarnation &other) const
    {
        return std::tie(this->id, this->address, this->startedAtMs) <
               std::tie(other.id, other.address, other.startedAtMs);
    }
};

/// Which runner has sent an answer, as far as is known.
enum class AnswerSender {
    Expected, ///< The runner to which the request was addressed.
    Other     ///< An unknown one that has the address of the expected one.
};

/// Remembers which runners have stated in an answer that they are leaving. No list, report or health check
/// ends that, only another start of the runner: it has another incarnation.
///
/// Load pattern: a runner states it in each of its answers, up to some hundred a second, from two seconds
/// before its stop on. Lists and reports that show it as serving arrive for half a second longer, from
/// another coordinator for some seconds, and a list may lack the runner once. In a grown fleet eight runners
/// leave in three seconds.
class LeavingRunners
{
public:
    /// Records that a runner has stated that it is leaving. Returns false if that was known.
    bool add(const RunnerIncarnation &runner);
    /// Records that an answer to a request for the expected runner stated that its sender is leaving. If the
    /// sender is another runner, this concerns all listed runners with its address, since requests to any of
    /// them reach it. Returns the runners for which that is new.
    std::vector<RunnerIncarnation> addSender(const RunnerIncarnation &expected, AnswerSender sender,
                                             std::span<const RunnerEntry> listed);
    /// Whether the runner has stated that it is leaving.
    bool contains(const RunnerEntry &entry) const;
    /// Number of runners that are remembered.
    size_t size() const { return this->sequenceByRunner.size(); }

    /// Limits the memory: 0.3 MB. The runner that was recorded first is forgotten first, in the fleets above
    /// a quarter of an hour after its stop.
    static constexpr size_t MaxRunners = 2048;

private:
    /// Order in which the runners were recorded.
    std::map<RunnerIncarnation, uint64_t> sequenceByRunner;
    uint64_t nextSequence = 0;
};

} // namespace eelgrasslift
