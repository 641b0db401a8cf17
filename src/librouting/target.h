#pragma once

#include "libcore/time.h"
#include "librules/ruleset.h"

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasslift {

/// Hash of a prompt prefix. A request carries one hash per block of its prompt, which covers that block and
/// all blocks before it.
using PrefixHash = uint64_t;

/// Identifies one run, the execution of a request on a target; unique within a TargetSelector.
using RunId = uint64_t;

/// Settings of one target from the rule file and the VM list.
struct TargetSettings
{
    std::string id;
    std::string domain;
    TargetKind kind = TargetKind::Engine;
    /// Models that an engine serves.
    std::set<std::string, std::less<>> models;
    /// Name of the plain service; empty for an engine.
    std::string service;
    /// Maximum number of concurrent runs.
    uint32_t slots = 16;
    /// KV cache size in memory units, as in ModelRule::memoryPerToken; ignored for plain services.
    double memory = 60000;
};

/// Load report of an engine, which describes its state at reportedAtMs.
struct LoadReport
{
    /// Changes when the engine restarts.
    uint64_t incarnation = 0;
    /// Time by the engine's clock. Orders the reports of one incarnation; never compared directly with this
    /// entry's clock.
    int64_t reportedAtMs = 0;
    uint32_t running = 0;
    /// Requests in the engine's own queue.
    uint32_t waiting = 0;
    /// KV cache in memory units.
    double memoryUsed = 0;
    double memoryTotal = 0;
    /// Number of preemptions since the engine started.
    uint64_t preemptions = 0;
};

/// One message of an engine's cache event stream.
struct CacheEvent
{
    enum class Kind { Stored, Evicted, Cleared };

    uint64_t incarnation = 0;
    /// Consecutive per incarnation; a gap means that events were lost.
    uint64_t sequence = 0;
    Kind kind = Kind::Stored;
    /// Prefixes that were stored or evicted; unused for Kind::Cleared.
    std::vector<PrefixHash> hashes;
};

/// One entry's load on one target, which entries exchange by gossip.
struct TargetUsage
{
    std::string targetId;
    uint32_t inFlight = 0;
    /// KV cache in memory units that these requests occupy now.
    double memory = 0;
    /// Whether a suspect of CrashQuarantine runs on the target, or the target is reserved for one.
    bool isReserved = false;
};

/// Properties of a request that TargetSelector uses to choose its target. The views must stay valid during
/// the call.
struct SelectRequest
{
    /// Model of an engine request; empty for a plain service.
    std::string_view model;
    /// Plain service; used if the model is empty.
    std::string_view service;
    /// Account and class, from whose earlier requests LengthEstimator predicts the output length.
    std::string_view account;
    std::string_view className;
    uint32_t promptTokens = 0;
    /// Maximum output length (ModelRule::maxTokens or the caller's max_tokens).
    uint32_t maxTokens = 65536;
    /// KV cache in memory units per token of prompt and output.
    double memoryPerToken = 1.0;
    std::span<const PrefixHash> prefixHashes;
    /// Targets that must not be chosen, for example after a failed attempt.
    std::span<const std::string> excludedTargets;
    /// Suspect of CrashQuarantine, which runs on an idle target without other requests beside it.
    bool requiresIsolation = false;
    /// Fraction of the maximum queue wait that has passed, 0..1. An urgent request may use more of the
    /// memory.
    double urgency = 0;
};

/// The target that TargetSelector::select() chose for a request.
struct TargetChoice
{
    std::string targetId;
    /// Whether the target is in the failure domain of this entry.
    bool isOwnDomain = false;
    /// Lower is better; comparable only within one selection.
    double score = 0;
    /// Expected number of prompt tokens in the target's prefix cache.
    uint32_t cachedTokens = 0;
};

/// Reason why TargetSelector::select() found no target.
struct NoTarget
{
    enum class Reason {
        UnknownModel, ///< No target lists the model or service.
        AllLeaving,   ///< Every target that lists it is leaving.
        AllExcluded,  ///< The request excludes every remaining target.
        AllEjected,   ///< Every remaining target is ejected by the outlier detector or has a probe in flight.
        NoHeadroom,   ///< None of the examined targets has headroom; some may be reserved for suspects.
        NoIdleTarget, ///< No target is idle for a request that requires isolation; one may be reserved.
    };

    Reason reason = Reason::UnknownModel;
    /// Recommended time to wait before another attempt.
    Duration retryAfter{0};
};

/// Stable name for logs, metrics and error documents.
std::string_view toString(NoTarget::Reason reason);

/// How a run ended. Decides what the outlier detector records about the target.
enum class RunOutcome {
    Completed, ///< A success.
    Cancelled, ///< Cancelled by the caller; neither a success nor a failure of the target.
    Refused,   ///< A failure: the target refused the request before it ran.
    Failed,    ///< A failure: the connection was refused or broken, or the target replied with an error.
    Stalled,   ///< A stall: no progress within the stall limit, and the attempt to resume failed as well.
};

} // namespace eelgrasslift
