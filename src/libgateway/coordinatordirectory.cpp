#include "libgateway/coordinatordirectory.h"

#include <algorithm>

namespace eelgrasslift {

namespace {

// A restarted coordinator answers within about a second.
constexpr Duration AvoidanceTime = std::chrono::seconds{2};

} // namespace

void CoordinatorDirectory::add(std::string_view address)
{
    if (this->find(address) == nullptr)
        this->coordinators.push_back({std::string(address), {}, std::nullopt});
}

void CoordinatorDirectory::setMembers(const std::vector<std::string> &addresses)
{
    if (addresses.empty())
        return;
    for (const std::string &address : addresses)
        this->add(address);
    std::erase_if(this->coordinators, [&](const Coordinator &coordinator) {
        return std::find(addresses.begin(), addresses.end(), coordinator.address) == addresses.end();
    });
}

void CoordinatorDirectory::recordResponse(std::string_view address, std::string_view coordinatorDomain)
{
    if (Coordinator *coordinator = this->find(address)) {
        coordinator->domain = coordinatorDomain;
        coordinator->failedAt.reset();
    }
}

void CoordinatorDirectory::recordFailure(std::string_view address, TimePoint now)
{
    if (Coordinator *coordinator = this->find(address))
        coordinator->failedAt = now;
}

std::string CoordinatorDirectory::choose(TimePoint now, Random &random, std::string_view excluded) const
{
    std::vector<const Coordinator *> best;
    int bestRank = 0;
    for (const Coordinator &coordinator : this->coordinators) {
        if (coordinator.address == excluded)
            continue;
        const int rank = this->rankOf(coordinator, now);
        if (!best.empty() && rank > bestRank)
            continue;
        if (rank < bestRank)
            best.clear();
        best.push_back(&coordinator);
        bestRank = rank;
    }
    return best.empty() ? std::string{} : best[random.below(best.size())]->address;
}

CoordinatorDirectory::Coordinator *CoordinatorDirectory::find(std::string_view address)
{
    const auto found = std::ranges::find(this->coordinators, address, &Coordinator::address);
    return found == this->coordinators.end() ? nullptr : &*found;
}

int CoordinatorDirectory::rankOf(const Coordinator &coordinator, TimePoint now) const
{
    enum Rank { OwnDomain, UnknownDomain, OtherDomain, Failed };
    if (coordinator.failedAt && now - *coordinator.failedAt < AvoidanceTime)
        return Failed;
    if (coordinator.domain == this->domain)
        return OwnDomain;
    return coordinator.domain.empty() ? UnknownDomain : OtherDomain;
}

} // namespace eelgrasslift
