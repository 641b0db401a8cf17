#pragma once

#include "libcore/core.h"

#include <optional>

namespace eelgrasslift {

/// Detects from a runner's health checks that it is leaving, before its reports state so.
///
/// Load pattern: runners are stopped at two seconds' notice, and the state of their generations is lost
/// unless it is copied in time. Reports are half a second old when they arrive. Health checks are current,
/// but some runners fail them without a reason while their reports do not change.
class LeavingDetector
{
public:
    /// Records the result of a health check. A passed check resets the detector.
    void recordHealth(bool isHealthy, TimePoint now)
    {
        if (isHealthy) {
            this->unhealthySince.reset();
            this->isRefuted = false;
        } else if (!this->unhealthySince) {
            this->unhealthySince = now;
        }
    }

    /// Records a report. A report that was made after the first failed check and does not state that the
    /// runner is leaving refutes the failed checks until one passes.
    void recordReport(bool isLeaving, TimePoint now)
    {
        if (!isLeaving && this->unhealthySince && now - *this->unhealthySince > MaxReportAge)
            this->isRefuted = true;
    }

    /// Whether health checks fail and no report has refuted them.
    bool seemsLeaving() const { return this->unhealthySince && !this->isRefuted; }

private:
    // A report that arrives this long after a failed health check was made after it.
    static constexpr Duration MaxReportAge = std::chrono::milliseconds{800};

    std::optional<TimePoint> unhealthySince;
    /// Reports contradict the failed health checks.
    bool isRefuted = false;
};

} // namespace eelgrasslift
