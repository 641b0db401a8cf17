#pragma once

#include "libcore/core.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace eelgrasslift::soak {

enum class Role { Gateway, Coordinator };

/// A process, by its role and its index among those of the role.
struct NodeId
{
    Role role = Role::Gateway;
    size_t index = 0;
};

/// A stand-in runner, by the index of its service and of its place in the service. The runner that replaces
/// one that has left takes over its place.
struct RunnerPlace
{
    size_t service = 0;
    size_t index = 0;
};

/// SIGTERM, and a restart after the process has ended.
struct Terminate
{
    NodeId node;
};
/// SIGKILL and a restart.
struct Kill
{
    NodeId node;
};
/// SIGSTOP, and SIGCONT after the duration.
struct Pause
{
    NodeId node;
    Duration duration{};
};
/// SIGHUP.
struct Reload
{
    NodeId node;
};
struct KillAllCoordinators
{};
/// SIGKILL of a coordinator and a restart without its data.
struct LoseData
{
    size_t coordinator = 0;
};
/// Where a runner that is leaving says so, beside the header of its responses.
enum class LeavingNotice {
    Everywhere, ///< In the list, its report and its health checks.
    Nowhere     ///< These show it as serving until its end.
};
/// The runner announces that it stops, serves for the duration, ends and is replaced.
struct RetireRunner
{
    RunnerPlace runner;
    Duration duration{};
    LeavingNotice notice = LeavingNotice::Everywhere;
};
struct SlowRunner
{
    RunnerPlace runner;
    Duration duration{};
};
/// The runner refuses all requests for the duration and asks for a pause until its end.
struct OverloadRunner
{
    RunnerPlace runner;
    Duration duration{};
};
/// The runner sends nothing for the duration; its connections stay open.
struct SilenceRunner
{
    RunnerPlace runner;
    Duration duration{};
};
/// All connections of the runner are reset.
struct ResetRunner
{
    RunnerPlace runner;
};

using Fault = std::variant<Terminate, Kill, Pause, Reload, KillAllCoordinators, LoseData, RetireRunner,
                           SlowRunner, SilenceRunner, ResetRunner, OverloadRunner>;

struct ScheduledFault
{
    /// Since the begin of the load.
    Duration time{};
    Fault fault;
};

/// Number of processes and runners among which faults are drawn.
struct Population
{
    size_t gateways = 3;
    size_t coordinators = 3;
    size_t services = 2;
    size_t runnersPerService = 4;
};

/// Draws the faults of a run, in order of time. The same arguments give the same faults. All losses of data
/// are at one coordinator.
std::vector<ScheduledFault> drawFaults(uint64_t seed, Duration length, const Population &population);
/// The coordinator whose data the faults of this seed empty.
size_t coordinatorThatLosesData(uint64_t seed, const Population &population);
std::string describe(const Fault &fault);

} // namespace eelgrasslift::soak
