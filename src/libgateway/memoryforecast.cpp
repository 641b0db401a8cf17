#include "libgateway/memoryforecast.h"

#include "libgateway/generationtime.h"

#include <algorithm>

namespace eelgrasslift {

MemoryForecast MemoryForecast::forGeneration(const GenerationSize &size, double generatedTokens)
{
    const OutputLengthDistribution length(size);
    MemoryForecast forecast;
    for (size_t i = 0; i < SampleSeconds.size(); ++i) {
        const double tokens = generatedTokens + SampleSeconds[i] / SecondsPerToken;
        forecast.samples[i] = (size.promptTokens + tokens) * length.survival(tokens, generatedTokens);
    }
    return forecast;
}

MemoryForecast &MemoryForecast::operator+=(const MemoryForecast &other)
{
    for (size_t i = 0; i < this->samples.size(); ++i)
        this->samples[i] += other.samples[i];
    return *this;
}

MemoryForecast &MemoryForecast::operator-=(const MemoryForecast &other)
{
    for (size_t i = 0; i < this->samples.size(); ++i)
        this->samples[i] = std::max(this->samples[i] - other.samples[i], 0.0);
    return *this;
}

double MemoryForecast::peak() const
{
    return *std::ranges::max_element(this->samples);
}

} // namespace eelgrasslift
