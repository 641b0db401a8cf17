#include "faults.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace eelgrasslift;
using namespace eelgrasslift::test;

namespace {

constexpr size_t Hosts = 8;
constexpr size_t Seeds = 3;
constexpr size_t Voters = 5;
constexpr Duration RecoveryTime = 15s;

/// Members that were started with the addresses of the first three hosts, which are replaced one after the
/// other.
class ReplacedSeeds
{
public:
    explicit ReplacedSeeds(uint64_t seed)
        : simulation(seed, Seeds, clusterSettings())
    {}

    std::string run()
    {
        for (size_t i = 0; i < Seeds; ++i) {
            this->simulation.host(i).seeds = this->seeds;
            this->simulation.crash(i);
            this->simulation.restart(i);
        }
        while (this->simulation.hostCount() < Hosts)
            this->join();
        if (!this->waitForMembers(Hosts))
            return "the members do not join";
        for (size_t i = 0; i < Seeds; ++i) {
            this->simulation.crash(i);
            this->simulation.host(i).isRetired = true;
            this->seeds[i] = this->join();
            if (!this->waitForMembers(Hosts))
                return "a replacement does not join";
        }
        return this->cutOff(Seeds + this->simulation.random.below(Hosts - Seeds));
    }

private:
    static RaftSettings clusterSettings()
    {
        RaftSettings settings = Simulation::testSettings();
        settings.maxVoters = Voters;
        settings.unresponsiveVoterTimeout = 2s;
        return settings;
    }

    size_t join()
    {
        const size_t host = this->simulation.addHost();
        this->simulation.host(host).seeds = this->seeds;
        this->simulation.startJoining(host);
        return host;
    }

    /// Waits until the cluster has that many running members, and only running voters.
    bool waitForMembers(size_t count)
    {
        return this->simulation.runUntil([&] {
            const auto leader = this->simulation.leader();
            if (!leader)
                return false;
            size_t running = 0;
            size_t runningVoters = 0;
            for (const auto &[id, member] : this->simulation.host(*leader).node->log().membership()) {
                const bool isRunning = this->simulation.hostOf(id).has_value();
                running += isRunning ? 1 : 0;
                runningVoters += isRunning && member.isVoter ? 1 : 0;
                if (member.isVoter && !isRunning)
                    return false;
            }
            return running == count && runningVoters == Voters;
        });
    }

    bool isMember(size_t host)
    {
        const auto leader = this->simulation.leader();
        return leader && this->simulation.host(*leader).node->log().membership().contains(
                                 this->simulation.host(host).node->id());
    }

    /// Cuts a member off until it has been removed, and checks that it joins again.
    std::string cutOff(size_t host)
    {
        Host &victim = this->simulation.host(host);
        victim.dropsIncoming = victim.dropsOutgoing = true;
        const bool isRemoved = this->simulation.runUntil([&] { return !this->isMember(host); }, RecoveryTime);
        this->simulation.healNetwork(host);
        if (!this->simulation.runUntil([&] { return this->isMember(host); }, RecoveryTime))
            return std::string(isRemoved ? "a removed member" : "a learner") + " does not join again";
        return this->simulation.violations().empty() ? std::string{} : this->simulation.violations().front();
    }

    Simulation simulation;
    std::vector<size_t> seeds{0, 1, 2};
};

} // namespace

// Guards against a voter that was removed during an outage and never becomes a member again, since all the
// addresses that it was started with are gone; each such voter leaves one disk less to lose.
TEST_CASE("A removed member joins again after all seeds that it knows were replaced", "[replacedseeds]")
{
    size_t failures = 0;
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        const std::string failure = ReplacedSeeds(seed).run();
        if (!failure.empty() && ++failures <= 10)
            std::cout << "seed " << seed << ": " << failure << '\n';
    }
    CHECK(failures == 0);
}
