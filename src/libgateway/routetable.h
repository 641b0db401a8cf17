#pragma once

#include "libgateway/servingconfig.h"

#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace eelgrasslift {

/// Lookups in one version of the configuration. Immutable, so that a request keeps the version it began with.
class RouteTable
{
public:
    explicit RouteTable(ServingConfig config);

    /// The route of the host with the longest prefix of the path; nullptr if there is none. The path may
    /// carry a query.
    const Route *match(std::string_view host, std::string_view pathAndQuery) const;

    const ClientAccount *accountOfKey(std::string_view key) const;
    const Service *service(std::string_view name) const;

    /// Chooses one of the route's services by weight; ticket is uniform in [0, 1).
    static const std::string &chooseService(const Route &route, double ticket);

    const ServingConfig &config() const { return this->current; }
    uint64_t version() const { return this->current.version; }

private:
    ServingConfig current;
    std::map<std::string, std::map<std::string, const Route *, std::less<>>, std::less<>> routesByHost;
    std::unordered_map<std::string_view, const ClientAccount *> accountsByKey;
    std::unordered_map<std::string_view, const Service *> servicesByName;
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

} // namespace eelgrasslift
