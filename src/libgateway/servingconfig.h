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
    /// The response is a stream of events; idempotent only if the stream can be resumed.
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
    /// Maximum time from the arrival of a request to the end of its response; a caller can set a shorter one.
    Duration timeout{};
    /// Objective for the time from the arrival of a request to the end of its response, or to the first event
    /// of a stream.
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
    /// Size of the KV cache, in tokens.
    uint64_t memoryTokens = 0;
    /// Size of one token in the KV cache, in bytes.
    uint64_t bytesPerToken = 0;
    /// Can copy the KV cache of a running generation to another runner.
    bool supportsMigration = false;
    /// Can keep an incremental copy of a running generation's KV cache at another runner.
    bool supportsBackup = false;
    /// Number of tokens in one event of a stream.
    uint32_t tokensPerEvent = 1;
};

/// A set of interchangeable runners.
struct Service
{
    std::string name;
    /// Path of the health checks of model runners; empty: none.
    std::string healthPath;
    /// Maximum number of connections to one runner, as stated by the configuration; 0: none. Not enforced.
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
    /// Maximum time to read a request's body. Intended for connections without a request as well, but not in
    /// effect while a connection waits for the first byte of a request.
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
    Unreadable,     ///< The text cannot be parsed.
    MissingField,   ///< A required field is missing, or a field has the wrong type or an invalid value.
    UnknownService, ///< A route names a service that is not configured.
    DuplicateRoute, ///< Two routes have the same host and path prefix.
    NoWeight,       ///< The weights of a route's services add up to 0.
    NoTimeout,      ///< The timeout of a route is not positive.
    BadPrefix,      ///< The path prefix of a route does not begin and end with a slash.
    SharedKey       ///< Two accounts have the same key.
};

/// The first error that was found in a configuration.
struct ConfigError
{
    ConfigErrorKind kind = ConfigErrorKind::Unreadable;
    /// Name of the route, account or field with the error.
    std::string subject;
};

/// Returns the error as text for logs.
std::string describe(const ConfigError &error);

/// Checks references between routes, services and accounts, and the values of each route. Returns the first
/// error, or nothing if the configuration is valid.
std::optional<ConfigError> validate(const ServingConfig &config);

} // namespace eelgrasslift
