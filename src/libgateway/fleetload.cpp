#include "libgateway/fleetload.h"

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

RunnerLoads FleetLoad::totalExcluding(std::string_view name) const
{
    RunnerLoads result = this->sum;
    const auto found = this->gateways.find(name);
    if (found == this->gateways.end())
        return result;
    for (const auto &[runner, load] : found->second.reported) {
        if (const auto known = result.find(runner); known != result.end())
            known->second -= load;
    }
    for (const Placement &placement : found->second.pendingPlacements) {
        if (const auto known = result.find(placement.runner); known != result.end())
            known->second -= placement.load;
    }
    return result;
}

} // namespace eelgrasslift
