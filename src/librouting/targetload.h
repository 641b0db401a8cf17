#pragma once

#include "librouting/lengthestimator.h"
#include "librouting/target.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace eelgrasslift {

/// What one entry knows about the load of one target: its own runs exactly, everything else from lagged
/// reports and gossip.
class TargetLoad
{
public:
    /// Points of the memory forecast, in further tokens per run.
    static constexpr std::array<double, 9> Horizons{0, 64, 256, 512, 1024, 2048, 4096, 8192, 16384};
    using Forecast = std::array<double, Horizons.size()>;

    /// Adds an own run and returns its slot, which stays valid until finish().
    uint32_t start(const LengthProfile &profile, const SelectRequest &request, TimePoint now);
    void recordProgress(uint32_t slot, uint32_t tokens);
    void finish(uint32_t slot);

    /// Takes a report; returns false if it is older than the last one or repeats it.
    bool applyReport(const LoadReport &report, TimePoint now);
    void setPeerUsage(uint32_t peer, const TargetUsage &use, TimePoint now);
    void removePeerUse(uint32_t peer);
    /// Forgets reports and peers, for a target that was gone.
    void reset();

    uint32_t ownInFlight() const { return this->ownCount; }
    double ownMemory() const { return this->memoryOfOwn; }
    uint32_t aloneCount() const { return this->alone; }

    /// Requests of other entries, from the last report and gossip.
    double otherInFlight(TimePoint now) const;
    double otherMemory(TimePoint now) const;
    /// Whether requests waited inside the engine at the last report, if that is recent.
    bool isQueueing(TimePoint now) const;
    bool isReservedByPeer(TimePoint now) const;

    /// Memory that one request is expected to hold after each horizon.
    static Forecast requestForecast(const LengthProfile &profile, const SelectRequest &request);
    /// Recomputed after a start or finish, and for progress at most every 100 ms.
    const Forecast &ownForecast(TimePoint now);

    /// Recent preemptions on the target, fading with the reports' half-life.
    double preemptionLevel(TimePoint now) const;
    /// Memory by the last report if that is less than configured; an engine may have lost some to adapters.
    double memoryTotal(double configured) const;

    size_t byteSize() const;

private:
    struct OwnRun
    {
        const LengthProfile *profile = nullptr;
        float promptTokens = 0;
        float produced = 0;
        float maxTokens = 0;
        float memoryPerToken = 1;
        bool isUsed = false;
        bool isAlone = false;
        TimePoint startedAt{};
    };

    struct PeerUse
    {
        uint32_t peer = 0;
        uint32_t inFlight = 0;
        float memory = 0;
        bool isReserved = false;
        TimePoint heardAt{};
    };

    static void addForecast(Forecast &forecast, const OwnRun &run);

    std::vector<OwnRun> runs;
    std::vector<PeerUse> peers;
    uint32_t ownCount = 0;
    uint32_t alone = 0;
    double memoryOfOwn = 0;
    Forecast forecast{};
    bool isForecastStale = true;
    TimePoint forecastAt{};

    LoadReport report;
    std::optional<TimePoint> receivedAt;
    /// Smallest seen difference between receipt and engine time, which cancels the clock difference.
    int64_t smallestDelayMs = 0;
    /// When the state in the report was current, on our clock.
    TimePoint reportTime{};
    double othersAtReport = 0;
    double otherMemoryAtReport = 0;
    double preemptions = 0;
    TimePoint preemptionsAt{};
};

} // namespace eelgrasslift
