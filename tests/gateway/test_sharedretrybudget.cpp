#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{};

} // namespace

// Load pattern: every request fails, and every gateway would repeat each of them.
TEST_CASE("All gateways together stay below the shared budget of repeats", "[callbudget]")
{
    const uint32_t gateways = GENERATE(1U, 9U, 76U);
    constexpr double Ratio = 0.2;
    constexpr double Extra = 58;
    constexpr int RequestsEach = 60;
    uint32_t repeats = 0;
    for (uint32_t gateway = 0; gateway < gateways; ++gateway) {
        SharedRetryBudget budget({Ratio, Extra, 10s});
        budget.setGatewayCount(gateways);
        for (int i = 0; i < RequestsEach; ++i) {
            const TimePoint now = Start + i * 100ms;
            budget.countRequest("s", now);
            repeats += budget.tryAcquireRetry("s", now) ? 1 : 0;
        }
    }
    CHECK(repeats > 0);
    CHECK(repeats <= Ratio * RequestsEach * gateways + Extra);
}

TEST_CASE("The budget comes back as its window slides", "[callbudget]")
{
    SharedRetryBudget budget({0, 2, 10s, 1.0});
    CHECK(budget.tryAcquireRetry("s", Start));
    CHECK(budget.tryAcquireRetry("s", Start));
    CHECK_FALSE(budget.tryAcquireRetry("s", Start + 9s));
    CHECK(budget.tryAcquireRetry("t", Start + 9s));
    CHECK(budget.tryAcquireRetry("s", Start + 11s));
}
