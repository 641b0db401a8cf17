#pragma once

#include "libcore/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrasslift {

struct OutlierOptions
{
    /// Consecutive failures that eject a target; a stall ejects at once.
    uint32_t failures = 3;
    Duration firstEjection = std::chrono::seconds{1};
    Duration longestEjection = std::chrono::seconds{60};
    /// A probe whose result never arrives is forgotten after this time.
    Duration probeTimeout = std::chrono::seconds{30};
};

/// Ejects targets that fail repeatedly or stall, doubling the time, and lets one probe request through
/// before it readmits a target.
class OutlierDetector
{
public:
    enum class State { Available, Ejected, ProbeDue, Probing };

    explicit OutlierDetector(OutlierOptions options = {});

    void recordSuccess(std::string_view target, TimePoint now);
    void recordFailure(std::string_view target, TimePoint now);
    void recordStall(std::string_view target, TimePoint now);

    /// Marks the next request to a target in state ProbeDue as its probe. Returns false if there is no probe
    /// to send.
    bool beginProbe(std::string_view target, TimePoint now);

    /// The probe ended without a result, for example because its caller left: another one is due.
    void cancelProbe(std::string_view target);

    State state(std::string_view target, TimePoint now) const;

    /// When an ejected target may be probed.
    std::optional<TimePoint> ejectedUntil(std::string_view target) const;

    /// Recent failures, 0 (none) to 1; fades with a half-life of 10 s.
    double penalty(std::string_view target, TimePoint now) const;

    void remove(std::string_view target);
    size_t size() const { return this->records.size(); }

private:
    struct Record
    {
        uint32_t consecutiveFailures = 0;
        uint32_t ejections = 0;
        bool isEjected = false;
        TimePoint ejectedUntil{};
        std::optional<TimePoint> probeStarted;
        double failureLevel = 0;
        TimePoint failureLevelAt{};
    };

    void raisePenalty(Record &record, TimePoint now) const;
    void eject(Record &record, TimePoint now) const;

    OutlierOptions options;
    /// Holds only targets with a recent failure.
    std::map<std::string, Record, std::less<>> records;
};

} // namespace eelgrasslift
