#pragma once

#include "gateway/connectionpool.h"
#include "gateway/fleetscheduler.h"
#include "gateway/gatewaymetrics.h"
#include "gateway/nodesettings.h"
#include "libserving/serving.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <set>

namespace eelgrasslift {

class StreamSession;

/// State that all requests of a gateway share: configuration, runners, connections, retry budget and metrics.
/// All functions run on the thread of the io_context.
class GatewayState
{
public:
    GatewayState(boost::asio::io_context &io, const NodeSettings &settings, const WireFormat &format);

    boost::asio::io_context &io;
    const NodeSettings &settings;
    const WireFormat &format;
    /// Connections to runners. Each idle one has carried only requests whose responses name them, so that a
    /// late response can be told from that to the next request; see RequestSession::releaseConnection().
    ConnectionPool connections;
    RunnerPool runners;
    SharedRetryBudget retryBudget;
    /// Requests under which runners have ended, at this gateway and at others.
    CrashRecords crashRecords;
    GatewayMetrics metrics;
    Random random{systemSeed()};
    size_t openRequests = 0;
    /// Bytes of responses that are being received; see SharedBuffer.
    size_t bufferedResponseBytes = 0;
    /// Bytes of the bodies of requests in progress; see SharedBuffer.
    size_t bufferedRequestBytes = 0;
    bool isDraining = false;
    /// Gateways of the fleet, including this one.
    uint32_t gatewayCount = 1;
    /// Set when the process begins to shut down.
    std::optional<ShutdownTimes> shutdown;
    /// Places generations and orders transfers across all gateways. Set before the first request.
    FleetScheduler *fleetScheduler = nullptr;

    /// Routes of the configuration in force; nullptr until there is one.
    const RouteTablePointer &routes() const { return this->currentRoutes; }
    /// Whether a configuration and at least one runner are known.
    bool isServing() const { return this->currentRoutes != nullptr && !this->runners.runners().empty(); }
    /// Puts a configuration in force. Returns false if it cannot be decoded or is not newer than the current
    /// one.
    bool applyConfig(std::string_view body);

    /// Takes note of the header of an answer to a request for the runner, final or interim. If its sender
    /// states that it is leaving, it gets no new work from now on. requestId is that of the request, or
    /// empty.
    void recordAnswer(const RunnerEntry &runner, unsigned status, const ResponseMetadata &metadata,
                      std::string_view requestId);

    /// Replaces the list of runners.
    void applyFleet(std::span<const RunnerEntry> entries);
    /// Records the pause that the runner asks for in its answer to the request with the id, if any.
    void recordPause(const RunnerPool::Runner &runner, const ResponseMetadata &metadata,
                     std::string_view requestId);
    /// Takes note of a run whose runner broke off or fell silent, and finds out whether the runner has ended.
    /// A runner that is expected to leave is ignored.
    void recordLostRun(const RunnerEntry &runner, LostRun run);
    /// Number of runners that have ended, or may have ended in the last seconds, under equal requests.
    size_t possibleCrashes(const Sha256 &fingerprint) const;
    /// Refuses parts of prompts about which other gateways have had time to report.
    void settleCrashRecords();
    /// Adds what a coordinator reports of requests that are refused or were refused.
    void mergeCrashReports(std::span<const CrashReport> reports);
    /// Takes note of a run that its runner has completed.
    void recordCompletion(const Sha256 &fingerprint, std::string_view requestId);
    /// Takes note that a run with these parts in its prompt was completed, or has gone on past its beginning.
    void recordServedParts(std::span<const Sha256> promptParts, std::string_view requestId);
    /// Wakes requests that wait for capacity and lets streams on leaving runners migrate, after the runners
    /// or their load have changed.
    void handleFleetUpdate();

