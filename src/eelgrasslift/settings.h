#pragma once

#include "eelgrasslift/endpoint.h"
#include "libcore/core.h"

#include <CLI/CLI.hpp>

#include <string>
#include <vector>

namespace eelgrasslift {

/// Adds a flag "ip:port"; a bad value ends the start with the flag's name, the value and what is allowed.
CLI::Option *addEndpointOption(CLI::App &app, const std::string &flag, Endpoint &value,
                               const std::string &description);

/// Adds a flag with comma-separated "ip:port" values.
CLI::Option *addEndpointsOption(CLI::App &app, const std::string &flag, std::vector<Endpoint> &value,
                                const std::string &description);

/// Adds a flag "http://ip:port".
CLI::Option *addUrlOption(CLI::App &app, const std::string &flag, Endpoint &value,
                          const std::string &description);

/// Adds a flag with a duration such as "250ms", "10s", "5m" or "2h" between minimum and maximum.
CLI::Option *addDurationOption(CLI::App &app, const std::string &flag, Duration &value, Duration minimum,
                               Duration maximum, const std::string &description);

/// Parses "250ms", "10s", "5m" or "2h".
std::optional<Duration> parseDuration(std::string_view text);

/// Writes a duration in the largest unit that divides it, in the syntax of parseDuration().
std::string formatDuration(Duration duration);

/// Settings that every long-running subcommand has.
struct CommonSettings
{
    std::string domain;
    std::string logLevel = "info";
    std::string logFormat = "key-value";
};

void addCommonOptions(CLI::App &app, CommonSettings &settings);

/// Reads a secret from the environment variable name or from the file that name + "_FILE" names. Empty if
/// neither is set.
std::string readSecret(const std::string &name);

} // namespace eelgrasslift
