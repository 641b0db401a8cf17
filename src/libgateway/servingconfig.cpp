#include "libgateway/servingconfig.h"

#include <array>
#include <set>
#include <string_view>

namespace eelgrasslift {

std::string describe(const ConfigError &error)
{
    static constexpr std::array<std::string_view, 8> Names{
            "unreadable",   "missing or mistyped field", "unknown service",    "duplicate route", "no weight",
            "timeout of 0", "prefix without slashes",    "key of two accounts"};
    return std::string(Names.at(static_cast<size_t>(error.kind))) + ": " + error.subject;
}

std::optional<ConfigError> validate(const ServingConfig &config)
{
    std::set<std::string_view> services;
    for (const Service &service : config.services)
        services.insert(service.name);
    std::set<std::pair<std::string_view, std::string_view>> hostsAndPrefixes;
    for (const Route &route : config.routes) {
        uint64_t weight = 0;
        for (const WeightedService &share : route.services) {
            if (!services.contains(share.service))
                return ConfigError{ConfigErrorKind::UnknownService, route.name + " to " + share.service};
            weight += share.weight;
        }
        if (weight == 0)
            return ConfigError{ConfigErrorKind::NoWeight, route.name};
        if (route.timeout <= Duration::zero())
            return ConfigError{ConfigErrorKind::NoTimeout, route.name};
        if (!route.pathPrefix.starts_with('/') || !route.pathPrefix.ends_with('/'))
            return ConfigError{ConfigErrorKind::BadPrefix, route.name};
        if (!hostsAndPrefixes.emplace(route.host, route.pathPrefix).second)
            return ConfigError{ConfigErrorKind::DuplicateRoute, route.name};
    }
    std::set<std::string_view> keys;
    for (const ClientAccount &account : config.accounts) {
        const std::set<std::string_view> accountKeys(account.keys.begin(), account.keys.end());
        for (const std::string_view key : accountKeys) {
            if (!keys.insert(key).second)
                return ConfigError{ConfigErrorKind::SharedKey, account.name};
        }
    }
    return std::nullopt;
}

} // namespace eelgrasslift
