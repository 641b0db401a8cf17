#include "libcore/core.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace eelgrasslift;
using namespace std::chrono_literals;

// Guards against a misread creation time of an idempotency key, which would let an expired key run again.
TEST_CASE("The creation time of a UUIDv7 is decoded and other texts are rejected")
{
    Random random{1};
    const WallTime time{1'800'000'000'123ms};
    const std::string uuid = makeUuidV7(time, random);
    REQUIRE(uuidV7Time(uuid) == time);

    const auto text =
            GENERATE(as<std::string>{}, "", "not-a-uuid", "0190a7c0-0000-4000-8000-000000000000",
                     "0190a7c0x0000-7000-8000-000000000000", "0190a7c0-0000-7000-8000-00000000000g");
    CHECK_FALSE(uuidV7Time(text).has_value());
}

// Guards against timers that run after their owner was destroyed, or out of order.
TEST_CASE("Timers run in time order until their subscription is cancelled")
{
    TimerService timers;
    const TimePoint start{};
    std::vector<int> order;
    auto late = timers.subscribeAt(start + 20ms, [&](TimePoint) { order.push_back(2); });
    auto early = timers.subscribeAt(start + 10ms, [&](TimePoint) { order.push_back(1); });
    auto every = timers.subscribeEvery(start, 30ms, [&](TimePoint) { order.push_back(3); });
    auto cancelled = timers.subscribeAt(start + 5ms, [&](TimePoint) { order.push_back(9); });
    cancelled.cancel();

    timers.advanceTo(start + 30ms);
    CHECK(order == std::vector<int>{1, 2, 3});
    timers.advanceTo(start + 59ms);
    CHECK(order.size() == 3);
    timers.advanceTo(start + 60ms);
    CHECK(order.size() == 4);
    every.cancel();
    timers.advanceTo(start + 200ms);
    CHECK(order.size() == 4);
}

TEST_CASE("Digests match published test vectors")
{
    CHECK(toHex(sha256("abc")) == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(toHex(hmacSha256("Jefe", "what do ya want for nothing?")) ==
          "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
    CHECK(fromHex("0aFf") == std::string("\x0a\xff"));
    CHECK_FALSE(fromHex("0").has_value());
}

TEST_CASE("The same seed gives the same random sequence within bounds")
{
    Random left{7};
    Random right{7};
    for (int i = 0; i < 1000; ++i) {
        const uint64_t value = left.below(10);
        CHECK(value == right.below(10));
        CHECK(value < 10);
    }
}
