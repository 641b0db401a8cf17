#pragma once

#include "simulation.h"

#include <array>
#include <string_view>

namespace eelgrasslift::test {

/// Faults of one host that the simulation can inject.
enum class Fault {
    Kill,
    Restart,
    LostDisk,
    TornWrite,
    CutOutgoing,
    CutIncoming,
    CutBoth,
    Pause,
    Delay,
    Duplicate,
    Reorder,
    LostAnswer,
    ClockRate
};

inline constexpr std::array<std::string_view, 13> FaultNames{
        "kill",  "restart", "lost disk", "torn write", "one-way cut out", "one-way cut in", "two-way cut",
        "pause", "delay",   "duplicate", "reorder",    "lost answer",     "clock rate"};

/// Injects the fault at the host. A restart, a lost disk or a torn write ends by itself; the other faults
/// last until heal() is called.
inline void inject(Simulation &simulation, Fault fault, size_t victim)
{
    Host &host = simulation.host(victim);
    switch (fault) {
    case Fault::Kill:
        return simulation.crash(victim);
    case Fault::Restart:
        simulation.crash(victim);
        return simulation.restart(victim);
    case Fault::LostDisk:
        return simulation.loseDisk(victim);
    case Fault::TornWrite:
        host.crashesAtNextSync = host.node.has_value();
        return;
    case Fault::CutOutgoing:
        host.dropsOutgoing = true;
        return;
    case Fault::CutIncoming:
        host.dropsIncoming = true;
        return;
    case Fault::CutBoth:
        host.dropsOutgoing = host.dropsIncoming = true;
        return;
    case Fault::Pause:
        host.isPaused = true;
        return;
    case Fault::Delay:
        host.delayMin = 200ms;
        host.delayMax = 800ms;
        return;
    case Fault::Duplicate:
        host.duplicates = true;
        host.delayMax = 20ms;
        return;
    case Fault::Reorder:
        host.delayMax = 100ms;
        return;
    case Fault::LostAnswer:
        host.dropsReplies = true;
        return;
    case Fault::ClockRate:
        // The clock rates differ by a factor of 1.27; the lease tolerates up to 1.33 (600 ms election timeout
        // divided by 450 ms usable lease).
        for (size_t i = 0; i < simulation.hostCount(); ++i)
            simulation.setClockRate(i, i == victim ? 0.88 : 1.12);
        return;
    }
}

/// Ends every fault of the host and resets all clock rates; a crashed host restarts with the disk that it
/// has.
inline void heal(Simulation &simulation, size_t victim)
{
    simulation.healNetwork(victim);
    simulation.resume(victim);
    simulation.restart(victim);
    simulation.host(victim).crashesAtNextSync = false;
    for (size_t i = 0; i < simulation.hostCount(); ++i)
        simulation.setClockRate(i, 1.0);
}

/// Runs until every member is up and a new proposal is committed on all of them, and returns whether that
/// happens within 30 s for each. Also checks the acknowledged commands.
inline bool waitForRecovery(Simulation &simulation)
{
    if (!simulation.runUntil([&] { return simulation.isRepaired(); }, 30s))
        return false;
    raft::RequestId last = 0;
    const bool isCommitted = simulation.runUntil(
            [&] {
                if (last == 0 || simulation.isRejected(last)) {
                    const std::optional<size_t> leader = simulation.leader();
                    last = leader ? simulation.propose(*leader) : 0;
                }
                return simulation.isAcknowledged(last) && simulation.isRepaired();
            },
            30s);
    simulation.checkAcknowledged();
    return isCommitted;
}

inline std::string describeFailure(const Simulation &simulation)
{
    return simulation.violations().empty() ? "no progress after the end of the faults"
                                           : simulation.violations().front();
}

} // namespace eelgrasslift::test
