#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;

namespace {

const GenerationSize LongGeneration{3000, 750, 1768};

} // namespace

TEST_CASE("A generation occupies its prompt at the start and nothing after its maximum length",
          "[memoryforecast]")
{
    const auto forecast = MemoryForecast::forGeneration(LongGeneration, 0);
    CHECK(forecast.currentTokens() == Approx(3000));
    CHECK(forecast.peak() < 3000 + 1768);
    CHECK(forecast.tokens().back() < forecast.currentTokens());
    const auto longRunning = MemoryForecast::forGeneration(LongGeneration, 1700);
    CHECK(longRunning.currentTokens() == Approx(4700));
    CHECK(longRunning.tokens().back() == 0);
}

// Load pattern: the generations on one runner started at different times. The sum of their final sizes is
// never in use at once, so a runner whose memory equals that sum has free memory.
TEST_CASE("Generations that started at different times need less than their final sizes", "[memoryforecast]")
{
    MemoryForecast total;
    double finalSizes = 0;
    for (const double generatedTokens : {0.0, 200.0, 400.0, 600.0, 800.0, 1000.0}) {
        total += MemoryForecast::forGeneration(LongGeneration, generatedTokens);
        finalSizes += LongGeneration.promptTokens +
                      OutputLengthDistribution(LongGeneration).expectedLength(generatedTokens);
    }
    CHECK(total.peak() < 0.95 * finalSizes);
    CHECK(total.peak() >= 6 * 3000 + 3000);
}

TEST_CASE("A forecast that was added to another can be subtracted again", "[memoryforecast]")
{
    MemoryForecast sum(100);
    const auto one = MemoryForecast::forGeneration(LongGeneration, 40);
    sum += one;
    sum -= one;
    for (const double tokens : sum.tokens())
        CHECK(tokens == Approx(100));
    sum -= one;
    CHECK(sum.peak() == 0);
}

// Guards against using the caller's estimate as the length: a generation that has exceeded it is likely to
// produce as many tokens again.
TEST_CASE("The expected remaining length depends on the generated tokens", "[outputlengthdistribution]")
{
    const OutputLengthDistribution length({3000, 500, 4000});
    CHECK(length.survival(500) == Approx(0.5).epsilon(0.01));
    CHECK(length.survival(4000) == 0);
    CHECK(length.expectedRemaining(0) > 500);
    CHECK(length.expectedRemaining(1500) > 500);
    CHECK(length.expectedRemaining(3900) <= 100);
    CHECK(length.expectedRemaining(4000) == 0);
    CHECK(length.expectedLength(1500) < 4000);
    for (const double generatedTokens : {0.0, 100.0, 1000.0, 3999.0})
        CHECK(length.survival(generatedTokens, generatedTokens) == 1);
}

TEST_CASE("A generation without estimate or maximum has a finite length", "[outputlengthdistribution]")
{
    const GenerationSize size = GENERATE(GenerationSize{0, 0, 0}, GenerationSize{100, 0, 0},
                                         GenerationSize{100, 0, 5}, GenerationSize{100, 700, 0});
    const OutputLengthDistribution length(size);
    CHECK(length.expectedRemaining(0) > 0);
    CHECK(length.expectedRemaining(0) < 10000);
    CHECK(length.expectedRemaining(1e6) == 0);
}
