#include "libgateway/memoryforecast.h"

#include "libgateway/generationtime.h"

#include <algorithm>

namespace eelgrasslift {

MemoryForecast MemoryForecast::forGeneration(const GenerationSize &size, double madeTokens)
{
    const OutputLengthDistribution length(size);
    MemoryForecast forecast;
    for (size_t i = 0; i < Seconds.size(); ++i) {
        const double tokens = madeTokens + Seconds[i] / SecondsPerToken;
        forecast.held[i] = (size.promptTokens + tokens) * length.survival(tokens, madeTokens);
    }
    return forecast;
}

MemoryForecast &MemoryForecast::operator+=(const MemoryForecast &other)
{
    for (size_t i = 0; i < this->held.size(); ++i)
        this->held[i] += other.held[i];
    return *this;
}

MemoryForecast &MemoryForecast::operator-=(const MemoryForecast &other)
{
    for (size_t i = 0; i < this->held.size(); ++i)
        this->held[i] = std::max(this->held[i] - other.held[i], 0.0);
    return *this;
}

double MemoryForecast::peak() const
{
    return *std::ranges::max_element(this->held);
}

} // namespace eelgrasslift
