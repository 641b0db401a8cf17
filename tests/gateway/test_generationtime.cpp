#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

struct Case
{
    std::string name;
    GenerationSize size;
    Duration timeLeft{};
    bool isTaken = false;
};

const std::vector<Case> Cases{
        {"a short generation ends in time", {3000, 100}, 7600ms, true},
        // Guards against reports that are taken after SIGTERM and cut at the end of the grace period.
        {"a long one would be cut", {3000, 900}, 7600ms, false},
        {"nothing but a label fits into the last seconds", {2200, 20}, 1s, true},
        {"a prompt alone takes its time", {6000, 10}, 500ms, false},
};

} // namespace

TEST_CASE("A gateway that shuts down takes only what ends in time", "[generationtime]")
{
    const Case &row = GENERATE(from_range(Cases));
    INFO(row.name);
    CHECK(fitsBeforeShutdown(row.size, row.timeLeft) == row.isTaken);
}
