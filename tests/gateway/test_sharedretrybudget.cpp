#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{};

} // namespace

// Load pattern: every request fails, and every gateway would retry each of them.
TEST_CASE("All gateways together stay within the shared retry budget", "[sharedretrybudget]")
{
    const uint32_t gateways = GENERATE(1U, 9U, 76U);
    constexpr double Ratio = 0.2;
    constexpr double SharedRetries = 58;
    constexpr int RequestsPerGateway = 60;
    uint32_t retries = 0;
    for (uint32_t gateway = 0; gateway < gateways; ++gateway) {
        SharedRetryBudget budget({Ratio, SharedRetries, 10s});
        budget.setGatewayCount(gateways);
        for (int i = 0; i < RequestsPerGateway; ++i) {
            const TimePoint now = Start + i * 100ms;
            budget.countRequest("s", now);
            retries += budget.tryAcquireRetry("s", now) ? 1 : 0;
        }
    }
    CHECK(retries > 0);
    CHECK(retries <= Ratio * RequestsPerGateway * gateways + SharedRetries);
}

TEST_CASE("Retries become available again when earlier ones leave the window", "[sharedretrybudget]")
{
    SharedRetryBudget budget({0, 2, 10s, 1.0});
    CHECK(budget.tryAcquireRetry("s", Start));
    CHECK(budget.tryAcquireRetry("s", Start));
    CHECK_FALSE(budget.tryAcquireRetry("s", Start + 9s));
    CHECK(budget.tryAcquireRetry("t", Start + 9s));
    CHECK(budget.tryAcquireRetry("s", Start + 11s));
}
