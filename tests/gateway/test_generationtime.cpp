#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

struct Case
{
    std::string name;
    GenerationSize size;
    Duration remainingTime{};
    bool isAccepted = false;
};

const std::vector<Case> Cases{
        {"a short generation ends in time", {3000, 100}, 7600ms, true},
        // Guards against long generations that are accepted after SIGTERM and cut off at the end of the grace
        // period.
        {"a long generation would be cut off", {3000, 900}, 7600ms, false},
        {"a generation of a few tokens fits into the last second", {2200, 20}, 1s, true},
        {"the prefill of a long prompt does not end in time", {6000, 10}, 500ms, false},
};

} // namespace

TEST_CASE("A gateway that shuts down accepts only generations that end in time", "[generationtime]")
{
    const Case &row = GENERATE(from_range(Cases));
    INFO(row.name);
    CHECK(fitsBeforeShutdown(row.size, row.remainingTime) == row.isAccepted);
}
