#pragma once

#include "simulation.h"

#include <array>
#include <string_view>

namespace eelgrasslift::test {

enum class Fault {
    Kill,
    Restart,
    LostDisk,
    TornWrite,
    CutOutgoing,
    CutIncoming,
    CutBoth,
    Freeze,
    Delay,
    Duplicate,
    Reorder,
    LostAnswer,
    ClockRate
};

inline constexpr std::array<std::string_view, 13> FaultNames{
        "kill",   "restart", "lost disk", "torn write", "one-way cut out", "one-way cut in", "two-way cut",
        "freeze", "delay",   "duplicate", "reorder",    "lost answer",     "clock rate"};

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
    case Fault::Freeze:
        host.isFrozen = true;
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
        // The ratio of 1.27 is below the 1.33 (600 ms timeout over 450 ms lease) that the lease tolerates.
        for (size_t i = 0; i < simulation.hostCount(); ++i)
            simulation.setClockRate(i, i == victim ? 0.88 : 1.12);
        return;
    }
}

/// Ends every fault; hosts that are down restart with the disk that they have.
inline void heal(Simulation &simulation, size_t victim)
{
    simulation.healNetwork(victim);
    simulation.thaw(victim);
    simulation.restart(victim);
    simulation.host(victim).crashesAtNextSync = false;
    for (size_t i = 0; i < simulation.hostCount(); ++i)
        simulation.setClockRate(i, 1.0);
}

/// Every member runs, follows one leader, and a further proposal reaches all of them.
inline bool recovers(Simulation &simulation)
{
    if (!simulation.runUntil([&] { return simulation.isRepaired(); }, 30s))
        return false;
    raft::RequestId last = 0;
    const bool isCommitted = simulation.runUntil(
            [&] {
                if (const auto leader = simulation.leader(); leader && last == 0)
                    last = simulation.propose(*leader);
                if (last != 0 && !simulation.isAcknowledged(last) && !simulation.leader())
                    last = 0;
                return last != 0 && simulation.isAcknowledged(last) && simulation.isRepaired();
            },
            30s);
    simulation.checkAcknowledged();
    return isCommitted;
}

inline std::string describeFailure(const Simulation &simulation)
{
    return simulation.violations().empty() ? "no progress after the faults ended"
                                           : simulation.violations().front();
}

} // namespace eelgrasslift::test
