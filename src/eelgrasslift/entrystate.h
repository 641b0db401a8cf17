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

using RulesSnapshot = std::shared_ptr<const AcceptedRules>;

/// The control state of one entry process: rules, peers, targets, limits, records, quarantine, shutdown.
///
/// All functions run on the control thread, except those marked otherwise.
class EntryState : public PeerHandler
{
public:
    EntryState(const EntrySettings &settings, const Endpoint &peerAddress, ControlThread &control,
               EntryMetrics &metrics, uint64_t seed);
    ~EntryState() override;

    /// Reads the kept rules and starts the periodic work.
    void start();

    /// Rules in force, or nullptr before any are known. Any thread.
    RulesSnapshot rules() const { return std::atomic_load(&this->snapshot); }

    /// Whether the balancer may send new connections here. Any thread.
    bool isHealthy() const { return this->healthy; }

    /// Whether new requests are accepted. Any thread.
    bool acceptsRequests() const { return this->accepting; }

    // Requests.
    Result<Admitted, LimitRefused> admit(const std::string &account);
    void release(const std::string &account);
    void requestStarted();
    void requestFinished();
    RetryPermit requestRetry(const std::string &group, uint32_t attempt, bool isRepeatable,
                             TimePoint deadline);
    void recordFirstAttempt(const std::string &group);

    Placement &placement() { return this->placementQueue; }
    RecordService &records() { return this->recordService; }
    CrashQuarantine &quarantine() { return this->crashQuarantine; }
    TargetDirectory &directory() { return this->targetDirectory; }
    Random &randomGenerator() { return this->random; }
    const EntrySettings &entrySettings() const { return this->settings; }

    /// Feeds the directory and carries out what it decides.
    void handleDirectory(const DirectoryEvent &event);

    /// Evidence that the target's process died: marks suspects and brings the marks to all live entries. done
    /// runs when the victims may be restarted or their callers told.
    void targetDied(const std::string &target, std::function<void()> done);

    // Shutdown.
    void terminate();
    /// Runs on each action of the shutdown.
    void onDrain(std::function<void(DrainAction)> callback) { this->drainCallback = std::move(callback); }

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
    struct DeathNotice;

    void tick(TimePoint now);
    void gossipTick(TimePoint now);
    GossipPayload makePayload(TimePoint now);
    wire::GossipDelta carryOut(const std::vector<GossipAction> &actions);
    void adoptRules(const wire::RulesDocument &document);
    void receivePayload(const PayloadReceived &received);
    void loadKeptRules();
    void updateDrain();
    void carryOut(const std::vector<DrainAction> &actions);
    void setUpIsolation();
    void isolate(const Sha256 &fingerprint, const std::string &target, RunId run, PlacementCallback done);
    void carryOut(const std::shared_ptr<Isolation> &isolation, const std::vector<IsolationAction> &actions);
    void sendReserve(const std::shared_ptr<Isolation> &isolation, const SendIsolationRequest &message);
    void endIsolation(RunId run);
    void tickIsolations();
    void sendMarks(const std::string &target);
    void finishDeathNotices(TimePoint now);
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
    RulesSnapshot snapshot;
    std::atomic<bool> healthy{true};
    std::atomic<bool> accepting{true};
    size_t inFlight = 0;
    std::map<RunId, std::shared_ptr<Isolation>> isolations;
    /// By target.
    std::map<std::string, std::shared_ptr<DeathNotice>> deathNotices;
    bool isSlotLossLogged = false;
    std::function<void(DrainAction)> drainCallback;
    std::vector<TimerService::Subscription> subscriptions;
};

} // namespace eelgrasslift
