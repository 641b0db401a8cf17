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

    /// Returns "ip:port", or "[ip6]:port" for an IPv6 address.
    std::string toString() const;
    bool operator==(const Endpoint &) const = default;
};

/// Parses "ip:port" or "[ip6]:port". Returns nothing if the address or the port is invalid; host names are
/// not resolved.
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// Parses "http://ip:port" with an optional trailing slash. Returns nothing if the text is not such a URL.
std::optional<Endpoint> parseHttpUrl(std::string_view text);

/// Replaces port 0 by a port that is free at this moment, for servers that cannot report the port they bound.
/// Other endpoints are returned unchanged. Throws boost::system::system_error if the address cannot be bound.
Endpoint withFreePort(const Endpoint &endpoint);

} // namespace eelgrasslift
