#include "faults.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace eelgrasslift;
using namespace eelgrasslift::test;

namespace {

/// Step of the protocol during which faults are injected. reach runs the simulation to that step and returns
/// the host that the step concerns (the subject), or std::nullopt if the step was not reached.
struct Step
{
    std::string_view name;
    size_t voters;
    std::function<std::optional<size_t>(Simulation &, size_t leader)> reach;
};

size_t otherHost(const Simulation &simulation, size_t first, size_t second)
{
    size_t number = 0;
    while (number == first || number == second)
        ++number;
    return number % simulation.hostCount();
}

std::optional<size_t> hostWithRole(Simulation &simulation, RaftRole role)
{
    for (size_t i = 0; i < simulation.hostCount(); ++i) {
        if (simulation.host(i).node && simulation.host(i).node->role() == role)
            return i;
    }
    return std::nullopt;
}

std::optional<size_t> reachElection(Simulation &simulation, size_t leader)
{
    simulation.crash(leader);
    if (!simulation.runUntil([&] { return hostWithRole(simulation, RaftRole::Candidate).has_value(); }))
        return std::nullopt;
    const auto candidate = hostWithRole(simulation, RaftRole::Candidate);
    simulation.restart(leader);
    return candidate;
}

std::optional<size_t> reachAppend(Simulation &simulation, size_t leader)
{
    simulation.propose(leader);
    return (leader + 1) % simulation.hostCount();
}

std::optional<size_t> reachCommit(Simulation &simulation, size_t leader)
{
    const raft::RequestId request = simulation.propose(leader);
    if (!simulation.runUntil([&] { return simulation.isAcknowledged(request); }))
        return std::nullopt;
    return (leader + 1) % simulation.hostCount();
}

std::optional<size_t> reachSnapshotInstall(Simulation &simulation, size_t leader)
{
    const size_t lagging = (leader + 1) % simulation.hostCount();
    simulation.crash(lagging);
    for (int i = 0; i < 30; ++i) {
        simulation.propose(leader);
        simulation.run(10ms);
    }
    bool hasSentLaterChunk = false;
    simulation.onSend = [&](const raft::Envelope &envelope) {
        const auto *chunk = std::get_if<raft::SnapshotChunk>(&envelope.message);
        hasSentLaterChunk = hasSentLaterChunk || (chunk != nullptr && chunk->offset > 0);
    };
    simulation.restart(lagging);
    const bool isReached = simulation.runUntil([&] { return hasSentLaterChunk; });
    simulation.onSend = nullptr;
    return isReached ? std::optional{lagging} : std::nullopt;
}

std::optional<size_t> startJoin(Simulation &simulation, size_t leader, bool untilVoter)
{
    const size_t joining = simulation.addHost();
    simulation.startJoining(joining);
    const MemberId id = simulation.host(joining).node->id();
    const bool isReached = simulation.runUntil([&] {
        const Membership &members = simulation.host(leader).node->log().membership();
        return members.contains(id) && members.at(id).isVoter == untilVoter;
    });
    return isReached ? std::optional{joining} : std::nullopt;
}

std::optional<size_t> reachRemove(Simulation &simulation, size_t leader)
{
    const size_t removed = (leader + 1) % simulation.hostCount();
    simulation.handle(leader,
                      raft::ChangeMembership{0, raft::RemoveMember{simulation.host(removed).node->id()}});
    if (simulation.host(leader).node->log().membership().size() != 3)
        return std::nullopt;
    return removed;
}

std::optional<size_t> reachTransfer(Simulation &simulation, size_t leader)
{
    const size_t target = (leader + 1) % simulation.hostCount();
    simulation.handle(leader, raft::TransferLeadership{0, simulation.host(target).node->id()});
    return target;
}

const std::vector<Step> Steps{
        {"election", 3, reachElection},
        {"append", 3, reachAppend},
        {"commit", 3, reachCommit},
        {"snapshot install", 3, reachSnapshotInstall},
        {"join", 3,
         [](Simulation &simulation, size_t leader) { return startJoin(simulation, leader, false); }},
        {"promote", 3,
         [](Simulation &simulation, size_t leader) { return startJoin(simulation, leader, true); }},
        // Four voters, so that three remain and a lost disk can be repaired.
        {"remove", 4, reachRemove},
        {"transfer", 3, reachTransfer}};

/// Host at which a fault is injected: the leader, the subject of the step, or another one.
enum class Victim { Leader, Subject, Other };

constexpr std::array<std::string_view, 3> VictimNames{"leader", "subject", "other"};

struct InjectedFault
{
    Fault fault;
    Victim victim;
};

/// One cell of the fault matrix: a step and one or two faults.
struct Cell
{
    const Step *step;
    InjectedFault first;
    std::optional<InjectedFault> second;
    bool isSequential = false; // the second fault is injected after the recovery from the first
};

std::string describe(const Cell &cell)
{
    std::string text = std::string(cell.step->name) + ": " +
                       std::string(FaultNames.at(static_cast<size_t>(cell.first.fault))) + " of " +
                       std::string(VictimNames.at(static_cast<size_t>(cell.first.victim)));
    if (cell.second)
        text += (cell.isSequential ? ", then " : " and ") +
                std::string(FaultNames.at(static_cast<size_t>(cell.second->fault))) + " of " +
                std::string(VictimNames.at(static_cast<size_t>(cell.second->victim)));
    return text;
}

/// Stops the hosts that were removed from the cluster, since they may rejoin only with an empty disk.
void retireRemovedHosts(Simulation &simulation)
{
    simulation.runUntil([&] { return simulation.leader().has_value(); });
    const std::optional<size_t> leader = simulation.leader();
    if (!leader)
        return;
    const Membership members = simulation.host(*leader).node->log().membership();
    for (size_t i = 0; i < simulation.hostCount(); ++i) {
        Host &host = simulation.host(i);
        if (host.node && !members.contains(host.node->id()) && host.node->log().lastIndex() > 0) {
            host.isRetired = true;
            simulation.crash(i);
        }
    }
}

/// Ends the faults after 2.5 s and returns whether the cluster recovers.
bool recoverFromFaults(Simulation &simulation, const std::vector<size_t> &victims, const Cell &cell)
{
    simulation.run(2500ms);
    for (const size_t victim : victims)
        heal(simulation, victim);
    if (cell.step->voters == 4)
        retireRemovedHosts(simulation);
    return waitForRecovery(simulation);
}

std::string runCell(const Cell &cell, uint64_t seed)
{
    Simulation simulation{seed, cell.step->voters};
    if (!simulation.runUntil([&] { return simulation.leader().has_value() && simulation.isRepaired(); }))
        return "no first leader";
    const size_t leader = *simulation.leader();
    const std::optional<size_t> subject = cell.step->reach(simulation, leader);
    if (!subject)
        return "the step was not reached";
    const std::array<size_t, 3> hosts{leader, *subject, otherHost(simulation, leader, *subject)};
    simulation.scheduleEvery(50ms, [&] {
        simulation.propose(simulation.random.below(simulation.hostCount()));
        simulation.confirmOnAllHosts();
    });
    std::vector<size_t> victims{hosts.at(static_cast<size_t>(cell.first.victim))};
    inject(simulation, cell.first.fault, victims[0]);
    bool isRecovered = true;
    if (cell.isSequential)
        isRecovered = recoverFromFaults(simulation, victims, cell);
    if (cell.second) {
        victims.push_back(hosts.at(static_cast<size_t>(cell.second->victim)));
        inject(simulation, cell.second->fault, victims[1]);
    }
    isRecovered = isRecovered && recoverFromFaults(simulation, victims, cell);
    return isRecovered && simulation.violations().empty() ? std::string{} : describeFailure(simulation);
}

std::vector<Fault> allFaults()
{
    std::vector<Fault> faults;
    for (size_t i = 0; i < FaultNames.size(); ++i)
        faults.push_back(static_cast<Fault>(i));
    return faults;
}

void runCells(std::string_view name, const std::vector<Cell> &cells)
{
    size_t failures = 0;
    for (size_t i = 0; i < cells.size(); ++i) {
        const std::string failure = runCell(cells[i], i + 1);
        if (failure.empty())
            continue;
        // All cells run, but only the first ten failures are printed.
        if (++failures <= 10)
            std::cout << "cell " << i + 1 << " (" << describe(cells[i]) << "): " << failure << '\n';
    }
    std::cout << name << ": " << cells.size() << " cells run, " << failures << " failed\n";
    CHECK(failures == 0);
}

} // namespace

