#include "libgateway/routetable.h"

namespace eelgrasslift {

RouteTable::RouteTable(ServingConfig config)
    : configuration(std::move(config))
{
    for (const Route &route : this->configuration.routes)
        this->routesByHost[route.host].emplace(route.pathPrefix, &route);
    for (const ClientAccount &account : this->configuration.accounts) {
        for (const std::string &key : account.keys)
            this->accountsByKey.emplace(key, &account);
    }
    for (const Service &service : this->configuration.services)
        this->servicesByName.emplace(service.name, &service);
}

const Route *RouteTable::match(std::string_view host, std::string_view pathAndQuery) const
{
    const auto found = this->routesByHost.find(host.substr(0, host.find(':')));
    if (found == this->routesByHost.end())
        return nullptr;
    std::string_view path = pathAndQuery.substr(0, pathAndQuery.find('?'));
    // Prefixes end with a slash, so only parts of the path up to a slash can match; tries the longest first.
    for (size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/')) {
        const auto route = found->second.find(path.substr(0, slash + 1));
        if (route != found->second.end())
            return route->second;
        if (slash == 0)
            break;
        path = path.substr(0, slash);
    }
    return nullptr;
}

const ClientAccount *RouteTable::accountOfKey(std::string_view key) const
{
    const auto found = this->accountsByKey.find(key);
    return found == this->accountsByKey.end() ? nullptr : found->second;
}

const Service *RouteTable::service(std::string_view name) const
{
    const auto found = this->servicesByName.find(name);
    return found == this->servicesByName.end() ? nullptr : found->second;
}

const std::string &RouteTable::chooseService(const Route &route, double uniformValue)
{
    uint64_t total = 0;
    for (const WeightedService &share : route.services)
        total += share.weight;
    double remainingWeight = uniformValue * static_cast<double>(total);
    for (const WeightedService &share : route.services) {
        remainingWeight -= static_cast<double>(share.weight);
        if (remainingWeight < 0)
            return share.service;
    }
    return route.services.back().service;
}

} // namespace eelgrasslift
