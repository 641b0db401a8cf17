#pragma once

#include "libcore/core.h"
#include "libgateway/leavingrunners.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasslift {

/// How far the response of a run has come.
enum class RunStage {
    Unanswered, ///< Its head has not arrived: the runner queues the request or reads the prompt.
    Beginning,  ///< The head has arrived, and events for less than BeginningTime.
    Running     ///< Events have arrived for longer.
};

/// Time from the first event of a run after which its runner no longer begins to respond. A runner that ends
/// because it begins does so within 0.2 s.
constexpr Duration BeginningTime = std::chrono::seconds{1};

std::string_view toString(RunStage stage);

/// How a run was lost.
enum class RunLoss {
    BrokenOff,    ///< The runner closed or reset the connection, or sent a response that is malformed.
    Silent,       ///< Nothing arrived in time.
    EndedUnframed ///< A response with neither length nor chunks ended, which may be its end.
};

std::string_view toString(RunLoss loss);

/// A run whose runner broke off or fell silent before the end of its response.
struct LostRun
{
    /// Id of the request, for the log.
    std::string requestId;
    /// Identifies equal requests; see requestFingerprint().
    Sha256 fingerprint{};
    RunnerIncarnation runner;
    TimePoint lostAt{};
    RunStage stage = RunStage::Unanswered;
    /// Identify the parts of the prompt that other requests share, in their order; see
    /// promptPartFingerprint().
    std::vector<Sha256> promptParts{};
    RunLoss loss = RunLoss::BrokenOff;
};

/// Keeps lost runs until it is known whether their runner has ended. A lost connection alone does not tell:
/// it may have been reset, or the response may be malformed.
///
/// Load pattern: a runner ends with 24 generations in flight, and its address refuses connections until it
/// starts again some seconds later. On other days runners cut off some of their responses all day.
class LostRuns
{
public:
    void add(LostRun run);

    /// Removes and returns the runs that were lost at the runner no later than the time: the runner has
    /// ended.
    std::vector<LostRun> takeEnded(const RunnerIncarnation &runner, TimePoint lostUntil);
    /// Removes and returns the runs whose runner has ended according to the list of runners. A response
    /// without framing proves nothing then: the runner may have ended later.
    std::vector<LostRun> takeEnded(const std::function<bool(const RunnerIncarnation &)> &hasEnded);
    /// Removes and returns the runs at the runner whose response was complete, since the runner has not
    /// ended.
    std::vector<LostRun> takeCompleted(const RunnerIncarnation &runner);
    /// Removes runs whose runner has not ended in time: only their connections were lost.
    void dropExpired(TimePoint now);

    /// Number of different runners at which runs of equal requests were lost for certain.
    size_t runnerCount(const Sha256 &fingerprint) const;
    bool isEmpty() const { return this->runs.empty(); }
    size_t size() const { return this->runs.size(); }

    /// Time for which a run is kept. A crashed runner remains in the platform's list for some seconds and
    /// starts again within some seconds.
    static constexpr Duration MaxAge = std::chrono::seconds{10};
    /// Limits the memory: 0.2 MB. The oldest run is dropped first.
    static constexpr size_t MaxRuns = 1024;

private:
    std::vector<LostRun> takeIf(const std::function<bool(const LostRun &)> &condition);

    /// In the order of their loss.
    std::vector<LostRun> runs;
};

} // namespace eelgrasslift