    /// Asks the runner to copy a KV cache; returns its response. opened is a new connection to the runner
    /// that is used if it is still open; nullptr if there is none.
    boost::asio::awaitable<Result<HttpResponse, HttpFailure>>
    requestCopy(RunnerPool::RunnerPointer runner, CopyRequest request, Duration timeout,
                RunnerConnectionPointer opened = nullptr);
    /// Lets the runners free a copy of a KV cache that was made by the source, unless that pauses.
    boost::asio::awaitable<void> releaseCopy(RunnerPool::RunnerPointer source, std::string handle);

    /// Waits for the end of the runners' pauses, at most until the limit; returns early as
    /// waitForCapacity() does, so that the caller chooses again. Returns false if nextSend is later.
    boost::asio::awaitable<bool> waitForPausedRunner(TimePoint nextSend, TimePoint limit);

    /// Load of this gateway's requests in flight, by runner id; for the exchange with the coordinator.
    RunnerLoads ownLoads() const;

    /// Registers a stream to be notified when its runner is leaving.
    void addStream(StreamSession &session) { this->streams.insert(&session); }
    void removeStream(StreamSession &session) { this->streams.erase(&session); }

    /// Waits until notifyCapacityFreed() is called, at most for maxWait; returns earlier if another wait
    /// times out.
    boost::asio::awaitable<void> waitForCapacity(Duration maxWait);
    /// Wakes all waitForCapacity() calls after a generation ended or the runners or the configuration
    /// changed.
    void notifyCapacityFreed() { this->capacitySignal.cancel(); }

private:
    /// Notifies the streams whose runner is leaving.
    void checkStreamsOnLeavingRunners();

    /// Connects to a runner that a run was lost at; one that has ended cannot be reached.
    boost::asio::awaitable<void> checkRunner(RunnerIncarnation runner);
    /// Counts the lost runs whose runner is no longer listed or was started again.
    void recordUnlistedRunners();
    /// Counts a crash for the parts of the prompt unless the run had gone on past its beginning.
    void recordPromptPartCrashes(const LostRun &run);
    /// Counts runs whose runner has ended. evidence says how that is known, for the log.
    void recordEndedRuns(std::span<const LostRun> runs, std::string_view evidence);

    /// Logs that a request is refused from now on, or no longer.
    void logCrashChange(CrashRecords::Change change, CrashSubject subject, const Sha256 &fingerprint,
                        std::string_view source);

    /// Logs a pause that has begun, within the bound on such lines.
    void logPause(const RunnerPool::Runner &runner, Duration pause, std::string_view requestId);

    RouteTablePointer currentRoutes;
    /// Bound on the lines about pauses.
    TimePoint nextPauseLogAt{};
    uint32_t suppressedPauseLogs = 0;
    std::set<StreamSession *> streams;
    LostRuns lostRuns;
    /// Runners to which checkRunner() connects.
    std::set<RunnerIncarnation> checkedRunners;
    OccurrenceLimiter malformedLeavingLimiter;
    boost::asio::steady_timer capacitySignal;
};

/// Counts load as this gateway's own load on a runner for as long as the object exists.
class RunnerLoadReservation
{
public:
    RunnerLoadReservation() = default;
    RunnerLoadReservation(RunnerPool::RunnerPointer runner, RunnerLoad load);
    ~RunnerLoadReservation() { this->release(); }
    RunnerLoadReservation(RunnerLoadReservation &&other) noexcept;
    RunnerLoadReservation &operator=(RunnerLoadReservation &&other) noexcept;

    /// Subtracts the load; has no effect if it is released or empty.
    void release();
    /// Subtracts the prompt tokens after the generation has produced its first event.
    void endPrefill();
    /// Replaces the forecast of the memory that the generation occupies.
    void setMemory(const MemoryForecast &memory);
    /// The runner that carries the load; nullptr after release().
    const RunnerPool::RunnerPointer &runner() const { return this->reservedRunner; }

private:
    RunnerPool::RunnerPointer reservedRunner;
    RunnerLoad load;
};

} // namespace eelgrasslift
