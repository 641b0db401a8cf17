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

/// The comment that ends every rule: who asked for it, and why.
struct RuleOrigin
{
    std::string requestedBy;
    std::string reason;
    uint32_t line = 0;
};

struct FleetRule
{
    RuleOrigin origin;
    std::string name;
    /// 0 avoids preemptions first, 100 avoids stalls first.
    uint32_t stallWeight = 50;
    /// Longest time after the first evidence that a target leaves in which it may still get new work.
    Duration leaveBound = std::chrono::seconds{3};
};

struct DomainRule
{
    RuleOrigin origin;
    std::string name;
};

struct ModelRule
{
    RuleOrigin origin;
    std::string name;
    /// Longest output in tokens.
    uint32_t maxTokens = 65536;
    /// Engine memory units per token of prompt and output.
    double memoryPerToken = 1.0;
};

enum class Delivery { Stream, Whole };

struct ClassRule
{
    RuleOrigin origin;
    std::string name;
    std::set<std::string, std::less<>> models;
    /// 0 is served first, 9 last.
    uint32_t priority = 5;
    Delivery delivery = Delivery::Stream;
    /// Longest time in the admission queue.
    Duration deadline = std::chrono::seconds{30};
    /// Longest time without a token before the stream is resumed over a second connection.
    Duration stallLimit = std::chrono::seconds{2};
    /// Most waiting requests of this class per entry.
    uint32_t queue = 200;
    /// Most restarts of one request before its first delivered token (Delivery::Stream) or at all (Whole).
    uint32_t restarts = 2;
};

enum class RecordScope { Domain, Fleet };

struct ServiceRule
{
    RuleOrigin origin;
    std::string name;
    Duration timeout = std::chrono::seconds{5};
    RecordScope records = RecordScope::Domain;
    /// Retention of idempotency records.
    Duration keep = std::chrono::hours{24};
};

/// A request pattern of a plain service. The longest matching path prefix wins.
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

/// Properties of all VMs of the platform's list whose id matches the pattern ('*' matches any text).
struct TargetsRule
{
    RuleOrigin origin;
    std::string name;
    std::string match;
    TargetKind kind = TargetKind::Engine;
    std::set<std::string, std::less<>> models;
    std::string service;
    /// Whether the targets refuse orders with an old fencing number.
    bool checksFencing = false;
    /// Most requests that run at once on one target.
    uint32_t slots = 16;
    /// Memory units of one engine.
    double memory = 60000;
};

struct AccountRule
{
    RuleOrigin origin;
    std::string name;
    /// SHA-256 of the account's bearer key, as 64 lower-case hex digits.
    std::string keySha256;
    std::string domain;
    /// The previous owner domain of the account's idempotency records while the account moves.
    std::string previousDomain;
    /// Requests per second over all entries together.
    double rate = 10;
    double burst = 20;
    /// Most requests in flight over all entries together.
    uint32_t concurrent = 100;
    /// Weight in the admission queue.
    uint32_t share = 1;
    std::set<std::string, std::less<>> classes;
    std::set<std::string, std::less<>> services;
};

struct RetryRule
{
    RuleOrigin origin;
    /// Retries as a fraction of requests, 0..1.
    double budget = 0.1;
    uint32_t attempts = 3;
    Duration backoffMin = std::chrono::milliseconds{50};
    Duration backoffMax = std::chrono::seconds{2};
};

struct QuarantineRule
{
    RuleOrigin origin;
    /// Target deaths after which a request fingerprint is refused.
    uint32_t deaths = 2;
    Duration hold = std::chrono::hours{1};
};

/// Desired state of the engines that match the pattern.
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

struct WeightsRule
{
    RuleOrigin origin;
    /// Loads per minute that the weight store allows for the whole fleet.
    double rate = 2;
    double burst = 2;
};

/// One rule as it stands in the file, for differences between versions.
struct RuleSource
{
    RuleOrigin origin;
    /// Key to value, exactly as written.
    std::map<std::string, std::string, std::less<>> values;
};

/// The content of one rule file. Immutable once parsed; shared between threads by pointer to const.
struct RuleSet
{
    /// "kind name" to the rule as written.
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

    /// The account whose key has this digest, or nullptr.
    const AccountRule *accountByKey(std::string_view keySha256) const;

    /// The properties of the target with this id, or nullptr. The longest matching pattern wins.
    const TargetsRule *targetsFor(std::string_view targetId) const;

    /// The desired state of the engine with this id, or nullptr. The longest matching pattern wins.
    const LoadRule *loadFor(std::string_view targetId) const;

    /// Whether a request may be repeated. Path prefixes match whole segments. A request that matches no route
    /// may not.
    bool isIdempotent(std::string_view service, std::string_view method, std::string_view path) const;

    /// The failure domain that owns the account's idempotency records.
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

/// Whether text matches a pattern in which '*' stands for any text.
bool matchesPattern(std::string_view pattern, std::string_view text);

} // namespace eelgrasslift
