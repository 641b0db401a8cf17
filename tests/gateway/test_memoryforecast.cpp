#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;

namespace {

const GenerationSize Report{3000, 750, 1768};

} // namespace

TEST_CASE("A generation holds its prompt at first and nothing in the end", "[memoryforecast]")
{
    const auto forecast = MemoryForecast::forGeneration(Report, 0);
    CHECK(forecast.currentTokens() == Approx(3000));
    CHECK(forecast.peak() < 3000 + 1768);
    CHECK(forecast.tokens().back() < forecast.currentTokens());
    const auto old = MemoryForecast::forGeneration(Report, 1700);
    CHECK(old.currentTokens() == Approx(4700));
    CHECK(old.tokens().back() == 0);
}

// Load pattern: generations of one runner began at different times. The sum of their final sizes is never
// held at once, so a runner that it fills has room.
TEST_CASE("Generations that began at different times need less than their final sizes", "[memoryforecast]")
{
    MemoryForecast together;
    double finalSizes = 0;
    for (const double made : {0.0, 200.0, 400.0, 600.0, 800.0, 1000.0}) {
        together += MemoryForecast::forGeneration(Report, made);
        finalSizes += Report.promptTokens + OutputLengthDistribution(Report).expectedLength(made);
    }
    CHECK(together.peak() < 0.95 * finalSizes);
    CHECK(together.peak() >= 6 * 3000 + 3000);
}

TEST_CASE("What was added to a forecast can be taken off again", "[memoryforecast]")
{
    MemoryForecast sum(100);
    const auto one = MemoryForecast::forGeneration(Report, 40);
    sum += one;
    sum -= one;
    for (const double tokens : sum.tokens())
        CHECK(tokens == Approx(100));
    sum -= one;
    CHECK(sum.peak() == 0);
}

// Guards against taking the caller's estimate for the length: a generation that has outlived it is likely to
// go on for as long again.
TEST_CASE("The expected rest of a generation follows what it has made", "[generationlength]")
{
    const OutputLengthDistribution length({3000, 500, 4000});
    CHECK(length.survival(500) == Approx(0.5).epsilon(0.01));
    CHECK(length.survival(4000) == 0);
    CHECK(length.expectedRemaining(0) > 500);
    CHECK(length.expectedRemaining(1500) > 500);
    CHECK(length.expectedRemaining(3900) <= 100);
    CHECK(length.expectedRemaining(4000) == 0);
    CHECK(length.expectedLength(1500) < 4000);
    for (const double made : {0.0, 100.0, 1000.0, 3999.0})
        CHECK(length.survival(made, made) == 1);
}

TEST_CASE("A generation without estimate or maximum has a finite length", "[generationlength]")
{
    const GenerationSize size = GENERATE(GenerationSize{0, 0, 0}, GenerationSize{100, 0, 0},
                                         GenerationSize{100, 0, 5}, GenerationSize{100, 700, 0});
    const OutputLengthDistribution length(size);
    CHECK(length.expectedRemaining(0) > 0);
    CHECK(length.expectedRemaining(0) < 10000);
    CHECK(length.expectedRemaining(1e6) == 0);
}
