#pragma once

#include "libcore/core.h"

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <map>
#include <string>
#include <string_view>

namespace eelgrasslift::soak {

/// Log of a run: faults, counts and broken promises, with the seconds since the start.
class Journal
{
public:
    /// Writes to soak.log in the folder.
    Journal(uint64_t seed, const std::filesystem::path &folder);

    void note(std::string_view text);
    /// Records a broken promise and prints it. An empty request id stands for a promise that concerns no
    /// single request.
    void recordBreach(std::string_view requestId, std::string_view text);
    void count(std::string_view name) { ++this->counters[std::string(name)]; }

    size_t breachCount() const { return this->breaches; }
    const std::map<std::string, uint64_t> &counts() const { return this->counters; }

private:
    std::string elapsed() const;

    uint64_t seed;
    TimePoint startedAt;
    std::ofstream file;
    std::map<std::string, uint64_t> counters;
    size_t breaches = 0;
};

} // namespace eelgrasslift::soak
