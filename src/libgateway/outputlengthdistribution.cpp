#include "libgateway/outputlengthdistribution.h"

#include <algorithm>
#include <cmath>

namespace eelgrasslift {

namespace {

// Standard deviation of the logarithm of length over estimate.
constexpr double EstimateSpread = 1.0;

// Longest answer in multiples of the estimate where the caller states no maximum.
constexpr double MaximumPerEstimate = 8;

// A survival below this is treated as this, so that what follows it stays finite.
constexpr double SmallestSurvival = 1e-4;

constexpr int IntegrationSteps = 16;

} // namespace

OutputLengthDistribution::OutputLengthDistribution(const GenerationSize &size)
    : median(std::max(size.outputTokens, 1.0))
    , maximum(size.maxOutputTokens > 0 ? size.maxOutputTokens : this->median * MaximumPerEstimate)
{}

double OutputLengthDistribution::survival(double tokens) const
{
    if (tokens <= 0)
        return 1;
    if (tokens >= this->maximum)
        return 0;
    const double deviations = std::log(tokens / this->median) / EstimateSpread;
    return std::max(0.5 * std::erfc(deviations / std::sqrt(2.0)), SmallestSurvival);
}

double OutputLengthDistribution::survival(double tokens, double madeTokens) const
{
    if (tokens <= madeTokens)
        return 1;
    return this->survival(tokens) / std::max(this->survival(madeTokens), SmallestSurvival);
}

double OutputLengthDistribution::expectedRemaining(double madeTokens) const
{
    // Trapezoids over the survival between here and the maximum.
    const double step = std::max(this->maximum - madeTokens, 0.0) / IntegrationSteps;
    double sum = 0.5;
    for (int i = 1; i < IntegrationSteps; ++i)
        sum += this->survival(madeTokens + i * step, madeTokens);
    return sum * step;
}

} // namespace eelgrasslift
