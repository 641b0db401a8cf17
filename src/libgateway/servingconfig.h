#pragma once

#include "libcore/core.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eelgrasslift {

enum class RouteKind {
    Idempotent,
    NonIdempotent,
    /// A stream of events; idempotent only if it can be resumed.
    Streaming
};

struct WeightedService
{
    std::string service;
    uint32_t weight = 1;
};

struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::NonIdempotent;
    Duration timeout{};
    /// Latency objective: the whole answer, or the first event of a stream.
    Duration latencyObjective{};
    /// Longest pause between two events of a stream that is still on time.
    Duration pauseLimit{};
    /// 0 is the most urgent.
    uint32_t priority = 0;
    std::vector<WeightedService> services;
    uint32_t maxAttempts = 1;
    bool isPublic = false;
    bool isResumable = false;
    /// Requests of this route carry a prompt and are generations of a model engine.
    bool isGeneration = false;

    bool isIdempotent() const
    {
        return this->kind == RouteKind::Idempotent ||
               (this->kind == RouteKind::Streaming && this->isResumable);
    }
};

/// What the runners of a model service can do.
struct EngineTraits
{
    uint32_t slots = 1;
    uint64_t memoryTokens = 0;
    uint64_t bytesPerToken = 0;
    bool supportsMigration = false;
    bool supportsBackup = false;
    uint32_t tokensPerEvent = 1;
};

struct Service
{
    std::string name;
    std::string healthPath;
    uint32_t maxConnections = 0;
    std::optional<EngineTraits> engine;
};

struct ClientAccount
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<uint32_t> priority;
};

/// Bounds on what a caller may send and how long it may stay idle.
struct CallerLimits
{
    uint32_t maxHeaderBytes = 16384;
    uint64_t maxBodyBytes = 4194304;
    Duration headerTimeout = std::chrono::seconds{3};
    Duration idleTimeout = std::chrono::seconds{15};
};

/// One complete version of the routes, services and client accounts that operators put in force.
struct ServingConfig
{
    uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    CallerLimits limits;
    std::vector<ClientAccount> accounts;
    /// Whether requests need a key at all.
    bool hasAccounts = false;
};

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

struct ConfigError
{
    ConfigErrorKind kind = ConfigErrorKind::Unreadable;
    /// Name of the route, service or field concerned.
    std::string subject;
};

std::string describe(const ConfigError &error);

/// Checks what concerns more than one field. Returns nothing if the configuration can come into force.
std::optional<ConfigError> validate(const ServingConfig &config);

} // namespace eelgrasslift
