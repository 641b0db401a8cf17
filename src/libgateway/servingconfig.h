#pragma once

#include "libcore/core.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eelgrasslift {

/// Type of a route's requests; decides whether one that may have run can be sent again.
enum class RouteKind {
    Idempotent,
    NonIdempotent,
    /// Answered by a stream of events; idempotent only if the stream can be resumed.
    Streaming
};

/// A service that receives a share of a route's requests in proportion to its weight.
struct WeightedService
{
    std::string service;
    uint32_t weight = 1;
};

/// Maps the requests with a host and a path prefix to services, with their limits.
struct Route
{
    std::string name;
    /// Host name without port; must match exactly.
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::NonIdempotent;
    /// Maximum time from the arrival of a request to the end of its answer; callers may ask for less.
    Duration timeout{};
    /// Time from the arrival of a request to the end of its answer, or to the first event of a stream.
    Duration latencyObjective{};
    /// Objective for the longest pause between two events of a stream; 0: none.
    Duration pauseLimit{};
    /// 0 is the most urgent.
    uint32_t priority = 0;
    std::vector<WeightedService> services;
    /// Maximum number of sends that may have run the request.
    uint32_t maxAttempts = 1;
    /// Requests need no key of a client account.
    bool isPublic = false;
    /// A stream can be resumed after any event at another runner.
    bool isResumable = false;
    /// Requests carry a prompt and are generations of a model engine.
    bool isGeneration = false;

    bool isIdempotent() const
    {
        return this->kind == RouteKind::Idempotent ||
               (this->kind == RouteKind::Streaming && this->isResumable);
    }
};

/// Capacity and abilities of each runner of a model service.
struct EngineTraits
{
    /// Maximum number of generations that run at the same time.
    uint32_t slots = 1;
    /// Size of the memory for generations, in tokens.
    uint64_t memoryTokens = 0;
    /// Memory per token, in bytes.
    uint64_t bytesPerToken = 0;
    /// Can copy the memory of a running generation to another runner.
    bool supportsMigration = false;
    /// Can keep a growing copy of a running generation's memory at another runner.
    bool supportsBackup = false;
    /// Number of tokens in one event of a stream.
    uint32_t tokensPerEvent = 1;
};

/// A set of interchangeable runners.
struct Service
{
    std::string name;
    /// Path of health checks; empty: none.
    std::string healthPath;
    /// Maximum number of connections to one runner; 0 if the configuration states none.
    uint32_t maxConnections = 0;
    /// Set for model services.
    std::optional<EngineTraits> engine;
};

/// A client account with its API keys.
struct ClientAccount
{
    std::string name;
    std::vector<std::string> keys;
    /// Replaces the priority of the route; 0 is the most urgent.
    std::optional<uint32_t> priority;
};

/// Limits on the size of a caller's request and on the time that it may take to send it.
struct CallerLimits
{
    uint32_t maxHeaderBytes = 16384;
    uint64_t maxBodyBytes = 4194304;
    /// Time from the first byte of a request to the end of its header.
    Duration headerTimeout = std::chrono::seconds{3};
    /// Time without a request on a connection, and maximum time to read a request's body.
    Duration idleTimeout = std::chrono::seconds{15};
};

/// One complete version of the routes, services, limits and client accounts, as applied by an operator.
struct ServingConfig
{
    /// Increases with each configuration; the highest one is in force.
    uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    CallerLimits limits;
    std::vector<ClientAccount> accounts;
    /// Whether requests to routes that are not public need a key.
    bool hasAccounts = false;
};

/// Reason why a configuration is rejected.
enum class ConfigErrorKind {
    Unreadable,
    MissingField,
    UnknownService,
    DuplicateRoute,
    NoWeight,
    NoTimeout,
    BadPrefix,
    SharedKey
};

/// The first error that was found in a configuration.
struct ConfigError
{
    ConfigErrorKind kind = ConfigErrorKind::Unreadable;
    /// Name of the route, account or field that is wrong.
    std::string subject;
};

/// Returns the error as text for logs.
std::string describe(const ConfigError &error);

/// Checks references between routes, services and accounts, and the values of each route. Returns the first
/// error, or nothing if the configuration is valid.
std::optional<ConfigError> validate(const ServingConfig &config);

} // namespace eelgrasslift
