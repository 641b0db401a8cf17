#pragma once

#include "libcore/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasslift {

/// The comment at the end of every rule: who requested it and why. line is the line of the rule.
struct RuleOrigin
{
    std::string requestedBy;
    std::string reason;
    uint32_t line = 0;
};

/// Settings of the whole fleet.
struct FleetRule
{
    RuleOrigin origin;
    std::string name;
    /// From 0 (avoid preemptions first) to 100 (avoid stalls first).
    uint32_t stallWeight = 50;
    /// Maximum time after the first sign that a target is leaving in which it may still get new work.
    Duration leaveBound = std::chrono::seconds{3};
};

/// A failure domain.
struct DomainRule
{
    RuleOrigin origin;
    std::string name;
};

/// A model that engines can load.
struct ModelRule
{
    RuleOrigin origin;
    std::string name;
    /// Maximum output length in tokens.
    uint32_t maxTokens = 65536;
    /// Engine memory that one token of prompt or output takes, in units of TargetsRule::memory.
    double memoryPerToken = 1.0;
};

/// Whether a completion is delivered as a stream or in one response.
enum class Delivery { Stream, Whole };

/// A class of completion requests with its priority and limits.
struct ClassRule
{
    RuleOrigin origin;
    std::string name;
    std::set<std::string, std::less<>> models;
    /// From 0 (served first) to 9 (served last).
    uint32_t priority = 5;
    Delivery delivery = Delivery::Stream;
    /// Maximum time in the admission queue.
    Duration deadline = std::chrono::seconds{30};
    /// Time without a token after which the stream is resumed over a second connection.
    Duration stallLimit = std::chrono::seconds{2};
    /// Maximum number of queued requests of this class per entry.
    uint32_t queue = 200;
    /// Maximum number of restarts of one request: before its first delivered token with Delivery::Stream, in
    /// total with Delivery::Whole.
    uint32_t restarts = 2;
};

/// Whether the entries of the owner domain or of the whole fleet store idempotency records.
enum class RecordScope { Domain, Fleet };

/// A plain service.
struct ServiceRule
{
    RuleOrigin origin;
    std::string name;
    Duration timeout = std::chrono::seconds{5};
    RecordScope records = RecordScope::Domain;
    /// How long idempotency records are retained.
    Duration keep = std::chrono::hours{24};
};

/// A request pattern of a plain service. Of several matching rules the one with the longest path prefix
/// applies.
struct RouteRule
{
    RuleOrigin origin;
    std::string name;
    std::string service;
    std::string method;
    std::string path;
    bool isIdempotent = false;
};

enum class TargetKind { Engine, Service };

/// Properties of the targets in the platform's VM list whose id matches the pattern ('*' matches any text).
struct TargetsRule
{
    RuleOrigin origin;
    std::string name;
    std::string match;
    TargetKind kind = TargetKind::Engine;
    std::set<std::string, std::less<>> models;
    std::string service;
    /// Whether the targets reject orders with an outdated fencing token.
    bool checksFencing = false;
    /// Maximum number of concurrent requests on one target.
    uint32_t slots = 16;
    /// Memory of one engine, in the units of ModelRule::memoryPerToken.
    double memory = 60000;
};

/// A client account.
struct AccountRule
{
    RuleOrigin origin;
    std::string name;
    /// SHA-256 of the account's bearer key, as 64 lower-case hex digits.
    std::string keySha256;
    std::string domain;
    /// The previous owner domain of the account's idempotency records, while the account moves.
    std::string previousDomain;
    /// Requests per second, summed over all entries.
    double rate = 10;
    /// Size of the token bucket, in requests.
    double burst = 20;
    /// Maximum number of requests in flight, summed over all entries.
    uint32_t concurrent = 100;
    /// Weight in the admission queue.
    uint32_t share = 1;
    std::set<std::string, std::less<>> classes;
    std::set<std::string, std::less<>> services;
};

/// Retry budget and back-off.
struct RetryRule
{
    RuleOrigin origin;
    /// Retries as a fraction of requests, 0..1.
    double budget = 0.1;
    /// Maximum number of attempts of one request, including the first.
    uint32_t attempts = 3;
    Duration backoffMin = std::chrono::milliseconds{50};
    Duration backoffMax = std::chrono::seconds{2};
};

/// Quarantine of requests that crash their targets.
struct QuarantineRule
{
    RuleOrigin origin;
    /// Number of target deaths after which requests with the same fingerprint are refused.
    uint32_t deaths = 2;
    /// How long they are refused.
    Duration hold = std::chrono::hours{1};
};

/// Desired state of the engines whose id matches the pattern.
struct LoadRule
{
    RuleOrigin origin;
    std::string name;
    std::string match;
    std::string model;
    std::string version;
    std::string adapter;
    std::string role;
};

/// Limits of the weight store, from which engines load their models.
struct WeightsRule
{
    RuleOrigin origin;
    /// Loads per minute, summed over the whole fleet.
    double rate = 2;
    /// Size of the token bucket, in loads.
    double burst = 2;
};

/// One rule as written in the file, for comparing versions.
struct RuleSource
{
    RuleOrigin origin;
    /// Key to value, exactly as written.
    std::map<std::string, std::string, std::less<>> values;
};

/// The content of one rule file. Immutable once parsed; shared between threads by pointer to const.
struct RuleSet
{
    /// Rules as written, by "kind name".
    std::map<std::string, RuleSource, std::less<>> sources;
    FleetRule fleet;
    std::map<std::string, DomainRule, std::less<>> domains;
    std::map<std::string, ModelRule, std::less<>> models;
    std::map<std::string, ClassRule, std::less<>> classes;
    std::map<std::string, ServiceRule, std::less<>> services;
    std::map<std::string, RouteRule, std::less<>> routes;
    std::map<std::string, TargetsRule, std::less<>> targets;
    std::map<std::string, AccountRule, std::less<>> accounts;
    std::map<std::string, LoadRule, std::less<>> loads;
    RetryRule retry;
    QuarantineRule quarantine;
    WeightsRule weights;

    /// The account whose bearer key has this SHA-256 digest in hex digits, or nullptr.
    const AccountRule *accountByKey(std::string_view keySha256) const;

    /// The properties of the target with this id, from the rule with the longest matching pattern, or
    /// nullptr.
    const TargetsRule *targetsFor(std::string_view targetId) const;

    /// The desired state of the engine with this id, from the rule with the longest matching pattern, or
    /// nullptr.
    const LoadRule *loadFor(std::string_view targetId) const;

    /// Whether a request may be retried. Path prefixes match whole segments. A request that matches no route
    /// must not be retried.
    bool isIdempotent(std::string_view service, std::string_view method, std::string_view path) const;

    /// The failure domain that owns the account's idempotency records: that of its rule, or one that is
    /// chosen by a hash of its name. Empty if there are no domains.
    std::string ownerDomain(const AccountRule &account) const;
};

/// A rule set with the version under which it was accepted.
struct AcceptedRules
{
    uint64_t version = 0;
    std::string author;
    WallTime acceptedAt{};
    std::string text;
    RuleSet rules;
};

/// Whether text matches a pattern in which '*' matches any text, also the empty one.
bool matchesPattern(std::string_view pattern, std::string_view text);

} // namespace eelgrasslift
