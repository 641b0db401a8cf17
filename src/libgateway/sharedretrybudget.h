#pragma once

#include "libcore/core.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace eelgrasslift {

struct SharedRetryBudgetSettings
{
    /// Repeats allowed per request within the window.
    double ratio = 0.2;
    /// Repeats allowed in a window beyond the ratio, over all gateways.
    double extra = 0;
    Duration window = std::chrono::seconds{10};
    /// Part of the shared budget that the gateways use together; the rest covers windows that slide and
    /// gateways that come and go.
    double usableShare = 0.8;
};

/// Bounds repeated sends to a service over all gateways: a gateway may use the ratio of its own requests and
/// an equal part of the shared extra.
///
/// Load pattern: a service fails much of what it gets, and each gateway would repeat every request.
class SharedRetryBudget
{
public:
    explicit SharedRetryBudget(SharedRetryBudgetSettings settings)
        : settings(settings)
    {}

    /// Number of gateways that share the extra; at least 1.
    void setGatewayCount(uint32_t count) { this->gateways = std::max<uint32_t>(count, 1); }

    void countRequest(std::string_view service, TimePoint now);

    /// Takes one repeat; false if the window has none left.
    bool tryAcquireRetry(std::string_view service, TimePoint now);

private:
    struct Window
    {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> repeats;
    };

    Window &windowOf(std::string_view service, TimePoint now);

    SharedRetryBudgetSettings settings;
    uint32_t gateways = 1;
    std::map<std::string, Window, std::less<>> windows;
};

} // namespace eelgrasslift
