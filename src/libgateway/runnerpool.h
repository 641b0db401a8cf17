#pragma once

#include "libgateway/evacuations.h"
#include "libgateway/fleetchangelog.h"
#include "libgateway/fleetload.h"
#include "libgateway/leavingrunners.h"
#include "libgateway/migrationplan.h"
#include "libgateway/outputlengthdistribution.h"
#include "libgateway/runnerpauses.h"
#include "libgateway/servingconfig.h"

#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace eelgrasslift {

/// Returns the value of a generation, relative to others: an output token counts ten times as much as a
/// prompt token, as specified by the users.
inline double generationValue(const GenerationSize &size)
{
    constexpr double OutputWeight = 10;
    return size.promptTokens + OutputWeight * size.outputTokens;
}

/// What a request needs from a runner, and how runners are compared for it.
struct RunnerCriteria
{
    std::string_view service;
    /// Preferred failure domain: that of the gateway, or of the runner to copy from.
    std::string_view domain;
    /// Set for generations.
    std::optional<GenerationSize> size;
    /// Ids of runners that must not be chosen; nullptr: none.
    const std::set<std::string> *excluded = nullptr;
    /// Maximum share of a runner's KV cache that is expected to be in use after the generation was added.
    double memoryLimit = 1.0;
    /// Cost in seconds of a runner in another failure domain; the default is one network round trip.
    double crossDomainSeconds = 0.003;
    /// The leading coordinator chooses for all gateways and takes the runner with the lowest cost. A gateway
    /// that chooses for itself must not, since other gateways see the same loads.
    bool isFromCoordinator = false;
    /// Number of tokens that the generation has produced at other runners.
    double generatedTokens = 0;
};

/// Result of RunnerPool::choose() if there is no runner for the request.
struct NoRunner
{
    enum class Reason {
        NoneAvailable, ///< The service has no runner that may be used.
        AllFull,       ///< The memory limit excludes all runners that may be used; a later try can succeed.
        AllPaused      ///< All runners that may be used have asked for a pause; see nextSend.
    };
    Reason reason = Reason::NoneAvailable;
    /// When the first of the paused runners may be used; set for AllPaused only.
    TimePoint nextSend{};
};

/// How a send counts in the failure statistics of its runner. The caller of RunnerPool::recordSend() decides.
enum class SendHealth { Good, Failed };

/// The runners that a gateway or the leading coordinator may use, with their load and failure statistics, and
/// the choice of a runner for a request.
///
/// Load pattern: reports are half a second old, and every gateway sees the same idle runner. A gateway's own
/// load counts at once and that of the other gateways with the age of one exchange with the coordinator; to
/// differ from the others, the gateway takes the better of two random choices.
class RunnerPool
{
public:
    /// A runner with its load and failure statistics.
    struct Runner
    {
        RunnerEntry entry;
        /// The runner is slow until then.
        TimePoint warmUpUntil{};
        /// When a leaving runner stops at the latest, if it reports that.
        std::optional<TimePoint> stopsAt;
        /// Load of this gateway; 0 at the coordinator.
        RunnerLoad ownLoad;
        /// Load of the other gateways; of all gateways at the coordinator.
        RunnerLoad otherLoad;
        /// When the prefills of the generations placed here are expected to end; set by the coordinator only.
        std::optional<TimePoint> prefillUntil;
        /// Exponential moving average of the share of sends that failed.
        double failureRate = 0;
        /// Exponential moving average of the duration of Good sends, in seconds; 0 before the first. Used for
        /// plain services only.
        double meanCallSeconds = 0;
        /// Whether a response of the runner has named its request.
        bool namesRequests = false;
        /// End of the ejection for repeated failures; until then the runner gets requests only if there is no
        /// other.
        std::optional<TimePoint> ejectedUntil;
        uint32_t consecutiveFailures = 0;

        /// Returns when a leaving runner stops; at the earliest after an assumed notice period if it reports
        /// no time.
        StopForecast stopForecast(TimePoint now) const;
        /// Adds the prefill of a generation that was placed here; it runs after the earlier ones.
        void addPrefill(double tokens, TimePoint now);
    };
    using RunnerPointer = std::shared_ptr<Runner>;

    /// Replaces the list of runners. Runners with the same id, address and start time as before keep their
    /// state. Of these, a leaving runner remains so, also if a later list is out of date. One that has stated
    /// in an answer that it is leaving remains so also after a list without it.
    void setFleet(std::span<const RunnerEntry> entries, TimePoint now);
    /// Applies changes to the list of runners; the rules of setFleet() hold.
    void applyChanges(const FleetChanges &changes, TimePoint now);
    /// Sets the load of the other gateways by runner id; runners without an entry have none.
    void setOtherLoad(const RunnerLoads &loads);
    /// Sets the memory utilization by service that the coordinator has computed from the load of all
    /// runners; memoryUtilization() returns it.
    void setMemoryUtilization(std::map<std::string, double, std::less<>> utilization)
    {
        this->knownUtilization = std::move(utilization);
    }

