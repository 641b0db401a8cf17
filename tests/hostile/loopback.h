#pragma once

#include "eelgrasslift/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <optional>

namespace eelgrasslift {

/// Endpoints with different free ports, at a loopback address of this process: at a shared one, another
/// process could take a port before the gateway listens.
std::array<Endpoint, 3> freeEndpoints(boost::asio::io_context &io);

/// Connects to the gateway; nothing if it does not accept connections.
std::optional<boost::asio::ip::tcp::socket> connectTo(boost::asio::io_context &io, const Endpoint &endpoint);

} // namespace eelgrasslift
