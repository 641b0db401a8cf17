#pragma once

#include <cstdint>
#include <string>

namespace eelgrasslift::scenario {

/// Inode of the client's socket of the loopback connection from localPort to remotePort; empty if there is
/// none. Queries the kernel for this connection only: reading /proc/net/tcp takes milliseconds even with few
/// connections, and a relay that does so for each connection falls behind.
std::string inodeOfConnection(uint16_t localPort, uint16_t remotePort);

} // namespace eelgrasslift::scenario
