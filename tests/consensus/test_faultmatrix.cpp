#include "faults.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace eelgrasslift;
using namespace eelgrasslift::test;

namespace {

/// Brings the cluster to the moment at which the fault strikes, and returns the host that the step is about.
struct Step
{
    std::string_view name;
    size_t voters;
    std::function<std::optional<size_t>(Simulation &, size_t leader)> reach;
};

size_t other(const Simulation &simulation, size_t first, size_t second)
{
    size_t number = 0;
    while (number == first || number == second)
        ++number;
    return number % simulation.hostCount();
}

std::optional<size_t> roleHost(Simulation &simulation, RaftRole role)
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
    if (!simulation.runUntil([&] { return roleHost(simulation, RaftRole::Candidate).has_value(); }))
        return std::nullopt;
    const auto candidate = roleHost(simulation, RaftRole::Candidate);
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
    bool isUnderWay = false;
    simulation.onSend = [&](const raft::Envelope &envelope) {
        const auto *chunk = std::get_if<raft::SnapshotChunk>(&envelope.message);
        isUnderWay = isUnderWay || (chunk != nullptr && chunk->offset > 0);
    };
    simulation.restart(lagging);
    const bool isReached = simulation.runUntil([&] { return isUnderWay; });
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

enum class Victim { Leader, Subject, Other };

constexpr std::array<std::string_view, 3> VictimNames{"leader", "subject", "other"};

struct Strike
{
    Fault fault;
    Victim victim;
};

struct Cell
{
    const Step *step;
    Strike first;
    std::optional<Strike> second;
    bool isSequential = false; // the second fault strikes after the first has healed and been repaired
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

/// Hosts that the step removes may rejoin only with an empty disk, so they are stopped at the end.
void stopRemoved(Simulation &simulation)
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

bool settle(Simulation &simulation, const std::vector<size_t> &victims, const Cell &cell)
{
    simulation.run(2500ms);
    for (const size_t victim : victims)
        heal(simulation, victim);
    if (cell.step->voters == 4)
        stopRemoved(simulation);
    return recovers(simulation);
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
    const std::array<size_t, 3> hosts{leader, *subject, other(simulation, leader, *subject)};
    simulation.every(50ms, [&] {
        simulation.propose(simulation.random.below(simulation.hostCount()));
        simulation.confirmEverywhere();
    });
    std::vector<size_t> victims{hosts.at(static_cast<size_t>(cell.first.victim))};
    inject(simulation, cell.first.fault, victims[0]);
    bool isRecovered = true;
    if (cell.isSequential)
        isRecovered = settle(simulation, victims, cell);
    if (cell.second) {
        victims.push_back(hosts.at(static_cast<size_t>(cell.second->victim)));
        inject(simulation, cell.second->fault, victims[1]);
    }
    isRecovered = isRecovered && settle(simulation, victims, cell);
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
        // Every cell runs; Catch2 reports the first ones.
        if (++failures <= 10)
            std::cout << "cell " << i + 1 << " (" << describe(cells[i]) << "): " << failure << '\n';
    }
    std::cout << name << ": " << cells.size() << " cells run, " << failures << " failed\n";
    CHECK(failures == 0);
}

} // namespace

// Guards against faults at a single step that lose acknowledged entries, split the leadership or stop
// progress.
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

// Guards against repairs that leave a member weaker than before: the fault strikes again after the repair, at
// the same host and at another one. With a lost disk this is the loss of a second VM after a completed
// repair.
TEST_CASE("Fault matrix: the same fault twice at every step")
{
    std::vector<Cell> cells;
    for (const Step &step : Steps) {
        for (const Fault fault : allFaults()) {
            for (const Victim victim : {Victim::Leader, Victim::Subject}) {
                for (const Victim second : {victim, Victim::Other})
                    cells.push_back(Cell{&step, {fault, victim}, Strike{fault, second}, true});
            }
        }
    }
    runCells("same fault twice", cells);
}

// Guards against faults that are harmless alone but not together. Two disks lost at once exceed what a
// majority of three can survive, so in that pair the second one is lost after the repair of the first.
TEST_CASE("Fault matrix: every pair of faults at every step")
{
    std::vector<Cell> cells;
    for (const Step &step : Steps) {
        for (const Fault first : allFaults()) {
            for (const Fault second : allFaults()) {
                const bool isSequential = first == Fault::LostDisk && second == Fault::LostDisk;
                for (const Victim victim : {Victim::Subject, Victim::Other})
                    cells.push_back(
                            Cell{&step, {first, Victim::Leader}, Strike{second, victim}, isSequential});
            }
        }
    }
    runCells("pairs of faults", cells);
}
