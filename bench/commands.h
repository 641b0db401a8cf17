#pragma once

#include "fleetsimulation.h"

#include <string>
#include <vector>

namespace eelgrasslift::bench {

/// Options of the compare and tradeoff subcommands; the others use only the seed.
struct CompareOptions
{
    /// First of seedCount consecutive seeds.
    uint64_t seed = 1;
    uint32_t seedCount = 2;
    /// Number of simulations that run in parallel, one thread each.
    uint32_t parallelRuns = 3;
    /// Request rates as multiples of RequestMix::nominalRate.
    std::vector<double> loads{0.6, 0.9, 1.1};
    /// Whether compare also runs the scenarios with an injected fault.
    bool includeFaults = true;
    /// SelectorOptions::stallWeight for compare.
    uint32_t stallWeight = 50;
    /// Stall weights that tradeoff compares.
    std::vector<uint32_t> weights{0, 25, 50, 75, 100};
    /// compare runs only the scenarios whose name contains this text.
    std::string scenarioFilter;
    /// File for the result of each run; empty for none.
    std::string csvFile;
};

/// Simulates all policies on the same traces and prints a table of metrics per scenario. Returns the exit
/// status of the program, which is 1 if the CSV file cannot be written.
int runCompare(const CompareOptions &options);
/// Simulates policy eelgrasslift with several stall weights; prints and returns the same as runCompare().
int runTradeoff(const CompareOptions &options);
/// Measures the time per operation and the bytes per object of the librouting classes by number of targets
/// and accounts, and prints a table. Returns 0.
int runSlopes(uint64_t seed);
/// Measures the bytes, the processor time and the propagation time of gossip by number of nodes, and prints a
/// table. Returns 0.
int runGossip(uint64_t seed);
/// Measures by how many requests nine entries together exceed the rate limit of an account, and prints a
/// table. Returns 0.
int runLimits(uint64_t seed);

} // namespace eelgrasslift::bench
