#pragma once

#include "libcore/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrasslift {

/// Settings of OutlierDetector.
struct OutlierOptions
{
    /// Number of consecutive failures that ejects a target. A stall ejects at once.
    uint32_t failureThreshold = 3;
    /// Length of the first ejection. Each further ejection lasts twice as long, up to maxEjectionTime. The
    /// length is reset by a success that is recorded while penalty() is below 0.05.
    Duration initialEjectionTime = std::chrono::seconds{1};
    Duration maxEjectionTime = std::chrono::seconds{60};
    /// Time after which a probe without a result is abandoned and another one becomes due.
    Duration probeTimeout = std::chrono::seconds{30};
};

/// Ejects targets that fail repeatedly or stall, with exponential back-off, and readmits a target after one
/// successful probe request.
///
/// Single-threaded. Targets without a recorded failure count as available.
class OutlierDetector
{
public:
    enum class State {
        Available,
        Ejected,  ///< Must not get requests.
        ProbeDue, ///< The ejection time is over; the next request is the probe.
        Probing   ///< A probe is in flight; no other requests.
    };

    explicit OutlierDetector(OutlierOptions options = {});

    /// Resets the count of consecutive failures. Readmits an ejected target only if a probe has begun; the
    /// success of a run from before the ejection is ignored.
    void recordSuccess(std::string_view target, TimePoint now);

    /// Records a failure. Ejects the target if a probe is in flight or the number of consecutive failures
    /// reaches the threshold. Does not prolong an ejection in progress.
    void recordFailure(std::string_view target, TimePoint now);

    /// Records a stall and ejects the target at once. Does not prolong an ejection in progress.
    void recordStall(std::string_view target, TimePoint now);

    /// Starts the probe if the target is in state ProbeDue, and returns whether it was; the caller's request
    /// is then the probe.
    bool beginProbe(std::string_view target, TimePoint now);

    /// Ends a probe without a result, for example when its caller disconnects. The next request becomes the
    /// probe.
    void cancelProbe(std::string_view target);

    /// State of the target, which decides whether it may get requests.
    State state(std::string_view target, TimePoint now) const;

    /// Time from which an ejected target may be probed; nullopt if it is not ejected.
    std::optional<TimePoint> ejectedUntil(std::string_view target) const;

    /// Level of recent failures and stalls from 0 (none) to 1, which decays with a half-life of 10 s.
    double penalty(std::string_view target, TimePoint now) const;

    /// Discards the record of a target that was removed.
    void remove(std::string_view target);

    /// Number of targets with recorded failures.
    size_t size() const { return this->records.size(); }

private:
    struct Record
    {
        uint32_t consecutiveFailures = 0;
        uint32_t ejectionCount = 0;
        bool isEjected = false;
        TimePoint ejectedUntil{};
        std::optional<TimePoint> probeStarted;
        double failureLevel = 0;
        TimePoint failureLevelAt{};
    };

    void raisePenalty(Record &record, TimePoint now) const;
    void eject(Record &record, TimePoint now) const;

    OutlierOptions options;
    /// Only targets with recorded failures.
    std::map<std::string, Record, std::less<>> records;
};

} // namespace eelgrasslift
