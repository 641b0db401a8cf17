#pragma once

#include "libcore/core.h"

#include <optional>

namespace eelgrasslift {

/// Tells from a runner's answers to health checks that it is leaving, before its report says so.
///
/// Load pattern: runners are taken away at two seconds' notice, and all that their generations have made is
/// lost unless it is copied in time. Reports are half a second old when they arrive. Health answers are of
/// now, but some runners call themselves unhealthy for no reason; their reports go on as before.
class LeavingDetector
{
public:
    void recordHealth(bool isHealthy, TimePoint now)
    {
        if (isHealthy) {
            this->unhealthySince.reset();
            this->isDoubted = false;
        } else if (!this->unhealthySince) {
            this->unhealthySince = now;
        }
    }

    void recordReport(bool isLeaving, TimePoint now)
    {
        if (!isLeaving && this->unhealthySince && now - *this->unhealthySince > LongestReportAge)
            this->isDoubted = true;
    }

    bool seemsLeaving() const { return this->unhealthySince && !this->isDoubted; }

private:
    // A report made when the health answer came has arrived by then.
    static constexpr Duration LongestReportAge = std::chrono::milliseconds{800};

    std::optional<TimePoint> unhealthySince;
    /// The reports do not bear out what the health answers say.
    bool isDoubted = false;
};

} // namespace eelgrasslift
