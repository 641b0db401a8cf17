#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{};
const RunnerLoad OneGeneration{1, 3900, 3000};

} // namespace

// Load pattern: many gateways place generations at the same time, before they have reported them to each
// other.
TEST_CASE("A placement counts at once and not twice when its gateway reports it", "[fleetload]")
{
    FleetLoad load;
    load.update("g1", {}, Start);
    load.update("g2", {{"a", OneGeneration}}, Start);
    load.addPlacement("g1", "a", OneGeneration, Start + 10ms);
    CHECK(load.total().at("a").activeRequests == 2);
    // The gateway sent this report before it received the placement.
    load.update("g1", {}, Start + 20ms);
    CHECK(load.total().at("a").activeRequests == 2);
    load.update("g1", {{"a", OneGeneration}}, Start + 300ms);
    CHECK(load.total().at("a").activeRequests == 2);
    const std::vector<std::string> runners{"a", "b"};
    CHECK(load.totalExcluding("g1", runners).at("a").activeRequests == 1);
    CHECK(load.totalExcluding("g1", runners).size() == 1);
    CHECK(load.totalExcluding("g1", std::vector<std::string>{"b"}).empty());
    CHECK(load.totalExcluding("unknown", runners).at("a").activeRequests == 2);
    load.update("g1", {}, Start + 600ms);
    load.update("g2", {}, Start + 600ms);
    CHECK(load.total().empty());
}

TEST_CASE("The load of a gateway that stops reporting is removed", "[fleetload]")
{
    FleetLoad load;
    load.update("g1", {{"a", OneGeneration}}, Start);
    load.addPlacement("g1", "b", OneGeneration, Start);
    load.update("g2", {{"a", OneGeneration}}, Start + 5s);
    load.removeSilentGateways(Start + 6s, 5s);
    CHECK(load.gatewayCount() == 1);
    CHECK(load.total().size() == 1);
    CHECK(load.total().at("a").activeRequests == 1);
}

// Load pattern: 18 of 122 runners leave within a second. Only the gateways with generations there need to
// know at once; waking all 295 keeps the leader busy for longer than the notice period.
TEST_CASE("A gateway has load on a runner from the placement on", "[fleetload]")
{
    FleetLoad load;
    load.update("g1", {}, Start);
    load.update("g2", {{"a", OneGeneration}}, Start);
    const std::vector<std::string> changed{"a", "c"};
    CHECK_FALSE(load.hasLoadOn("g1", changed));
    CHECK(load.hasLoadOn("g2", changed));
    CHECK_FALSE(load.hasLoadOn("g2", std::vector<std::string>{"b"}));
    load.addPlacement("g1", "c", OneGeneration, Start);
    CHECK(load.hasLoadOn("g1", changed));
    CHECK_FALSE(load.hasLoadOn("unknown", changed));
}
