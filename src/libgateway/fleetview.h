#pragma once

#include "libcore/core.h"
#include "libgateway/memoryforecast.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eelgrasslift {

/// What a runner says of its own load; some hundred milliseconds old when it arrives.
struct RunnerReport
{
    uint32_t queueDepth = 0;
    uint32_t running = 0;
    /// Memory that cannot yield, in tokens.
    uint64_t memoryUsed = 0;
    uint64_t memoryTotal = 0;
    bool isLeaving = false;
    /// Time until the runner is gone, if it knows.
    std::optional<Duration> timeUntilStop;
};

/// One runner of the platform's list, with its last report.
struct RunnerEntry
{
    std::string id;
    std::string service;
    /// ip:port
    std::string address;
    std::string domain;
    uint32_t slots = 1;
    bool isLeaving = false;
    /// Its health answers say so, but nothing else yet; may be taken back.
    bool seemsLeaving = false;
    /// How much longer the runner stays slow after its start.
    Duration warmUpRemaining{};
    /// Start of the runner, Unix milliseconds; tells two starts under one id apart. 0: unknown.
    int64_t startedAtMs = 0;
    std::optional<RunnerReport> report;
    /// The last questions for a report got no answer: the runner is down or cut off from whoever asks.
    bool isUnresponsive = false;

    bool isExpectedToLeave() const { return this->isLeaving || this->seemsLeaving; }
};

/// Work in flight on one runner.
struct RunnerLoad
{
    uint32_t activeRequests = 0;
    MemoryForecast memory;
    /// Prompt tokens of runs that have not produced their first event.
    double prefillTokens = 0;

    RunnerLoad &operator+=(const RunnerLoad &other)
    {
        this->activeRequests += other.activeRequests;
        this->memory += other.memory;
        this->prefillTokens += other.prefillTokens;
        return *this;
    }

    /// Takes off what was added before; never below zero, as loads of a restarted process vanish at once.
    RunnerLoad &operator-=(const RunnerLoad &other)
    {
        this->activeRequests -= std::min(this->activeRequests, other.activeRequests);
        this->memory -= other.memory;
        this->prefillTokens = std::max(this->prefillTokens - other.prefillTokens, 0.0);
        return *this;
    }
};

} // namespace eelgrasslift
