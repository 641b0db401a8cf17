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

/// A model request for which Placement chooses a target.
struct PlacementRequest
{
    std::string account;
    std::string className;
    std::string model;
    uint32_t promptTokens = 0;
    uint32_t maxTokens = 0;
    /// KV cache in memory units per token of prompt and output (ModelRule::memoryPerToken).
    double memoryPerToken = 1.0;
    /// Hashes of the prompt's prefixes, from the shortest to the longest.
    std::vector<PrefixHash> prefixHashes;
    /// Targets to avoid while there are others.
    std::vector<std::string> excludedTargets;
    Sha256 fingerprint{};
};

/// The chosen target. Its slot is reserved for the run until Placement::finishRun().
struct Placed
{
    std::string target;
    Endpoint endpoint;
    RunId run = 0;
};

/// Why no target was chosen for a request.
enum class PlacementFailure {
    /// No target of the service is available, or the class of the model request is unknown.
    NoTarget,
    // As in QueueRefused::Reason.
    QueueFull,
    AccountShare,
    DeadlineWouldPass,
    DeadlinePassed,
    Shed,
    /// The request is a suspect whose isolated run cannot start now.
    SuspectBusy,
    /// The request is quarantined.
    Quarantined
};

/// Stable name for error responses, metrics and logs.
std::string_view toString(PlacementFailure failure);

/// Refusal of a request by Placement.
struct PlacementRefused
{
    PlacementFailure failure = PlacementFailure::NoTarget;
    /// Time after which the request may succeed.
    Duration retryAfter{0};
};

/// Result of Placement::place().
using PlacementResult = std::variant<Placed, PlacementRefused>;
using PlacementCallback = std::function<void(PlacementResult)>;

/// Reserves the target at all live entries for an isolated run of a suspect request. Calls done once, on the
/// control thread: with Placed, whose endpoint is not set, if the run may start, else with PlacementRefused.
using IsolateRun = std::function<void(const Sha256 &fingerprint, const std::string &target, RunId run,
                                      PlacementCallback done)>;

/// Queues the requests of one entry and chooses a target for each when one has capacity. All functions must
/// be called on the control thread.
class Placement
{
public:
    Placement(SelectorOptions options, Random &random, const TargetDirectory &directory,
              CrashQuarantine &quarantine);

    /// Applies rules that have come into force.
    void setRules(const RuleSet &rules, TimePoint now);
    /// Sets the function that isolates the runs of suspects. onRunEnded is called at the end of every run, so
    /// that its isolation can end too.
    void setIsolation(IsolateRun isolate, std::function<void(RunId)> onRunEnded)
    {
        this->isolateRun = std::move(isolate);
        this->runEnded = std::move(onRunEnded);
    }

    /// Adds the targets that became live, if the rules cover them, and assigns no new requests to those that
    /// stopped new work.
    void handle(const std::vector<DirectoryAction> &actions, TimePoint now);

    /// Queues a request and returns its ticket for cancel(). Unless the request is cancelled, the callback
    /// runs once, possibly before the function returns.
    uint64_t place(PlacementRequest request, const Instant &instant, PlacementCallback callback);

    /// Removes a waiting request, for example because its caller has disconnected. Its callback does not run.
    void cancel(uint64_t ticket);

    /// Records the number of tokens that the run has generated so far.
    void recordProgress(RunId run, uint32_t tokens, TimePoint now)
    {
        this->targets.recordProgress(run, tokens, now);
    }

    /// Ends a run, which frees its slot, and dispatches waiting requests. tokens is the output length if the
    /// run completed.
    void finishRun(RunId run, RunOutcome outcome, uint32_t tokens, const Instant &instant);

    /// Places the waiting requests for which there is a target, and refuses those whose deadline has passed.
    void dispatch(const Instant &instant);

    /// Chooses a target for a request to a plain service, without queueing. Returns it, or a refusal if none
    /// is available. The targets in `excluded` are avoided while there are others.
    std::variant<Placed, PlacementRefused> placeService(const std::string &service,
                                                        const std::string &account,
                                                        const std::vector<std::string> &excluded,
                                                        const Instant &instant);

    TargetSelector &selector() { return this->targets; }
    /// Number of waiting requests.
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
    /// Starts a run of the waiting request if a target is available. Returns whether the request no
    /// longer waits.
    bool tryPlace(const WaitingRequest &waiting, const Instant &instant);
    /// Removes a request and calls its callback with the result.
    void complete(uint64_t ticket, PlacementResult result);
    void refuse(const QueueRefused &refused);
    void startRun(uint64_t ticket, const TargetChoice &choice, const SelectRequest &select,
                  const Instant &instant);
    Result<TargetChoice, NoTarget> selectAvailable(SelectRequest request, const Instant &instant);
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
