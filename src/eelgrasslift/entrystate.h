#pragma once

#include "eelgrasslift/controlthread.h"
#include "eelgrasslift/entrysettings.h"
#include "eelgrasslift/metrics.h"
#include "eelgrasslift/peerclient.h"
#include "eelgrasslift/peerservice.h"
#include "eelgrasslift/placement.h"
#include "eelgrasslift/recordservice.h"
#include "libcluster/cluster.h"
#include "librouting/routing.h"
#include "libserving/serving.h"

#include <nlohmann/json_fwd.hpp>

#include <atomic>
#include <memory>
#include <string>

namespace eelgrasslift {

/// The rules in force at one moment; immutable, so that any thread may read them.
using RulesSnapshot = std::shared_ptr<const AcceptedRules>;

/// Asks a target which process serves it, and calls done on the control thread after
/// EntryState::reportIncarnation(), or without it if there is no answer.
using IncarnationReader =
        std::function<void(const std::string &target, const Endpoint &endpoint, std::function<void()> done)>;

/// The state that all requests of one entry process share: rules, peers, targets, account limits, retry
/// budget, idempotency records, quarantine and shutdown. Exchanges parts of it with the other processes by
/// gossip and direct calls.
///
/// All functions must be called on the control thread, except those documented otherwise.
class EntryState : public PeerHandler
{
public:
    /// peerAddress: address under which other processes reach this one. seed initializes the random
    /// generator.
    EntryState(const EntrySettings &settings, const Endpoint &peerAddress, ControlThread &control,
               EntryMetrics &metrics, uint64_t seed);
    ~EntryState() override;

    /// Loads the stored rules and starts the periodic tasks.
    void start();

    /// The rules in force, or nullptr while none are known. May be called on any thread.
    RulesSnapshot rules() const { return std::atomic_load(&this->currentRules); }

    /// False once the shutdown has begun, so that the load balancer sends no new connections to this entry.
    /// May be called on any thread.
    bool isHealthy() const { return this->healthy; }

    /// Whether new requests are accepted; they still are for EntrySettings::drainAccept after the shutdown
    /// has begun. May be called on any thread.
    bool acceptsRequests() const { return this->accepting; }

    // Requests.

    /// Admits a request of the account, unless that would exceed the account's rate or concurrency limit.
    Result<Admitted, LimitRefused> admit(const std::string &account);
    /// Ends a request that admit() admitted.
    void release(const std::string &account);
    /// Counts an open request. The shutdown waits until all open requests have finished.
    void requestStarted();
    /// Ends a request that requestStarted() counted.
    void requestFinished();
    /// Requests a retry from the retry budget of group, which is the name of a model or service, after
    /// `attempt` attempts (1 or more). The permit contains the back-off, which ends before the deadline. It
    /// is not granted if the request is not repeatable, or if the attempts, the budget or the time do not
    /// suffice.
    RetryPermit requestRetry(const std::string &group, uint32_t attempt, bool isRepeatable,
                             TimePoint deadline);
    /// Counts the first attempt of a request, which adds to the retry budget of group.
    void recordFirstAttempt(const std::string &group);

    // Components, to be used on the control thread. The settings may be read on any thread.

    Placement &placement() { return this->placementQueue; }
    RecordService &records() { return this->recordService; }
    CrashQuarantine &quarantine() { return this->crashQuarantine; }
    TargetDirectory &directory() { return this->targetDirectory; }
    Random &randomGenerator() { return this->random; }
    const EntrySettings &entrySettings() const { return this->settings; }

    /// Passes an event to the target directory and applies its decisions to the placement.
    void handleDirectoryEvent(const DirectoryEvent &event);

    /// Handles the death of a target's process: marks the requests that ran on it as suspects and broadcasts
    /// the marks to all live entries. run: the run that showed the death; if it was counted in an earlier
    /// death, nothing is counted. Calls done when the entries have confirmed or
    /// MarkBroadcastSettings::timeout has passed; the lost requests may then be restarted or reported to
    /// their callers.
    void targetDied(const std::string &target, std::optional<RunId> run, std::function<void()> done);
    /// Handles a report of a target's process, and a death that it shows as targetDied() does. Calls done
    /// with what the report shows for the run, if there is one.
    void reportIncarnation(const IncarnationReport &report, std::optional<RunId> run,
                           std::function<void(ProcessFate)> done);
    /// Handles a lost connection after which the target did not report its process. isAccepting: whether it
    /// accepted connections; then only the network is ruled out as the cause, and the request becomes a
    /// suspect. Calls done as targetDied() does.
    void connectionLost(const std::string &target, RunId run, bool isAccepting, std::function<void()> done);
    /// Sets the function that asks a target for its process before an isolated run.
    void setIncarnationReader(IncarnationReader reader) { this->readIncarnation = std::move(reader); }

