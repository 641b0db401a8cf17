#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{};

} // namespace

// Load pattern: memory is full for seconds and becomes free one generation at a time.
TEST_CASE("Generations are placed in order of priority and then of arrival", "[placementqueue]")
{
    PlacementQueue queue;
    const auto second = queue.add({1, 1, Start - 300ms});
    // Was enqueued after another one but arrived at its gateway before it.
    const auto first = queue.add({1, 1, Start - 400ms});
    const auto urgent = queue.add({0, 1, Start});
    const auto third = queue.add({1, 1, Start - 300ms});
    const auto urgentRoute = queue.add({1, 0, Start});
    CHECK(queue.order() == std::vector{urgent, urgentRoute, first, second, third});
    queue.remove(urgent);
    queue.remove(urgentRoute);
    CHECK(queue.order() == std::vector{first, second, third});
    for (const auto ticket : {first, second, third})
        queue.remove(ticket);
    CHECK(queue.isEmpty());
}
