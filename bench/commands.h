#pragma once

#include "fleet.h"

#include <string>
#include <vector>

namespace eelgrasslift::bench {

struct CompareOptions
{
    uint64_t seed = 1;
    uint32_t seeds = 2;
    /// Runs at the same time.
    uint32_t jobs = 3;
    std::vector<double> loads{0.6, 0.9, 1.1};
    bool withFaults = true;
    uint32_t stallWeight = 50;
    /// Of tradeoff.
    std::vector<uint32_t> weights{0, 25, 50, 75, 100};
    std::string only;
    std::string csvFile;
};

int compare(const CompareOptions &options);
int tradeoff(const CompareOptions &options);
int slopes(uint64_t seed);

} // namespace eelgrasslift::bench
