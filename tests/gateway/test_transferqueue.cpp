#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{};

} // namespace

TEST_CASE("Copies from one leaving runner go one at a time, the most valuable first", "[transferqueue]")
{
    TransferQueue queue;
    const auto cheap = queue.enqueue("a", 1, Start);
    const auto dear = queue.enqueue("a", 5, Start);
    const auto other = queue.enqueue("b", 1, Start);
    CHECK(queue.grant(Start) == std::vector{dear, other});
    CHECK(queue.grant(Start + 10ms).empty());
    CHECK_FALSE(queue.isActive(cheap));
    queue.release(dear);
    CHECK(queue.grant(Start + 200ms) == std::vector{cheap});
    CHECK(queue.isActive(cheap));
}

TEST_CASE("A gateway that fails during a copy does not hold up the others", "[transferqueue]")
{
    TransferQueue queue;
    queue.enqueue("a", 5, Start);
    const auto waiting = queue.enqueue("a", 1, Start);
    REQUIRE(queue.grant(Start).size() == 1);
    CHECK(queue.grant(Start + 1s).empty());
    CHECK(queue.grant(Start + 2s) == std::vector{waiting});
}
