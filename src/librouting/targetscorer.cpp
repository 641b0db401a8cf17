#include "librouting/targetscorer.h"

#include <algorithm>

namespace eelgrasslift {

namespace {

// Share of the memory that the forecast peak may take, for stall-weight 0 and 100.
constexpr double LeastMemoryLimit = 0.65;
constexpr double MostMemoryLimit = 0.90;
// What a request that is about to miss its deadline may take in addition.
constexpr double UrgencyAllowance = 0.10;
// What a request that needs next to no memory may take in addition, falling to nothing for one that is
// expected to need LargeRequest of the target's memory: labels must not wait for the memory of reports.
constexpr double SmallAllowance = 0.20;
constexpr double LargeRequest = 0.02;
// Weights of the score beside the forecast peak (weight 1).
constexpr double CountWeight = 0.5;
constexpr double PenaltyWeight = 1.0;
constexpr double PreemptionWeight = 0.1;

} // namespace

TargetScorer::TargetScorer(uint32_t stallWeight, const OutlierDetector &outliers, const PrefixIndex &prefixes)
    : stallWeight(stallWeight)
    , outliers(outliers)
    , prefixes(prefixes)
{}

void TargetScorer::forget(TargetState &target)
{
    for (size_t i = 0; i < this->ownTotal.size(); ++i)
        this->ownTotal[i] -= target.counted[i];
    target.counted = {};
}

double TargetScorer::growthOfOthers(size_t horizon) const
{
    return this->ownTotal[0] > 0 ? this->ownTotal[horizon] / this->ownTotal[0] : 1.0;
}

double TargetScorer::memoryPeak(TargetState &target, const TargetLoad::Forecast &request, TimePoint now)
{
    const TargetLoad::Forecast &own = target.load.ownForecast(now);
    for (size_t i = 0; i < own.size(); ++i) {
        this->ownTotal[i] += own[i] - target.counted[i];
        target.counted[i] = own[i];
    }
    const double others = target.load.otherMemory(now);
    double peak = 0;
    for (size_t i = 0; i < own.size(); ++i)
        peak = std::max(peak, own[i] + request[i] + others * this->growthOfOthers(i));
    return peak / (target.load.memoryTotal(target.settings.memory) * target.ramp(now));
}

double TargetScorer::headroomLimit(const SelectRequest &request, double ownPeak) const
{
    const double weight = std::min(this->stallWeight, 100U) / 100.0;
    const double limit = LeastMemoryLimit + (MostMemoryLimit - LeastMemoryLimit) * weight;
    return limit + UrgencyAllowance * std::clamp(request.urgency, 0.0, 1.0) +
           SmallAllowance * std::clamp(1 - ownPeak / LargeRequest, 0.0, 1.0);
}

TargetScorer::Candidate TargetScorer::evaluate(uint32_t index, TargetState &target,
                                               const SelectRequest &request,
                                               const TargetLoad::Forecast &forecast, TimePoint now)
{
    const bool isEngine = target.settings.kind == TargetKind::Engine;
    Candidate candidate;
    candidate.target = index;
    candidate.load = target.countLoad(now);
    const double peak = isEngine ? this->memoryPeak(target, forecast, now) : 0;
    const double ownPeak = *std::max_element(forecast.begin(), forecast.end()) / target.settings.memory;
    candidate.cachedShare =
            request.prefixHashes.empty() ? 0 : this->prefixes.matchedShare(index, request.prefixHashes);
    candidate.score = peak + CountWeight * candidate.load +
                      PenaltyWeight * this->outliers.penalty(target.settings.id, now) +
                      PreemptionWeight * target.load.preemptionLevel(now);
    // An idle target takes any request: otherwise one that is larger than the limit would never run.
    const bool isIdle = target.load.ownInFlight() == 0 && candidate.load == 0;
    const double slots = target.settings.slots * target.ramp(now);
    candidate.hasHeadroom = isIdle || (!target.load.isQueueing(now) && candidate.load * slots + 1 <= slots &&
                                       peak <= this->headroomLimit(request, ownPeak));
    return candidate;
}

} // namespace eelgrasslift
