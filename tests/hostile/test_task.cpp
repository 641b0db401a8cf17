#include "gateway/task.h"

#include <boost/asio/awaitable.hpp>
#include <catch2/catch.hpp>

#include <stdexcept>

using namespace eelgrasslift;
namespace asio = boost::asio;

// Finding of operators of similar systems: one unexpected error took a whole process down. Here it ended the
// loop that exchanges status with the coordinators, for good and without a log line.
TEST_CASE("A loop that fails is started again, and other tasks go on", "[task]")
{
    asio::io_context io;
    int startCount = 0;
    bool hasOtherEnded = false;
    spawnLoop(io, "loop", [&]() -> asio::awaitable<void> {
        if (++startCount == 1)
            throw std::runtime_error("unexpected");
        if (startCount == 2)
            throw 7;
        co_return;
    });
    spawnTask(io, "failing", []() -> asio::awaitable<void> {
        throw std::runtime_error("unexpected");
        co_return;
    });
    spawnTask(io, "other", [&]() -> asio::awaitable<void> {
        hasOtherEnded = true;
        co_return;
    });
    CHECK_NOTHROW(io.run());
    CHECK(startCount == 3);
    CHECK(hasOtherEnded);
}
