#pragma once

#include "eelgrasslift/endpoint.h"

#include <string>

namespace eelgrasslift::soak {

// Below the range of ephemeral ports.
inline constexpr uint16_t CallerPort = 8740;
inline constexpr uint16_t ReadinessPort = 8749;
inline constexpr uint16_t OperatorPort = 8748;
inline constexpr uint16_t FirstInternalPort = 7200;
inline constexpr uint16_t LastInternalPort = 7215;
inline constexpr uint16_t ListPort = 8742;
inline constexpr uint16_t RunnerPort = 9000;

/// Loopback addresses of a run. Each process and runner has an address of its own, because coordinators use
/// the same ports. The pid of the soak selects the block, so that several soaks run side by side.
class AddressPlan
{
public:
    explicit AddressPlan(uint32_t pid)
    {
        constexpr uint32_t BlockSize = 256;
        constexpr uint32_t Blocks = 250;
        // 127.0 is left to other programs.
        this->prefix = "127." + std::to_string(1 + pid / BlockSize % Blocks) + "." +
                       std::to_string(pid % BlockSize) + ".";
    }

    std::string coordinator(size_t index) const { return this->host(1 + index); }
    std::string gateway(size_t index) const { return this->host(11 + index); }
    Endpoint list() const { return {this->host(21), ListPort}; }
    /// Addresses are used again after 200 starts of runners.
    Endpoint runner(uint64_t number) const { return {this->host(31 + number % 200), RunnerPort}; }

private:
    std::string host(uint64_t number) const { return this->prefix + std::to_string(number); }

    std::string prefix;
};

} // namespace eelgrasslift::soak
