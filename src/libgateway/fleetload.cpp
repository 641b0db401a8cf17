#include "libgateway/fleetload.h"

#include <algorithm>

namespace eelgrasslift {

namespace {

// A report that arrives this long after a placement includes it: the gateway has received the placement,
// started the generation and counted it.
constexpr Duration PlacementReportDelay = std::chrono::milliseconds{60};

} // namespace

void FleetLoad::add(std::string_view runner, const RunnerLoad &load)
{
    auto found = this->sum.find(runner);
    if (found == this->sum.end())
        found = this->sum.emplace(std::string(runner), RunnerLoad{}).first;
    found->second += load;
}

void FleetLoad::subtract(std::string_view runner, const RunnerLoad &load)
{
    const auto found = this->sum.find(runner);
    if (found == this->sum.end())
        return;
    found->second -= load;
    if (found->second.activeRequests == 0 && found->second.memory.peak() <= 0)
        this->sum.erase(found);
}

void FleetLoad::update(std::string_view name, RunnerLoads loads, TimePoint now)
{
    auto found = this->gateways.find(name);
    if (found == this->gateways.end())
        found = this->gateways.emplace(std::string(name), Gateway{}).first;
    Gateway &gateway = found->second;
    for (const auto &[runner, load] : gateway.reported)
        this->subtract(runner, load);
    std::erase_if(gateway.pendingPlacements, [&](const Placement &placement) {
        const bool isReported = now - placement.placedAt > PlacementReportDelay;
        if (isReported)
            this->subtract(placement.runner, placement.load);
        return isReported;
    });
    gateway.reported = std::move(loads);
    gateway.lastReportAt = now;
    for (const auto &[runner, load] : gateway.reported)
        this->add(runner, load);
}

void FleetLoad::addPlacement(std::string_view name, std::string_view runner, const RunnerLoad &load,
                             TimePoint now)
{
    const auto found = this->gateways.find(name);
    if (found == this->gateways.end())
        return;
    found->second.pendingPlacements.push_back({std::string(runner), load, now});
    this->add(runner, load);
}

void FleetLoad::removeSilentGateways(TimePoint now, Duration timeout)
{
    std::erase_if(this->gateways, [&](const auto &entry) {
        const Gateway &gateway = entry.second;
        if (now - gateway.lastReportAt <= timeout)
            return false;
        for (const auto &[runner, load] : gateway.reported)
            this->subtract(runner, load);
        for (const Placement &placement : gateway.pendingPlacements)
            this->subtract(placement.runner, placement.load);
        return true;
    });
}

RunnerLoads FleetLoad::totalExcluding(std::string_view name, std::span<const std::string> runners) const
{
    const auto found = this->gateways.find(name);
    RunnerLoads result;
    for (const std::string &runner : runners) {
        const auto total = this->sum.find(runner);
        if (total == this->sum.end())
            continue;
        RunnerLoad others = total->second;
        if (found != this->gateways.end())
            others -= ownLoadOn(found->second, runner);
        if (others.activeRequests > 0 || others.memory.peak() > 0)
            result.emplace(runner, others);
    }
    return result;
}

RunnerLoad FleetLoad::ownLoad(std::string_view name, std::string_view runner) const
{
    const auto found = this->gateways.find(name);
    return found == this->gateways.end() ? RunnerLoad{} : ownLoadOn(found->second, runner);
}

bool FleetLoad::hasLoadOn(std::string_view name, std::span<const std::string> runners) const
{
    return std::ranges::any_of(runners, [&](const std::string &runner) {
        const RunnerLoad load = this->ownLoad(name, runner);
        return load.activeRequests > 0 || load.memory.peak() > 0;
    });
}

RunnerLoad FleetLoad::ownLoadOn(const Gateway &gateway, std::string_view runner)
{
    RunnerLoad load;
    if (const auto reported = gateway.reported.find(runner); reported != gateway.reported.end())
        load += reported->second;
    for (const Placement &placement : gateway.pendingPlacements) {
        if (placement.runner == runner)
            load += placement.load;
    }
    return load;
}

} // namespace eelgrasslift
