#pragma once

#include "libgateway/servingconfig.h"

#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace eelgrasslift {

/// Index of one version of the configuration. Immutable and shared, so that a request uses the same version
/// from start to end.
class RouteTable
{
public:
    explicit RouteTable(ServingConfig config);

    /// Returns the route of the host whose path prefix is the longest match; nullptr if none matches. Ignores
    /// a port in the host and a query in the path.
    const Route *match(std::string_view host, std::string_view pathAndQuery) const;

    /// Returns the client account with the API key; nullptr if the key is unknown.
    const ClientAccount *accountOfKey(std::string_view key) const;
    /// Returns the service with the name; nullptr if there is none.
    const Service *service(std::string_view name) const;

    /// Chooses one of the route's services by weight; uniformValue is a random number in [0, 1).
    static const std::string &chooseService(const Route &route, double uniformValue);

    const ServingConfig &config() const { return this->configuration; }
    uint64_t version() const { return this->configuration.version; }

private:
    ServingConfig configuration;
    std::map<std::string, std::map<std::string, const Route *, std::less<>>, std::less<>> routesByHost;
    std::unordered_map<std::string_view, const ClientAccount *> accountsByKey;
    std::unordered_map<std::string_view, const Service *> servicesByName;
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

} // namespace eelgrasslift
