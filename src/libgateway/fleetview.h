#pragma once

#include "libcore/core.h"
#include "libgateway/memoryforecast.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eelgrasslift {

/// Load report of a model runner; some hundred milliseconds old when it arrives.
struct RunnerReport
{
    /// Number of requests that wait in the runner's queue.
    uint32_t queueDepth = 0;
    /// Number of running generations.
    uint32_t running = 0;
    /// Memory that the runner cannot evict, in tokens.
    uint64_t memoryUsed = 0;
    /// Size of the memory, in tokens.
    uint64_t memoryTotal = 0;
    /// The runner has received the notice that it will be stopped.
    bool isLeaving = false;
    /// Time until the runner stops, if it reports one.
    std::optional<Duration> timeUntilStop;
};

/// A runner in the platform's list, with its last report and the results of polling it.
struct RunnerEntry
{
    std::string id;
    std::string service;
    /// ip:port
    std::string address;
    /// Failure domain.
    std::string domain;
    /// Maximum number of requests that run at the same time.
    uint32_t slots = 1;
    /// The list or a report states that the runner will be stopped.
    bool isLeaving = false;
    /// Failed health checks indicate that the runner is leaving; cleared when they pass again or reports
    /// contradict them.
    bool seemsLeaving = false;
    /// Time until the runner reaches full speed after its start.
    Duration warmUpRemaining{};
    /// Start of the runner in Unix milliseconds; distinguishes restarts under the same id. 0: unknown.
    int64_t startedAtMs = 0;
    std::optional<RunnerReport> report;
    /// The last report requests failed: the runner is down, or the process that polls it cannot reach it.
    bool isUnresponsive = false;

    /// Whether the runner is leaving or seems to be; it gets no new requests then.
    bool isExpectedToLeave() const { return this->isLeaving || this->seemsLeaving; }
};

/// Requests in flight on one runner.
struct RunnerLoad
{
    uint32_t activeRequests = 0;
    /// Memory that generations and backups are expected to occupy.
    MemoryForecast memory;
    /// Prompt tokens of generations that have not produced their first event.
    double prefillTokens = 0;

    RunnerLoad &operator+=(const RunnerLoad &other)
    {
        this->activeRequests += other.activeRequests;
        this->memory += other.memory;
        this->prefillTokens += other.prefillTokens;
        return *this;
    }

    /// Subtracts a load that was added before. Clamps at zero, since the load of a process that restarts
    /// drops out at once.
    RunnerLoad &operator-=(const RunnerLoad &other)
    {
        this->activeRequests -= std::min(this->activeRequests, other.activeRequests);
        this->memory -= other.memory;
        this->prefillTokens = std::max(this->prefillTokens - other.prefillTokens, 0.0);
        return *this;
    }
};

} // namespace eelgrasslift
