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

/// Hash of a prompt prefix. A request carries one hash per block, each covering all blocks before it.
using PrefixHash = uint64_t;

/// Handle of one request that this entry runs on a target; unique within a TargetSelector.
using RunId = uint64_t;

/// What the rule file and the VM list say about one target.
struct TargetSettings
{
    std::string id;
    std::string domain;
    TargetKind kind = TargetKind::Engine;
    std::set<std::string, std::less<>> models;
    std::string service;
    uint32_t slots = 16;
    /// Cache units; ignored for plain services.
    double memory = 60000;
};

/// One load report of an engine. It describes the past: it was taken at reportedAtMs on the engine's clock.
struct LoadReport
{
    /// Changes when the engine restarts.
    uint64_t incarnation = 0;
    /// Engine clock; orders reports of one incarnation and is never compared with our clock directly.
    int64_t reportedAtMs = 0;
    uint32_t running = 0;
    uint32_t waiting = 0;
    double memoryUsed = 0;
    double memoryTotal = 0;
    /// Running total since the engine started.
    uint64_t preemptions = 0;
};

/// One message of an engine's cache event stream.
struct CacheEvent
{
    enum class Kind { Stored, Evicted, Cleared };

    uint64_t incarnation = 0;
    /// Consecutive per incarnation; a jump means that events were lost.
    uint64_t sequence = 0;
    Kind kind = Kind::Stored;
    std::vector<PrefixHash> hashes;
};

/// What one entry runs on one target; entries exchange these by gossip.
struct TargetUsage
{
    std::string targetId;
    uint32_t inFlight = 0;
    /// Cache units held by these requests now.
    double memory = 0;
    /// Whether the sender keeps the target free for a suspect of CrashQuarantine.
    bool isReserved = false;
};

/// One request as the selector sees it.
struct SelectRequest
{
    /// Model of an engine request; empty for a plain service.
    std::string_view model;
    std::string_view service;
    std::string_view account;
    std::string_view className;
    uint32_t promptTokens = 0;
    /// Upper bound of the output length (ModelRule::maxTokens or the caller's max_tokens).
    uint32_t maxTokens = 65536;
    double memoryPerToken = 1.0;
    std::span<const PrefixHash> prefixHashes;
    /// Targets that this request must not use again, for example after a failed attempt.
    std::span<const std::string> excludedTargets;
    /// Suspect of CrashQuarantine: runs on an idle target, or only with other suspects.
    bool requiresIsolation = false;
    /// Share of the queue deadline that has passed, 0..1; a late request may use more of the headroom.
    double urgency = 0;
};

struct TargetChoice
{
    std::string targetId;
    bool isOwnDomain = false;
    /// Lower is better; comparable only within one selection.
    double score = 0;
    /// Expected prompt tokens in the target's prefix cache.
    uint32_t cachedTokens = 0;
};

struct NoTarget
{
    enum class Reason {
        UnknownModel, ///< No target lists the model or service.
        AllLeaving,   ///< Every target that lists it leaves or is gone.
        AllExcluded,  ///< The request excludes every remaining target.
        AllEjected,   ///< The outlier detector has ejected every remaining target.
        NoHeadroom,   ///< Live targets exist, but none has a free slot and memory.
        NoIdleTarget, ///< No target is idle for a request that must run alone; one is being kept free.
    };

    Reason reason = Reason::UnknownModel;
    /// When another attempt can succeed at the earliest.
    Duration retryAfter{0};
};

/// Stable name for logs, metrics and error documents.
std::string_view toString(NoTarget::Reason reason);

/// How a run ended, as the outlier detector needs it.
enum class RunOutcome {
    Completed,
    Cancelled, ///< By the caller; says nothing about the target.
    Refused,   ///< The target itself refused before running.
    Failed,    ///< Connection refused or broken, or an error answer.
    Stalled,   ///< No progress within the stall limit and the resume failed, too.
};

} // namespace eelgrasslift
