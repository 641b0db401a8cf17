#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;

namespace {

Route makeRoute(std::string host, std::string prefix)
{
    Route route;
    route.name = host + prefix;
    route.host = std::move(host);
    route.pathPrefix = std::move(prefix);
    route.timeout = std::chrono::seconds{1};
    route.services = {{"s", 1}};
    return route;
}

ServingConfig makeConfig()
{
    ServingConfig config;
    config.version = 7;
    Service service;
    service.name = "s";
    config.services = {service};
    config.routes = {makeRoute("h", "/a/"), makeRoute("h", "/a/b/"), makeRoute("g", "/")};
    config.accounts = {{"one", {"k1", "k2"}, std::nullopt}, {"two", {"k3"}, 1}};
    config.hasAccounts = true;
    return config;
}

struct MatchCase
{
    std::string host;
    std::string path;
    std::string expected; // empty: no route
};

const std::vector<MatchCase> MatchCases{
        {"h", "/a/x", "h/a/"}, {"h", "/a/b/x", "h/a/b/"}, {"h", "/a/b", "h/a/"},
        {"h", "/a", ""},       {"h", "/c/", ""},          {"g", "/c/", "g/"},
        {"x", "/a/", ""},      {"h:80", "/a/", "h/a/"},   {"h", "/a/b?c=/d/", "h/a/"},
        {"g", "?x", ""},
};

struct ErrorCase
{
    std::string name;
    std::function<void(ServingConfig &)> invalidate;
    ConfigErrorKind expected;
};

const std::vector<ErrorCase> ErrorCases{
        {"unknown service",
         [](ServingConfig &config) {
             config.routes[0].services = {{"t", 1}};
         },
         ConfigErrorKind::UnknownService},
        {"same host and prefix", [](ServingConfig &config) { config.routes[1].pathPrefix = "/a/"; },
         ConfigErrorKind::DuplicateRoute},
        {"weights of 0",
         [](ServingConfig &config) {
             config.routes[0].services = {{"s", 0}, {"s", 0}};
         },
         ConfigErrorKind::NoWeight},
        {"timeout of 0", [](ServingConfig &config) { config.routes[0].timeout = Duration::zero(); },
         ConfigErrorKind::NoTimeout},
        {"shared key", [](ServingConfig &config) { config.accounts[1].keys = {"k1"}; },
         ConfigErrorKind::SharedKey},
        {"prefix without slash", [](ServingConfig &config) { config.routes[0].pathPrefix = "/a"; },
         ConfigErrorKind::BadPrefix},
};

} // namespace

TEST_CASE("A request matches the route with the longest path prefix of its host", "[routetable]")
{
    const RouteTable table(makeConfig());
    const MatchCase &row = GENERATE(from_range(MatchCases));
    INFO(row.host << " " << row.path);
    const Route *route = table.match(row.host, row.path);
    CHECK((route == nullptr ? std::string{} : route->name) == row.expected);
}

TEST_CASE("An invalid configuration is rejected with a reason", "[servingconfig]")
{
    CHECK_FALSE(validate(makeConfig()));
    const ErrorCase &row = GENERATE(from_range(ErrorCases));
    INFO(row.name);
    ServingConfig config = makeConfig();
    row.invalidate(config);
    const auto error = validate(config);
    REQUIRE(error);
    CHECK(error->kind == row.expected);
}

TEST_CASE("Keys identify their accounts and services are chosen by weight", "[routetable]")
{
    const RouteTable table(makeConfig());
    REQUIRE(table.accountOfKey("k2"));
    CHECK(table.accountOfKey("k2")->name == "one");
    CHECK(table.accountOfKey("k4") == nullptr);
    Route route = makeRoute("h", "/");
    route.services = {{"a", 90}, {"b", 10}, {"c", 0}};
    CHECK(RouteTable::chooseService(route, 0.0) == "a");
    CHECK(RouteTable::chooseService(route, 0.899) == "a");
    CHECK(RouteTable::chooseService(route, 0.9) == "b");
    CHECK(RouteTable::chooseService(route, 0.9999) == "b");
}
