#pragma once

#include "eelgrasslift/endpoint.h"
#include "libcore/core.h"

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace eelgrasslift {

/// Where a process runs and what its surroundings promise; read at the start and at each reload.
struct NodeSettings
{
    std::string name;
    std::string domain;
    std::string ip;
    std::optional<Endpoint> callerListen;
    std::optional<Endpoint> readinessListen;
    std::optional<Endpoint> operatorListen;
    /// First and last port for the processes' own exchange.
    uint16_t firstInternalPort = 0;
    uint16_t lastInternalPort = 0;
    /// Operator addresses of some control members.
    std::vector<Endpoint> seeds;
    /// The whole system starts for the first time, with empty disks.
    bool isBootstrap = false;
    std::filesystem::path dataFolder;
    /// Counted VMs that may be lost at once.
    uint32_t toleratedFailures = 1;
    std::optional<Endpoint> fleetListEndpoint;
    /// Calls to the list of runners per second that all processes may make together.
    double fleetCallsPerSecond = 1;
    /// Time from SIGTERM to SIGKILL.
    Duration gracePeriod = std::chrono::seconds{8};
    double retryBudgetRatio = 0.2;
    double retryBudgetExtra = 0;
    Duration retryBudgetWindow = std::chrono::seconds{10};
};

struct SettingsError
{
    enum class Kind { Unreadable, Missing, Malformed };
    Kind kind = Kind::Unreadable;
    /// The field or file concerned.
    std::string subject;
    std::string value;
};

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
    return "setting " + error.subject + " has the value \"" + error.value + "\", which cannot be read";
}

} // namespace eelgrasslift
