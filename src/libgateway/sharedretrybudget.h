#pragma once

#include "libcore/core.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace eelgrasslift {

/// Limits of a SharedRetryBudget; the same at all gateways.
struct SharedRetryBudgetSettings
{
    /// Retries allowed per request within the window.
    double ratio = 0.2;
    /// Retries allowed within the window beyond the ratio, for all gateways together.
    double sharedRetries = 0;
    Duration window = std::chrono::seconds{10};
    /// Share of the allowed retries that the gateways use. The remainder is a margin for windows that do not
    /// coincide and for gateways that start or stop.
    double usableShare = 0.8;
};

/// Retry budget of one gateway for each service. Limits the retries of all gateways together: each gateway
/// may use the ratio of its own requests and an equal part of the shared retries.
///
/// Load pattern: a service fails many of its requests, and each gateway would retry every one of them.
class SharedRetryBudget
{
public:
    explicit SharedRetryBudget(SharedRetryBudgetSettings settings)
        : settings(settings)
    {}

    /// Sets the number of gateways that share the retries beyond the ratio; 0 counts as 1.
    void setGatewayCount(uint32_t count) { this->gatewayCount = std::max<uint32_t>(count, 1); }

    /// Counts a new request to the service; called once per request, not for its retries.
    void countRequest(std::string_view service, TimePoint now);

    /// Takes one retry out of the service's budget; returns false if none remains in the window.
    bool tryAcquireRetry(std::string_view service, TimePoint now);

private:
    struct Window
    {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };

    Window &windowOf(std::string_view service, TimePoint now);

    SharedRetryBudgetSettings settings;
    uint32_t gatewayCount = 1;
    std::map<std::string, Window, std::less<>> windows;
};

} // namespace eelgrasslift