    // Shutdown.

    /// Begins the graceful shutdown. Further calls have no effect.
    void terminate();
    /// Sets the callback that executes the actions of the shutdown, such as closing the listening socket.
    void onDrain(std::function<void(DrainAction)> callback) { this->drainCallback = std::move(callback); }

    /// The state as JSON, for the operator's page /state.
    nlohmann::json dump();

    // PeerHandler.
    wire::GossipDelta exchange(const wire::GossipDigest &digest) override;
    wire::RecordReply claim(const wire::ClaimRequest &request) override;
    wire::RecordReply resolve(const wire::ResolveRequest &request) override;
    wire::RecordReply lookup(const wire::LookupRequest &request) override;
    wire::ReadRecordsReply readRecords(const wire::ReadRecordsRequest &request) override;
    wire::ReserveReply reserve(const wire::ReserveRequest &request) override;
    wire::ReleaseReply release(const wire::ReleaseRequest &request) override;
    wire::MarkReply mark(const wire::MarkRequest &request) override;

private:
    struct Isolation;
    struct TargetDeath;

    /// Runs the periodic work with a short interval: isolations, death broadcasts, dispatch, shutdown,
    /// metrics.
    void tick(TimePoint now);
    void gossipTick(TimePoint now);
    GossipPayload makePayload(TimePoint now);
    wire::GossipDelta execute(const std::vector<GossipAction> &actions);
    void adoptRules(const wire::RulesDocument &document);
    void receivePayload(const PayloadReceived &received);
    void loadStoredRules();
    void updateDrain();
    void execute(const std::vector<DrainAction> &actions);
    void setUpIsolation();
    /// Reserves the target for an isolated run at all live entries.
    void isolate(const Sha256 &fingerprint, const std::string &target, RunId run, PlacementCallback done);
    void execute(const std::shared_ptr<Isolation> &isolation, const std::vector<IsolationAction> &actions);
    void sendIsolationRequest(const std::shared_ptr<Isolation> &isolation,
                              const SendIsolationRequest &message);
    void startIsolatedRun(const std::shared_ptr<Isolation> &isolation);
    void endIsolation(RunId run);
    void tickIsolations();
    /// Broadcasts the marks of a target's death and calls done at the end of it, or of the target's earlier
    /// one if there are no marks.
    void broadcastMarks(const std::string &target, const std::vector<QuarantineMark> &marks,
                        std::function<void()> done);
    /// Sends the marks of the target's death to the entries that have not confirmed them.
    void sendMarks(const std::string &target);
    /// Resends marks that are due, and ends the broadcasts that are done.
    void updatePendingDeaths(TimePoint now);
    /// Addresses of the other live entries by id.
    std::map<std::string, std::string> liveEntryAddresses() const;
    void updateMetrics(TimePoint now);

    const EntrySettings &settings;
    ControlThread &control;
    EntryMetrics &metrics;
    Random random;
    GossipNode gossip;
    PeerClient peers;
    TargetDirectory targetDirectory;
    CrashQuarantine crashQuarantine;
    Placement placementQueue;
    RecordService recordService;
    AccountLimiter limiter;
    RetryBudget retryBudget;
    DrainState drain;
    RulesSnapshot currentRules;
    std::atomic<bool> healthy{true};
    std::atomic<bool> accepting{true};
    /// Number of open requests.
    size_t inFlight = 0;
    std::map<RunId, std::shared_ptr<Isolation>> isolations;
    IncarnationReader readIncarnation;
    /// By target.
    std::map<std::string, std::shared_ptr<TargetDeath>> pendingDeaths;
    bool isSlotReplacementLogged = false;
    std::function<void(DrainAction)> drainCallback;
    std::vector<TimerService::Subscription> subscriptions;
};

} // namespace eelgrasslift
