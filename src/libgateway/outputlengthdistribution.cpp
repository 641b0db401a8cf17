#include "libgateway/outputlengthdistribution.h"

#include <algorithm>
#include <cmath>

namespace eelgrasslift {

namespace {

// Standard deviation of the natural logarithm of the ratio of length to estimate.
constexpr double EstimateLogDeviation = 1.0;

// Maximum length as a multiple of the estimate, for callers that state no maximum.
constexpr double DefaultMaximumPerEstimate = 8;

// Lower bound of survival below the maximum, so that conditional probabilities stay finite.
constexpr double MinSurvival = 1e-4;

constexpr int IntegrationSteps = 16;

} // namespace

OutputLengthDistribution::OutputLengthDistribution(const GenerationSize &size)
    : median(std::max(size.outputTokens, 1.0))
    , maximum(size.maxOutputTokens > 0 ? size.maxOutputTokens : this->median * DefaultMaximumPerEstimate)
{}

double OutputLengthDistribution::survival(double tokens) const
{
    if (tokens <= 0)
        return 1;
    if (tokens >= this->maximum)
        return 0;
    const double deviations = std::log(tokens / this->median) / EstimateLogDeviation;
    return std::max(0.5 * std::erfc(deviations / std::sqrt(2.0)), MinSurvival);
}

double OutputLengthDistribution::survival(double tokens, double generatedTokens) const
{
    if (tokens <= generatedTokens)
        return 1;
    return this->survival(tokens) / std::max(this->survival(generatedTokens), MinSurvival);
}

double OutputLengthDistribution::expectedRemaining(double generatedTokens) const
{
    // Integrates survival up to the maximum by the trapezoidal rule.
    const double step = std::max(this->maximum - generatedTokens, 0.0) / IntegrationSteps;
    double sum = 0.5;
    for (int i = 1; i < IntegrationSteps; ++i)
        sum += this->survival(generatedTokens + i * step, generatedTokens);
    return sum * step;
}

} // namespace eelgrasslift
