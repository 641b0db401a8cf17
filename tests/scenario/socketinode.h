#pragma once

#include <cstdint>
#include <string>

namespace eelgrasslift::scenario {

/// Socket inode of the loopback connection from localPort to remotePort, as its client holds it; empty if
/// there is none. Asks the kernel for the one connection: reading /proc/net/tcp takes milliseconds however
/// few connections there are, and a relay that does so for each connection falls behind.
std::string inodeOfConnection(uint16_t localPort, uint16_t remotePort);

} // namespace eelgrasslift::scenario
