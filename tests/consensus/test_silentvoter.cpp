#include "simulation.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace eelgrasslift::test;

namespace {

constexpr size_t Voters = 3;

RaftSettings replacingSettings()
{
    RaftSettings settings = Simulation::testSettings();
    settings.maxVoters = Voters;
    settings.unresponsiveVoterTimeout = 2s;
    return settings;
}

bool isVoterAtLeader(Simulation &simulation, size_t number)
{
    const std::optional<size_t> leader = simulation.leader();
    if (!leader)
        return false;
    Host &host = simulation.host(*leader);
    for (const RaftMemberStatus &member : host.node->status(simulation.clock(host)).members) {
        if (simulation.hostOf(member.id) == number)
            return member.isVoter;
    }
    return false;
}

bool isMemberAtLeader(Simulation &simulation, size_t number)
{
    const std::optional<size_t> leader = simulation.leader();
    if (!leader)
        return false;
    Host &host = simulation.host(*leader);
    const RaftStatus status = host.node->status(simulation.clock(host));
    return std::any_of(status.members.begin(), status.members.end(), [&](const RaftMemberStatus &member) {
        return simulation.hostOf(member.id) == number;
    });
}

} // namespace

// Guards against a group that counts a voter forever whose machine was replaced at another address, and stops
// at the next loss.
TEST_CASE("A machine at another address takes the place of a voter that stays away", "[silentvoter]")
{
    const uint64_t seed = GENERATE(range(1, 21));
    INFO("seed " << seed);
    Simulation simulation{seed, Voters, replacingSettings()};
    REQUIRE(simulation.runUntil([&] { return simulation.leader().has_value(); }));
    const size_t gone = seed % 2 == 0 ? *simulation.leader() : (*simulation.leader() + 1) % Voters;
    simulation.crash(gone);
    const size_t successor = simulation.addHost();
    simulation.startJoining(successor);
    REQUIRE(simulation.runUntil([&] { return isVoterAtLeader(simulation, successor); }));
    CHECK_FALSE(isMemberAtLeader(simulation, gone));

    // The next loss leaves a majority.
    const size_t second = *simulation.leader();
    simulation.crash(second);
    REQUIRE(simulation.runUntil([&] { return simulation.leader().has_value(); }));
    CHECK(simulation.violations().empty());
}

// Guards against a member that was replaced while it was cut off and never takes part again.
TEST_CASE("A voter that was replaced while it was away joins again as a learner", "[silentvoter]")
{
    const uint64_t seed = GENERATE(range(1, 11));
    INFO("seed " << seed);
    Simulation simulation{seed, Voters, replacingSettings()};
    REQUIRE(simulation.runUntil([&] { return simulation.leader().has_value(); }));
    const size_t away = (*simulation.leader() + 1) % Voters;
    const size_t successor = simulation.addHost();
    simulation.startJoining(successor);
    simulation.run(2s);
    simulation.crash(away);
    REQUIRE(simulation.runUntil([&] { return isVoterAtLeader(simulation, successor); }));
    simulation.restart(away);
    CHECK(simulation.runUntil([&] { return isMemberAtLeader(simulation, away); }));
    CHECK_FALSE(isVoterAtLeader(simulation, away));
    CHECK(simulation.violations().empty());
}
