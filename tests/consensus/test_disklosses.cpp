#include "faults.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>

using namespace eelgrasslift;
using namespace eelgrasslift::test;

namespace {

// As on the users' larger deployments: of eight VMs with disks, two may be lost at the same time. A VM counts
// as lost until CatchUpTime after its return.
constexpr size_t InitialVoters = 3;
constexpr size_t Hosts = 8;
constexpr size_t MaxVoters = 5;
constexpr size_t ToleratedLosses = 2;
constexpr Duration CatchUpTime = 6s;
constexpr Duration RecoveryTime = 15s;

RaftSettings spareMemberSettings()
{
    RaftSettings settings = Simulation::testSettings();
    settings.maxVoters = MaxVoters;
    settings.unresponsiveVoterTimeout = 2s;
    return settings;
}

/// A cluster of five voters and three learners under losses that it must tolerate.
class LossSchedule
{
public:
    explicit LossSchedule(uint64_t seed)
        : simulation(seed, InitialVoters, spareMemberSettings())
    {}

    /// Returns what went wrong, or nothing.
    std::string run()
    {
        while (this->simulation.hostCount() < Hosts)
            this->simulation.startJoining(this->simulation.addHost());
        if (!this->simulation.runUntil([&] { return this->countVoters() == MaxVoters; }))
            return "no five voters";
        this->simulation.scheduleEvery(400ms, [this] {
            this->propose();
            this->simulation.confirmOnAllHosts();
        });
        for (int round = 0; round < 6 && this->simulation.violations().empty(); ++round)
            this->loseSome();
        this->loseDisksWhileAllLosePower();
        const bool isServing = this->simulation.runUntil(
                [&] { return this->hasCommitted() && this->areMembersUpToDate(); }, RecoveryTime);
        if (!isServing)
            return describeFailure(this->simulation);
        this->simulation.checkAcknowledged();
        return this->simulation.violations().empty() ? std::string{} : this->simulation.violations().front();
    }

private:
    enum class Loss { Disk, Power, Pause, Partition, OneWayPartition, Replacement };
    static constexpr size_t LossKinds = 6;

    /// VMs that have not been replaced.
    std::vector<size_t> present()
    {
        std::vector<size_t> result;
        for (size_t i = 0; i < this->simulation.hostCount(); ++i) {
            if (!this->simulation.host(i).isRetired)
                result.push_back(i);
        }
        return result;
    }

    void propose()
    {
        if (const auto leader = this->simulation.leader())
            this->lastProposal = this->simulation.propose(*leader);
    }

    size_t countVoters()
    {
        const auto leader = this->simulation.leader();
        if (!leader)
            return 0;
        const auto &members = this->simulation.host(*leader).node->log().membership();
        return static_cast<size_t>(std::count_if(members.begin(), members.end(),
                                                 [](const auto &entry) { return entry.second.isVoter; }));
    }

    /// Loses one or two VMs, one shortly after the other, and waits until neither counts as
    /// lost any more.
    void loseSome()
    {
        Random &random = this->simulation.random;
        std::vector<std::pair<size_t, Loss>> losses;
        std::vector<size_t> candidates = this->present();
        const size_t count = 1 + random.below(ToleratedLosses);
        while (losses.size() < count) {
            const auto victim =
                    candidates.begin() + static_cast<std::ptrdiff_t>(random.below(Hosts - losses.size()));
            losses.emplace_back(*victim, static_cast<Loss>(random.below(LossKinds)));
            candidates.erase(victim);
            this->lose(losses.back().first, losses.back().second);
            this->simulation.run(Duration{random.below(Duration{1500ms}.count())});
        }
        this->simulation.run(Duration{random.below(Duration{7s}.count())});
        for (const auto &[victim, loss] : losses)
            this->restore(victim, loss);
        this->simulation.run(CatchUpTime);
    }

    void lose(size_t victim, Loss loss)
    {
        Host &host = this->simulation.host(victim);
        switch (loss) {
        case Loss::Disk:
        case Loss::Power:
        case Loss::Replacement:
            return this->simulation.crash(victim);
        case Loss::Pause:
            host.isPaused = true;
            return;
        case Loss::Partition:
            host.dropsIncoming = host.dropsOutgoing = true;
            return;
        case Loss::OneWayPartition:
            (this->simulation.random.chance(0.5) ? host.dropsIncoming : host.dropsOutgoing) = true;
            return;
        }
    }

    void restore(size_t victim, Loss loss)
    {
        if (loss == Loss::Disk)
            this->simulation.loseDisk(victim);
        else if (loss == Loss::Power)
            this->simulation.restart(victim);
        else if (loss == Loss::Replacement) {
            this->simulation.host(victim).isRetired = true;
            this->simulation.startJoining(this->simulation.addHost());
        }
        this->simulation.resume(victim);
        this->simulation.healNetwork(victim);
    }

    /// Right after an acknowledgement all hosts lose power, and two that have synced the acknowledged entry
    /// also lose their disks.
    void loseDisksWhileAllLosePower()
    {
        this->simulation.runUntil([&] { return this->hasCommitted(); });
        const auto leader = this->simulation.leader();
        if (!leader)
            return;
        const RaftNode &node = *this->simulation.host(*leader).node;
        std::vector<size_t> synced;
        for (const size_t i : this->present()) {
            if (this->simulation.host(i).disk.hasEntry(node.commitIndex(), node.term()))
                synced.push_back(i);
        }
        for (const size_t i : this->present())
            this->simulation.crash(i);
        this->simulation.run(1500ms);
        for (size_t lost = 0; lost < ToleratedLosses && !synced.empty(); ++lost) {
            const size_t at = this->simulation.random.below(synced.size());
            this->simulation.loseDisk(synced[at]);
            synced.erase(synced.begin() + static_cast<std::ptrdiff_t>(at));
        }
        for (const size_t i : this->present()) {
            this->simulation.run(Duration{this->simulation.random.below(Duration{100ms}.count())});
            this->simulation.restart(i);
        }
        this->lastProposal = 0;
    }

    /// Whether every VM is a member and knows what the leader has committed.
    bool areMembersUpToDate()
    {
        const auto number = this->simulation.leader();
        if (!number)
            return false;
        const RaftNode &leader = *this->simulation.host(*number).node;
        for (const size_t i : this->present()) {
            const auto &node = this->simulation.host(i).node;
            if (!node || !leader.log().membership().contains(node->id()) ||
                node->commitIndex() < leader.commitIndex())
                return false;
        }
        return true;
    }

    bool hasCommitted() const { return this->simulation.isAcknowledged(this->lastProposal); }

    Simulation simulation;
    raft::RequestId lastProposal = 0;
};

} // namespace

// Guards against an acknowledged change that is gone, or a cluster that stands still, after the tolerated
// number of disks was lost while voters were replaced.
TEST_CASE("Acknowledged changes survive the loss of two of eight disks while all lose power", "[disklosses]")
{
    constexpr uint64_t Seeds = 300;
    size_t failures = 0;
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        const std::string failure = LossSchedule(seed).run();
        if (!failure.empty() && ++failures <= 10)
            std::cout << "seed " << seed << ": " << failure << '\n';
    }
    CHECK(failures == 0);
}
