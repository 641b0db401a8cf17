#pragma once

#include "eelgrasslift/endpoint.h"
#include "libcore/core.h"

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace eelgrasslift {

/// Settings of a gateway or coordinator process on its VM, read at startup. A reload only adds new seeds, at
/// a gateway.
struct NodeSettings
{
    /// Name of the process, unique among all gateways and coordinators.
    std::string name;
    /// Failure domain of the VM.
    std::string domain;
    /// Failure domains of the whole system; empty if they are not known.
    std::vector<std::string> knownDomains;
    /// Address of the VM, at which the other processes reach this one.
    std::string ip;
    /// Where a gateway accepts requests of callers.
    std::optional<Endpoint> callerListen;
    /// Where a gateway answers the load balancer's readiness checks and serves its metrics.
    std::optional<Endpoint> readinessListen;
    /// Where a coordinator accepts requests of operators.
    std::optional<Endpoint> operatorListen;
    /// First and last port for traffic among gateways and coordinators.
    uint16_t firstInternalPort = 0;
    uint16_t lastInternalPort = 0;
    /// Operator endpoints of some control members, of which only the IP addresses are used.
    std::vector<Endpoint> seeds;
    /// The whole system starts for the first time: a seed without stored data bootstraps the cluster.
    bool isBootstrap = false;
    /// Folder of the replicated log and snapshots of a coordinator.
    std::filesystem::path dataFolder;
    /// Number of VMs of control members that may fail at the same time.
    uint32_t toleratedFailures = 1;
    /// The platform's API that lists the runners.
    std::optional<Endpoint> fleetListEndpoint;
    /// Rate limit of that API in requests per second, shared by all processes.
    double fleetCallsPerSecond = 1;
    /// Time from SIGTERM to SIGKILL.
    Duration gracePeriod = std::chrono::seconds{8};
    /// Retries allowed per request within the window.
    double retryBudgetRatio = 0.2;
    /// Retries allowed in a window beyond the ratio, shared by all gateways.
    double retryBudgetExtra = 0;
    Duration retryBudgetWindow = std::chrono::seconds{10};
};

/// Why the settings could not be loaded.
struct SettingsError
{
    enum class Kind { Unreadable, Missing, Malformed };
    Kind kind = Kind::Unreadable;
    /// Name of the setting, or path of the file if it is unreadable.
    std::string subject;
    /// The malformed value.
    std::string value;
};

/// Message for the log.
inline std::string describe(const SettingsError &error)
{
    switch (error.kind) {
    case SettingsError::Kind::Unreadable:
        return "cannot read " + error.subject;
    case SettingsError::Kind::Missing:
        return "setting " + error.subject + " is missing";
    case SettingsError::Kind::Malformed:
        break;
    }
    return "setting " + error.subject + " has the invalid value \"" + error.value + "\"";
}

} // namespace eelgrasslift
