#pragma once

#include "librouting/outlierdetector.h"
#include "librouting/prefixindex.h"
#include "librouting/targetstate.h"

#include <cstdint>

namespace eelgrasslift {

/// Scores targets for a request by their expected load, and decides whether they have headroom for it.
///
/// The outlier detector and the prefix index must outlive the scorer.
class TargetScorer
{
public:
    /// Result of evaluate() for one target.
    struct Candidate
    {
        /// Index of the target in TargetSelector.
        uint32_t target = 0;
        /// Requests in flight of all entries, as a fraction of the usable slots.
        double load = 0;
        /// Lower is better.
        double score = 0;
        /// Expected fraction of the prompt in the target's prefix cache; not part of the score.
        double cachedFraction = 0;
        /// Whether the target may take the request now.
        bool hasHeadroom = false;
    };

    /// `stallWeight` is FleetRule::stallWeight, 0..100.
    TargetScorer(uint32_t stallWeight, const OutlierDetector &outliers, const PrefixIndex &prefixes);

    /// Replaces the stall weight.
    void setStallWeight(uint32_t weight) { this->stallWeight = weight; }

    /// Subtracts a target from the forecast of all own runs. TargetSelector calls it before it replaces the
    /// state.
    void removeFromForecast(TargetState &target);

    /// Scores one target for a request. `forecast` is TargetLoad::requestForecast() of the request.
    Candidate evaluate(uint32_t index, TargetState &target, const SelectRequest &request,
                       const TargetLoad::Forecast &forecast, TimePoint now);

private:
    /// Peak of the forecast memory use with the request added, as a fraction of the usable memory.
    double memoryPeak(TargetState &target, const TargetLoad::Forecast &request, TimePoint now);
    /// Largest memory peak at which a target may take the request. `requestPeak` is the request's own peak as
    /// a fraction of the target's memory.
    double headroomLimit(const SelectRequest &request, double requestPeak) const;
    /// Factor by which the memory of other entries' runs is expected to have grown at the horizon.
    double expectedGrowth(size_t horizon) const;

    uint32_t stallWeight;
    const OutlierDetector &outliers;
    const PrefixIndex &prefixes;
    /// Forecast of all own runs together; the runs of other entries are assumed to grow in the same
    /// proportion.
    TargetLoad::Forecast totalOwnForecast{};
};

} // namespace eelgrasslift
