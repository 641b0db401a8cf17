#pragma once

#include "eelgrasslift/endpoint.h"
#include "libcore/core.h"

#include <CLI/CLI.hpp>

#include <string>
#include <vector>

namespace eelgrasslift {

// Each function below adds one flag that can also be set by an environment variable: "--poll-interval" by
// EELGRASSLIFT_POLL_INTERVAL. An invalid value throws CLI::ValidationError, which names the flag, the value
// and the accepted values.

/// Adds a flag whose value is "ip:port".
CLI::Option *addEndpointOption(CLI::App &app, const std::string &flag, Endpoint &value,
                               const std::string &description);

/// Adds a flag whose value is a comma-separated list of "ip:port".
CLI::Option *addEndpointsOption(CLI::App &app, const std::string &flag, std::vector<Endpoint> &value,
                                const std::string &description);

/// Adds a flag whose value is "http://ip:port".
CLI::Option *addUrlOption(CLI::App &app, const std::string &flag, Endpoint &value,
                          const std::string &description);

/// Adds a flag whose value is a duration such as "250ms", "10s", "5m" or "2h" between minimum and maximum,
/// inclusive. The initial content of value is the default.
CLI::Option *addDurationOption(CLI::App &app, const std::string &flag, Duration &value, Duration minimum,
                               Duration maximum, const std::string &description);

/// Parses a duration such as "250ms", "10s", "5m" or "2h". Returns nothing if the text has another format or
/// the number exceeds 1,000,000.
std::optional<Duration> parseDuration(std::string_view text);

/// Formats a duration in the syntax of parseDuration(), in the largest unit that divides it.
std::string formatDuration(Duration duration);

/// Settings shared by the subcommands `entry` and `control`.
struct CommonSettings
{
    /// Failure domain of this VM.
    std::string domain;
    /// Lowest level that is logged: "debug", "info", "warn" or "err".
    std::string logLevel = "info";
    /// "key-value" or "json".
    std::string logFormat = "key-value";
};

/// Adds the flags of CommonSettings to a subcommand.
void addCommonOptions(CLI::App &app, CommonSettings &settings);

/// Reads a secret from the environment variable `name`, or else from the file whose path is in the variable
/// `name` + "_FILE", without trailing line breaks. Returns an empty string if neither variable is set or the
/// file cannot be read.
std::string readSecret(const std::string &name);

} // namespace eelgrasslift
