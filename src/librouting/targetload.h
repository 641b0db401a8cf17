#pragma once

#include "librouting/lengthestimator.h"
#include "librouting/target.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace eelgrasslift {

/// Load of one target as known to this entry: its own runs exactly, the runs of other entries estimated from
/// delayed load reports and gossip.
///
/// Memory is KV cache in memory units, as in ModelRule::memoryPerToken.
class TargetLoad
{
public:
    /// Points of the memory forecast, as the number of further tokens that each run generates.
    static constexpr std::array<double, 9> Horizons{0, 64, 256, 512, 1024, 2048, 4096, 8192, 16384};
    /// Expected memory use at each point of Horizons.
    using Forecast = std::array<double, Horizons.size()>;

    /// Adds a run of this entry and returns its slot, which stays valid until finish(). `distribution` must
    /// outlive the run.
    uint32_t start(const LengthDistribution &distribution, const SelectRequest &request, TimePoint now);
    /// Sets the number of tokens that the run has generated so far.
    void recordProgress(uint32_t slot, uint32_t tokens);
    /// Removes the run.
    void finish(uint32_t slot);

    /// Stores a report. Returns false and ignores it if it is not newer than the last one of the same
    /// incarnation.
    bool applyReport(const LoadReport &report, TimePoint now);
    /// Replaces the usage that a peer advertised; it expires after 5 s. `peer` is the number that
    /// TargetSelector assigned to the peer.
    void setPeerUsage(uint32_t peer, const TargetUsage &usage, TimePoint now);
    /// Removes the usage of a peer that no longer advertises any.
    void removePeerUsage(uint32_t peer);
    /// Discards the reports and the peers' usage, for a leaving target that is reinstated.
    void reset();

    /// Number of this entry's runs.
    uint32_t ownInFlight() const { return this->ownRunCount; }
    /// Memory that this entry's runs occupy now.
    double ownMemory() const { return this->ownRunMemory; }
    /// Number of this entry's runs that require isolation.
    uint32_t isolatedRunCount() const { return this->isolatedRuns; }

    /// Estimated requests of other entries: the number in the last report, which approaches the number that
    /// they advertise by gossip with a half-life of 2 s.
    double otherInFlight(TimePoint now) const;
    /// Estimated memory that requests of other entries occupy, computed in the same way, but at least what
    /// they advertise by gossip.
    double otherMemory(TimePoint now) const;
    /// Whether the last report shows requests in the engine's own queue and is less than 1 s old.
    bool isQueueing(TimePoint now) const;
    /// Whether another entry runs a suspect on the target or has reserved the target for one.
    bool isReservedByPeer(TimePoint now) const;

    /// Expected memory use of one new request.
    static Forecast requestForecast(const LengthDistribution &distribution, const SelectRequest &request);
    /// Expected memory use of this entry's runs. Recomputed after a start or finish, and for progress at most
    /// every 100 ms.
    const Forecast &ownForecast(TimePoint now);

    /// Number of recent preemptions on the target, decayed with a half-life of 2 s.
    double preemptionLevel(TimePoint now) const;
    /// Total memory: the smaller of `configured` and the last report, since adapters may occupy a part of it.
    double memoryTotal(double configured) const;

    /// Approximate memory use in bytes.
    size_t byteSize() const;

private:
    /// A slot for one run of this entry.
    struct OwnRun
    {
        const LengthDistribution *distribution = nullptr;
        float promptTokens = 0;
        float generatedTokens = 0;
        float maxTokens = 0;
        float memoryPerToken = 1;
        bool isUsed = false;
        bool isIsolated = false;
        TimePoint startedAt{};
    };

    struct PeerUsage
    {
        uint32_t peer = 0;
        uint32_t inFlight = 0;
        float memory = 0;
        bool isReserved = false;
        TimePoint updatedAt{};
    };

    /// Adds the expected memory use of one run to the forecast.
    static void addForecast(Forecast &forecast, const OwnRun &run);

    std::vector<OwnRun> runs;
    std::vector<PeerUsage> peers;
    uint32_t ownRunCount = 0;
    uint32_t isolatedRuns = 0;
    double ownRunMemory = 0;
    Forecast forecast{};
    bool isForecastStale = true;
    TimePoint forecastAt{};

    LoadReport report;
    std::optional<TimePoint> receivedAt;
    /// Minimum of receive time minus report time over all reports of the incarnation. Subtracting it from a
    /// report's difference cancels the clock offset.
    int64_t minDelayMs = 0;
    /// Estimated time of the last report by this entry's clock.
    TimePoint reportTime{};
    /// Load of other entries at reportTime: the reported load less that of this entry's runs.
    double otherRequestsAtReport = 0;
    double otherMemoryAtReport = 0;
    double preemptions = 0;
    TimePoint preemptionsAt{};
};

} // namespace eelgrasslift
