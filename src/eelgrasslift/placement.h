#pragma once

#include "eelgrasslift/endpoint.h"
#include "libcluster/cluster.h"
#include "libcore/core.h"
#include "librouting/routing.h"
#include "librules/rules.h"
#include "libserving/serving.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace eelgrasslift {

/// A model request that needs a target.
struct PlacementRequest
{
    std::string account;
    std::string className;
    std::string model;
    uint32_t promptTokens = 0;
    uint32_t maxTokens = 0;
    double memoryPerToken = 1.0;
    std::vector<PrefixHash> prefixHashes;
    std::vector<std::string> excludedTargets;
    Sha256 fingerprint{};
};

/// The target that was chosen, with a slot on it that finishRun() gives back.
struct Placed
{
    std::string target;
    Endpoint endpoint;
    RunId run = 0;
};

enum class PlacementFailure {
    NoTarget,
    QueueFull,
    AccountShare,
    DeadlineWouldPass,
    DeadlinePassed,
    Shed,
    SuspectBusy,
    Quarantined
};

std::string_view toString(PlacementFailure failure);

struct PlacementRefused
{
    PlacementFailure failure = PlacementFailure::NoTarget;
    Duration retryAfter{0};
};

using PlacementResult = std::variant<Placed, PlacementRefused>;
using PlacementCallback = std::function<void(PlacementResult)>;

/// Isolates one run of a suspect request over all entries; calls done once, on the control thread. A refused
/// PlacementResult means that the run must not start.
using IsolateRun = std::function<void(const Sha256 &fingerprint, const std::string &target, RunId run,
                                      PlacementCallback done)>;

/// Admission queue and target selection of one entry. Owned by the control thread.
class Placement
{
public:
    Placement(SelectorOptions options, Random &random, const TargetDirectory &directory,
              CrashQuarantine &quarantine);

    void setRules(const RuleSet &rules, TimePoint now);
    /// runEnded is told of the end of every run, so that an isolation can end with it.
    void setIsolation(IsolateRun isolate, std::function<void(RunId)> onRunEnded)
    {
        this->isolateRun = std::move(isolate);
        this->runEnded = std::move(onRunEnded);
    }

    /// Applies the directory's decisions about targets.
    void handle(const std::vector<DirectoryAction> &actions, TimePoint now);

    /// Queues a request; the callback runs once, maybe before the function returns. Returns a ticket.
    uint64_t place(PlacementRequest request, const Instant &instant, PlacementCallback callback);

    /// The caller of a waiting request has gone; its callback does not run.
    void cancel(uint64_t ticket);

    void progress(RunId run, uint32_t tokens, TimePoint now)
    {
        this->targets.recordProgress(run, tokens, now);
    }

    /// Ends a run. tokens is the output length of a completed run.
    void finishRun(RunId run, RunOutcome outcome, uint32_t tokens, const Instant &instant);

    /// Sends waiting requests and refuses those whose deadline has passed.
    void dispatch(const Instant &instant);

    /// A target of a plain service.
    std::variant<Placed, PlacementRefused> placeService(const std::string &service,
                                                        const std::string &account,
                                                        const std::vector<std::string> &excluded,
                                                        const Instant &instant);

    TargetSelector &selector() { return this->targets; }
    size_t queuedCount() const { return this->queue.size(); }

private:
    struct Pending
    {
        PlacementRequest request;
        PlacementCallback callback;
        bool requiresIsolation = false;
    };

    struct RunInfo
    {
        std::string account;
        std::string className;
    };

    SelectRequest toSelectRequest(const Pending &pending, double urgency) const;
    bool offer(const WaitingRequest &waiting, const Instant &instant);
    void answer(uint64_t ticket, PlacementResult result);
    void refuse(const QueueRefused &refused);
    void startRun(uint64_t ticket, const TargetChoice &choice, const SelectRequest &select,
                  const Instant &instant);
    Result<TargetChoice, NoTarget> selectFree(SelectRequest request, const Instant &instant);
    Endpoint endpointOf(const std::string &target) const;

    Random &random;
    const TargetDirectory &directory;
    CrashQuarantine &quarantine;
    IsolateRun isolateRun;
    std::function<void(RunId)> runEnded;
    SelectorOptions options;
    RuleSet rules;
    LengthEstimator lengths;
    TargetSelector targets;
    AdmissionQueue queue;
    std::map<uint64_t, Pending> pending;
    std::map<RunId, RunInfo> runs;
    uint64_t nextTicket = 1;
};

} // namespace eelgrasslift
