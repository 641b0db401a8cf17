#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrasslift {

/// An IP address and a TCP port.
struct Endpoint
{
    std::string address;
    uint16_t port = 0;

    std::string toString() const;
    bool operator==(const Endpoint &) const = default;
};

/// Parses "ip:port" or "[ip6]:port"; nothing if the text is neither. Host names are not resolved.
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// Parses "http://ip:port" with an optional trailing slash.
std::optional<Endpoint> parseHttpUrl(std::string_view text);

/// Replaces port 0 by a free port of the address, for servers that cannot report the port they bound.
Endpoint withFreePort(const Endpoint &endpoint);

} // namespace eelgrasslift