// Guards against a single fault that loses acknowledged entries, leads to two leaders or stops progress.
TEST_CASE("Fault matrix: every single fault at every step")
{
    std::vector<Cell> cells;
    for (const Step &step : Steps) {
        for (const Fault fault : allFaults()) {
            for (const Victim victim : {Victim::Leader, Victim::Subject, Victim::Other})
                cells.push_back(Cell{&step, {fault, victim}, std::nullopt});
        }
    }
    runCells("single faults", cells);
}

// Guards against repairs that do not restore the fault tolerance: after the recovery the same fault is
// injected again, at the same host or at another one. With a lost disk this is the loss of a second VM after
// a completed repair.
TEST_CASE("Fault matrix: the same fault twice at every step")
{
    std::vector<Cell> cells;
    for (const Step &step : Steps) {
        for (const Fault fault : allFaults()) {
            for (const Victim victim : {Victim::Leader, Victim::Subject}) {
                for (const Victim second : {victim, Victim::Other})
                    cells.push_back(Cell{&step, {fault, victim}, InjectedFault{fault, second}, true});
            }
        }
    }
    runCells("same fault twice", cells);
}

// Guards against faults that are tolerated alone but not together. Three voters cannot survive the loss of
// two disks at once, so in that pair the second disk is lost after the repair of the first.
TEST_CASE("Fault matrix: every pair of faults at every step")
{
    std::vector<Cell> cells;
    for (const Step &step : Steps) {
        for (const Fault first : allFaults()) {
            for (const Fault second : allFaults()) {
                const bool isSequential = first == Fault::LostDisk && second == Fault::LostDisk;
                for (const Victim victim : {Victim::Subject, Victim::Other})
                    cells.push_back(Cell{
                            &step, {first, Victim::Leader}, InjectedFault{second, victim}, isSequential});
            }
        }
    }
    runCells("pairs of faults", cells);
}
