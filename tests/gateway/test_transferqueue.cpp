#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{};

} // namespace

TEST_CASE("Copies from one runner are granted one at a time in order of value", "[transferqueue]")
{
    TransferQueue queue;
    const auto lowValue = queue.enqueue("a", 1, Start);
    const auto highValue = queue.enqueue("a", 5, Start);
    const auto otherSource = queue.enqueue("b", 1, Start);
    CHECK(queue.grant(Start) == std::vector{highValue, otherSource});
    CHECK(queue.grant(Start + 10ms).empty());
    CHECK_FALSE(queue.isActive(lowValue));
    queue.release(highValue);
    CHECK(queue.grant(Start + 200ms) == std::vector{lowValue});
    CHECK(queue.isActive(lowValue));
}

TEST_CASE("A copy whose gateway fails does not block the next one for long", "[transferqueue]")
{
    TransferQueue queue;
    queue.enqueue("a", 5, Start);
    const auto queued = queue.enqueue("a", 1, Start);
    REQUIRE(queue.grant(Start).size() == 1);
    CHECK(queue.grant(Start + 1s).empty());
    CHECK(queue.grant(Start + 2s) == std::vector{queued});
}
