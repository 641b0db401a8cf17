#include "faults.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>

using namespace eelgrasslift;
using namespace eelgrasslift::test;

namespace {

// A VM counts as lost until CatchUpTime after its return.
constexpr size_t InitialVoters = 3;
constexpr Duration CatchUpTime = 6s;
constexpr Duration RecoveryTime = 15s;

/// VMs with disks, and how many of them may be lost at the same time.
struct Deployment
{
    size_t hosts = 0;
    size_t toleratedLosses = 0;
    uint64_t seeds = 0; // of the test

    size_t maxVoters() const { return 2 * this->toleratedLosses + 1; }
};

RaftSettings spareMemberSettings(const Deployment &deployment)
{
    RaftSettings settings = Simulation::testSettings();
    settings.maxVoters = deployment.maxVoters();
    settings.unresponsiveVoterTimeout = 2s;
    return settings;
}

/// A cluster under losses that it must tolerate.
class LossSchedule
{
public:
    LossSchedule(const Deployment &lossDeployment, uint64_t seed)
        : deployment(lossDeployment)
        , simulation(seed, InitialVoters, spareMemberSettings(lossDeployment))
    {}

    /// Returns what went wrong, or nothing.
    std::string run()
    {
        while (this->simulation.hostCount() < this->deployment.hosts)
            this->simulation.startJoining(this->simulation.addHost());
        if (!this->simulation.runUntil([&] { return this->countVoters() == this->deployment.maxVoters(); }))
            return "too few voters";
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

    /// Lets all hosts lose power several times while they join. Returns what went wrong, or nothing.
    std::string losePowerWhileJoining()
    {
        constexpr int PowerLosses = 4;
        while (this->simulation.hostCount() < this->deployment.hosts)
            this->simulation.startJoining(this->simulation.addHost());
        this->simulation.scheduleEvery(100ms, [this] {
            if (this->isProposing)
                this->propose();
        });
        for (int i = 0; i < PowerLosses; ++i) {
            this->simulation.run(Duration{this->simulation.random.below(Duration{4s}.count())});
            for (const size_t host : this->present())
                this->simulation.crash(host);
            for (const size_t host : this->present()) {
                this->simulation.run(Duration{this->simulation.random.below(Duration{100ms}.count())});
                this->simulation.restart(host);
            }
        }
        this->lastProposal = 0;
        const bool hasVoters = this->simulation.runUntil(
                [&] { return this->countVoters() == this->deployment.maxVoters() && this->hasCommitted(); },
                RecoveryTime);
        // A member learns of a commit with the next message, so the last one is compared without further
        // ones.
        this->isProposing = false;
        const bool isComplete =
                hasVoters &&
                this->simulation.runUntil([&] { return this->areMembersUpToDate(); }, RecoveryTime);
        if (!isComplete)
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

    /// Loses as many VMs as are tolerated, or fewer, one shortly after the other, and waits until neither
    /// counts as lost any more.
    void loseSome()
    {
        Random &random = this->simulation.random;
        std::vector<std::pair<size_t, Loss>> losses;
        std::vector<size_t> candidates = this->present();
        const size_t count = 1 + random.below(this->deployment.toleratedLosses);
        while (losses.size() < count) {
            const auto victim =
                    candidates.begin() + static_cast<std::ptrdiff_t>(random.below(candidates.size()));
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

    /// Right after an acknowledgement all hosts lose power, and as many as are tolerated of those that have
    /// synced the acknowledged entry also lose their disks.
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
        for (size_t lost = 0; lost < this->deployment.toleratedLosses && !synced.empty(); ++lost) {
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

    Deployment deployment;
    Simulation simulation;
    raft::RequestId lastProposal = 0;
    bool isProposing = true;
};

} // namespace

// Guards against an acknowledged change that is gone, or a cluster that stands still, after the tolerated
// number of disks was lost while voters were replaced.
TEST_CASE("Acknowledged changes survive the loss of disks while all lose power", "[disklosses]")
{
    const auto deployment =
            GENERATE(values<Deployment>({{8, 2, 300}, {6, 2, 100}, {3, 1, 200}, {4, 1, 100}}));
    CAPTURE(deployment.hosts);
    size_t failures = 0;
    for (uint64_t seed = 1; seed <= deployment.seeds; ++seed) {
        const std::string failure = LossSchedule(deployment, seed).run();
        if (!failure.empty() && ++failures <= 10)
            std::cout << deployment.hosts << " hosts, seed " << seed << ": " << failure << '\n';
    }
    CHECK(failures == 0);
}

// Guards against hosts that never become members, or a change that is gone, since power failed while they
// joined.
TEST_CASE("All hosts become members although power fails while they join", "[disklosses]")
{
    const auto deployment = GENERATE(values<Deployment>({{8, 2, 200}, {3, 1, 100}, {4, 1, 100}}));
    CAPTURE(deployment.hosts);
    size_t failures = 0;
    for (uint64_t seed = 1; seed <= deployment.seeds; ++seed) {
        const std::string failure = LossSchedule(deployment, seed).losePowerWhileJoining();
        if (!failure.empty() && ++failures <= 10)
            std::cout << deployment.hosts << " hosts, seed " << seed << ": " << failure << '\n';
    }
    CHECK(failures == 0);
}
