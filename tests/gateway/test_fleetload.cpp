#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{};
const RunnerLoad One{1, 3900, 3000};

} // namespace

// Load pattern: many gateways place at once; none knows yet what the others have placed.
TEST_CASE("A placement counts at once and not twice when its gateway tells of it", "[fleetload]")
{
    FleetLoad load;
    load.update("g1", {}, Start);
    load.update("g2", {{"a", One}}, Start);
    load.addPlacement("g1", "a", One, Start + 10ms);
    CHECK(load.total().at("a").activeRequests == 2);
    // This status left the gateway before the placement reached it.
    load.update("g1", {}, Start + 20ms);
    CHECK(load.total().at("a").activeRequests == 2);
    load.update("g1", {{"a", One}}, Start + 300ms);
    CHECK(load.total().at("a").activeRequests == 2);
    CHECK(load.totalExcluding("g1").at("a").activeRequests == 1);
    load.update("g1", {}, Start + 600ms);
    load.update("g2", {}, Start + 600ms);
    CHECK(load.total().empty());
}

TEST_CASE("The work of a gateway that died is forgotten", "[fleetload]")
{
    FleetLoad load;
    load.update("g1", {{"a", One}}, Start);
    load.addPlacement("g1", "b", One, Start);
    load.update("g2", {{"a", One}}, Start + 5s);
    load.removeSilentGateways(Start + 6s, 5s);
    CHECK(load.gatewayCount() == 1);
    CHECK(load.total().size() == 1);
    CHECK(load.total().at("a").activeRequests == 1);
}
