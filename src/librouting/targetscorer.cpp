#include "librouting/targetscorer.h"

#include <algorithm>

namespace eelgrasslift {

namespace {

// Fraction of the memory that the forecast peak may reach at stall-weight 0 and 100.
constexpr double MinMemoryLimit = 0.65;
constexpr double MaxMemoryLimit = 0.90;
// Additional fraction for a request that is about to miss its deadline.
constexpr double UrgencyAllowance = 0.10;
// Additional fraction for a request that needs almost no memory; it falls to 0 for one that is expected to
// need LargeRequestFraction of the target's memory. Short requests must not wait for memory that long ones
// occupy.
constexpr double SmallRequestAllowance = 0.20;
constexpr double LargeRequestFraction = 0.02;
// Weights of the other terms of the score; the forecast peak has weight 1.
constexpr double LoadWeight = 0.5;
constexpr double PenaltyWeight = 1.0;
constexpr double PreemptionWeight = 0.1;

} // namespace

TargetScorer::TargetScorer(uint32_t stallWeight, const OutlierDetector &outliers, const PrefixIndex &prefixes)
    : stallWeight(stallWeight)
    , outliers(outliers)
    , prefixes(prefixes)
{}

void TargetScorer::removeFromForecast(TargetState &target)
{
    for (size_t i = 0; i < this->totalOwnForecast.size(); ++i)
        this->totalOwnForecast[i] -= target.countedForecast[i];
    target.countedForecast = {};
}

double TargetScorer::expectedGrowth(size_t horizon) const
{
    return this->totalOwnForecast[0] > 0 ? this->totalOwnForecast[horizon] / this->totalOwnForecast[0] : 1.0;
}

double TargetScorer::memoryPeak(TargetState &target, const TargetLoad::Forecast &request, TimePoint now)
{
    const TargetLoad::Forecast &own = target.load.ownForecast(now);
    for (size_t i = 0; i < own.size(); ++i) {
        this->totalOwnForecast[i] += own[i] - target.countedForecast[i];
        target.countedForecast[i] = own[i];
    }
    const double memoryOfOthers = target.load.otherMemory(now);
    double peak = 0;
    for (size_t i = 0; i < own.size(); ++i)
        peak = std::max(peak, own[i] + request[i] + memoryOfOthers * this->expectedGrowth(i));
    return peak / (target.load.memoryTotal(target.settings.memory) * target.slowStartFactor(now));
}

double TargetScorer::headroomLimit(const SelectRequest &request, double requestPeak) const
{
    const double weight = std::min(this->stallWeight, 100U) / 100.0;
    const double limit = MinMemoryLimit + (MaxMemoryLimit - MinMemoryLimit) * weight;
    return limit + UrgencyAllowance * std::clamp(request.urgency, 0.0, 1.0) +
           SmallRequestAllowance * std::clamp(1 - requestPeak / LargeRequestFraction, 0.0, 1.0);
}

TargetScorer::Candidate TargetScorer::evaluate(uint32_t index, TargetState &target,
                                               const SelectRequest &request,
                                               const TargetLoad::Forecast &forecast, TimePoint now)
{
    const bool isEngine = target.settings.kind == TargetKind::Engine;
    Candidate candidate;
    candidate.target = index;
    candidate.load = target.slotLoad(now);
    const double peak = isEngine ? this->memoryPeak(target, forecast, now) : 0;
    const double requestPeak = *std::max_element(forecast.begin(), forecast.end()) / target.settings.memory;
    candidate.cachedFraction = request.prefixHashes.empty()
                                       ? 0
                                       : this->prefixes.expectedCachedFraction(index, request.prefixHashes);
    candidate.score = peak + LoadWeight * candidate.load +
                      PenaltyWeight * this->outliers.penalty(target.settings.id, now) +
                      PreemptionWeight * target.load.preemptionLevel(now);
    // An idle target accepts any request; otherwise a request that exceeds the limit would never run.
    const bool isIdle = target.load.ownInFlight() == 0 && candidate.load == 0;
    const double slots = target.settings.slots * target.slowStartFactor(now);
    candidate.hasHeadroom = isIdle || (!target.load.isQueueing(now) && candidate.load * slots + 1 <= slots &&
                                       peak <= this->headroomLimit(request, requestPeak));
    return candidate;
}

} // namespace eelgrasslift
