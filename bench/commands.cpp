#include "commands.h"

#include <atomic>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace eelgrasslift::bench {

namespace {

/// One simulation run and its result.
struct Job
{
    std::string scenario;
    /// Column title: the policy, or the stall weight for tradeoff.
    std::string policy;
    RequestMix mix;
    double load = 1;
    RunSettings settings;
    Metrics result;
};

std::string scenarioLabel(const RequestMix &mix, double load, Fault fault)
{
    std::ostringstream out;
    out << mix.name << " load " << load << " " << toString(fault);
    return out.str();
}

/// Runs the jobs on `threadCount` threads and stores their results.
void runJobs(std::vector<Job> &jobs, uint32_t threadCount)
{
    std::atomic<size_t> next{0};
    std::vector<std::thread> threads;
    for (uint32_t i = 0; i < threadCount; ++i) {
        threads.emplace_back([&] {
            for (size_t index = next++; index < jobs.size(); index = next++) {
                Job &job = jobs[index];
                const auto trace = makeTrace(job.mix, job.load, job.settings.length, job.settings.seed);
                job.result = FleetSimulation(job.settings, job.mix, trace).run();
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
}

/// Adds the runs of all policies and seeds for one scenario, unless the scenario is filtered out.
void addJobs(std::vector<Job> &jobs, const CompareOptions &options, const RequestMix &mix, double load,
             Fault fault)
{
    const std::string scenario = scenarioLabel(mix, load, fault);
    if (scenario.find(options.scenarioFilter) == std::string::npos)
        return;
    for (const PolicyKind kind :
         {PolicyKind::RoundRobin, PolicyKind::LeastRequests, PolicyKind::TwoChoices,
          PolicyKind::LeastReported, PolicyKind::LeastBounded, PolicyKind::Eelgrasslift}) {
        for (uint32_t i = 0; i < options.seedCount; ++i) {
            RunSettings settings;
            settings.kind = kind;
            settings.fault = fault;
            settings.stallWeight = options.stallWeight;
            settings.seed = options.seed + i;
            jobs.push_back({scenario, std::string(toString(kind)), mix, load, settings, {}});
        }
    }
}

/// Prints one table per scenario with the mean over the seeds, and writes the CSV file. Jobs of the same
/// scenario and policy must be adjacent. Returns the exit status of the program.
int printResults(const std::vector<Job> &jobs, const CompareOptions &options)
{
    std::vector<ResultRow> rows;
    std::vector<ResultRow> csvRows;
    std::vector<Metrics> seedResults;
    for (size_t i = 0; i < jobs.size(); ++i) {
        const Job &job = jobs[i];
        csvRows.push_back({job.scenario, job.policy, job.settings.seed, job.result});
        seedResults.push_back(job.result);
        const bool isLast = i + 1 == jobs.size();
        if (!isLast && jobs[i + 1].scenario == job.scenario && jobs[i + 1].policy == job.policy)
            continue;
        rows.push_back({job.scenario, job.policy, 0, meanOf(seedResults)});
        seedResults.clear();
        if (!isLast && jobs[i + 1].scenario == job.scenario)
            continue;
        std::cout << formatTable(job.scenario, rows) << "\n";
        rows.clear();
    }
    if (options.csvFile.empty())
        return 0;
    std::ofstream file(options.csvFile);
    file << formatCsv(csvRows);
    return file.good() ? 0 : 1;
}

} // namespace

int runCompare(const CompareOptions &options)
{
    std::vector<Job> jobs;
    for (const RequestMix &mix : {plovdivMix(), steinerMix()}) {
        for (const double load : options.loads)
            addJobs(jobs, options, mix, load, Fault::None);
    }
    if (options.includeFaults) {
        for (const Fault fault : {Fault::DomainLoss, Fault::RackReclaim, Fault::LinkStall, Fault::MemoryFull,
                                  Fault::ThirdCrashes})
            addJobs(jobs, options, plovdivMix(), 0.7, fault);
    }
    runJobs(jobs, options.parallelRuns);
    return printResults(jobs, options);
}

int runTradeoff(const CompareOptions &options)
{
    std::vector<Job> jobs;
    for (const RequestMix &mix : {plovdivMix(), steinerMix()}) {
        for (const double load : options.loads) {
            for (const uint32_t weight : options.weights) {
                for (uint32_t i = 0; i < options.seedCount; ++i) {
                    RunSettings settings;
                    settings.stallWeight = weight;
                    settings.seed = options.seed + i;
                    jobs.push_back({scenarioLabel(mix, load, Fault::None),
                                    "weight " + std::to_string(weight),
                                    mix,
                                    load,
                                    settings,
                                    {}});
                }
            }
        }
    }
    runJobs(jobs, options.parallelRuns);
    return printResults(jobs, options);
}

} // namespace eelgrasslift::bench