    /// Marks the sender of an answer as leaving, which has stated so in it; see LeavingRunners::addSender().
    /// Returns the runners for which that is new. It need not be in the list.
    std::vector<RunnerIncarnation> recordLeavingAnswer(const RunnerEntry &expected, AnswerSender sender);
    /// The runners that have stated in an answer that they are leaving. A FleetReader adds to them; call
    /// markStatedLeaving() or setFleet() after that.
    LeavingRunners &leavingRunners() { return this->statedLeaving; }
    /// Marks the listed ones of leavingRunners() as leaving.
    void markStatedLeaving();
    /// Whether the runner has stated in an answer that it is leaving.
    bool hasStatedLeaving(const RunnerEntry &entry) const { return this->statedLeaving.contains(entry); }
    /// The runners in the list that have stated in an answer that they are leaving.
    std::vector<RunnerIncarnation> listedLeaving() const;
    /// Whether runners of the service are known and all of them are leaving or evacuated.
    bool areAllLeaving(std::string_view service) const;

    /// Excludes the runners of evacuated failure domains from now on, unless the state is older than the
    /// known one. Runs that have begun there go on. Returns whether anything changed.
    bool setEvacuations(const Evacuations &state) { return this->evacuations.update(state); }
    /// Whether the runner's failure domain is evacuated, so that it gets no new requests.
    bool isEvacuated(const Runner &runner) const { return this->evacuations.contains(runner.entry.domain); }

    /// Records that a runner has asked for a pause in its answer to one of gatewayCount gateways.
    RunnerPauses::Change recordPause(const Runner &runner, Duration pause, uint32_t gatewayCount,
                                     TimePoint now, Random &random);
    /// Whether the runner pauses, so that nothing may be sent to it.
    bool isPaused(const Runner &runner, TimePoint now) const
    {
        return this->pauses.isPaused(runner.entry, now);
    }
    /// See RunnerPauses.
    std::optional<TimePoint> pausedUntil(const Runner &runner, TimePoint now) const
    {
        return this->pauses.pausedUntil(runner.entry, now);
    }
    /// See RunnerPauses.
    std::optional<PauseCalls> reserveCalls(const Runner &runner, TimePoint now)
    {
        return this->pauses.reserveCalls(runner.entry, now);
    }
    /// See RunnerPauses.
    bool useCall(const Runner &runner, PauseCalls &reserved, TimePoint now)
    {
        return this->pauses.useCall(runner.entry, reserved, now);
    }
    /// Whether a run may be moved to the runner: it neither leaves nor pauses, and is not evacuated.
    bool acceptsMoves(const Runner &runner, TimePoint now) const
    {
        return !runner.entry.isExpectedToLeave() && !this->isEvacuated(runner) &&
               !this->isPaused(runner, now);
    }
    /// Returns when the next request may be sent to a runner that pauses, or that has paused and gets its
    /// requests back one by one; nothing if at once.
    std::optional<TimePoint> nextSend(const Runner &runner, TimePoint now) const;
    /// Counts a request to a runner that has paused; called before each send.
    void countSendAfterPause(const Runner &runner, TimePoint now)
    {
        this->pauses.recordSend(runner.entry, now);
    }
    /// Returns when the first runner that may be used gets requests again, if all of them pause; nothing if
    /// one of them can be used, or there is none.
    std::optional<TimePoint> nextSendToPaused(const RunnerCriteria &criteria, TimePoint now) const;
    /// Returns the ids of the service's runners that get no request now because of a pause.
    std::vector<std::string> pausedIds(std::string_view service, TimePoint now) const;
    /// Removes the pauses of runners that were replaced by another incarnation and returns them.
    std::vector<RunnerPauses::Cut> removeCutPauses(TimePoint now);

    /// Chooses a runner for a request. engine describes the runners of a model service; nullptr for plain
    /// services. Ejected runners are chosen only if there is no other, and not while the others are full. The
    /// same holds for unresponsive ones if a gateway chooses for itself; the coordinator adds to their cost.
    /// Runners that have asked for a pause are not chosen.
    std::variant<RunnerPointer, NoRunner> choose(const RunnerCriteria &criteria, const EngineTraits *engine,
                                                 TimePoint now, Random &random) const;
    /// Returns the runner with the id; nullptr if it is not in the list.
    RunnerPointer find(std::string_view id) const;
    /// Returns the share of the KV cache of all usable runners of a service that generations and backups are
    /// expected to occupy, which may exceed 1; 1 if the service has no usable runner.
    double memoryUtilization(std::string_view service, const EngineTraits &engine) const;

    /// Updates the failure statistics of a runner after a send to it that took the duration.
    static void recordSend(Runner &runner, SendHealth health, Duration duration, TimePoint now);

    /// All runners of the list by id.
    const std::map<std::string, RunnerPointer, std::less<>> &runners() const { return this->runnersById; }
    /// Returns the current list, including runners that are marked as leaving.
    std::vector<RunnerEntry> entries() const;

private:
    struct Candidate
    {
        RunnerPointer runner;
        double cost = 0;
    };

    /// Returns the expected cost in seconds of using the runner, or infinity if the memory limit excludes it.
    /// requiredMemory is the memory of the request's generation.
    static double costOf(const Runner &runner, const RunnerCriteria &criteria,
                         const MemoryForecast &requiredMemory, const EngineTraits *engine, TimePoint now);

    /// Whether the runner belongs to the service, is not excluded and neither leaves nor is evacuated.
    bool isUsable(const Runner &runner, const RunnerCriteria &criteria) const;

    /// Returns the runner's object, which keeps its state unless the runner was restarted.
    RunnerPointer updatedRunner(const RunnerEntry &entry, TimePoint now) const;

    std::map<std::string, RunnerPointer, std::less<>> runnersById;
    std::map<std::string, double, std::less<>> knownUtilization;
    LeavingRunners statedLeaving;
    Evacuations evacuations;
    RunnerPauses pauses;
};

} // namespace eelgrasslift
