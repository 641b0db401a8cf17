#pragma once

#include "librouting/outlierdetector.h"
#include "librouting/prefixindex.h"
#include "librouting/targetstate.h"

#include <cstdint>

namespace eelgrasslift {

/// Rates a target for a request: how full it would be, and whether it has headroom.
class TargetScorer
{
public:
    struct Candidate
    {
        uint32_t target = 0;
        /// Requests in flight as a share of the slots.
        double load = 0;
        /// Lower is better.
        double score = 0;
        /// Expected share of the prompt in the target's prefix cache; not part of the score.
        double cachedShare = 0;
        bool hasHeadroom = false;
    };

    TargetScorer(uint32_t stallWeight, const OutlierDetector &outliers, const PrefixIndex &prefixes);

    void setStallWeight(uint32_t weight) { this->stallWeight = weight; }

    /// Takes a target out of the forecast of all own runs; called before its state is replaced.
    void forget(TargetState &target);

    Candidate evaluate(uint32_t index, TargetState &target, const SelectRequest &request,
                       const TargetLoad::Forecast &forecast, TimePoint now);

private:
    double memoryPeak(TargetState &target, const TargetLoad::Forecast &request, TimePoint now);
    double headroomLimit(const SelectRequest &request, double ownPeak) const;
    double growthOfOthers(size_t horizon) const;

    uint32_t stallWeight;
    const OutlierDetector &outliers;
    const PrefixIndex &prefixes;
    /// Forecast of all own runs together; its growth stands for that of other entries' runs.
    TargetLoad::Forecast ownTotal{};
};

} // namespace eelgrasslift
