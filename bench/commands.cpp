#include "commands.h"

#include <atomic>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace eelgrasslift::bench {

namespace {

struct Job
{
    std::string scenario;
    std::string name;
    Mix mix;
    double load = 1;
    RunSettings settings;
    Metrics result;
};

std::string scenarioName(const Mix &mix, double load, Fault fault)
{
    std::ostringstream out;
    out << mix.name << " load " << load << ", " << toString(fault);
    return out.str();
}

void runAll(std::vector<Job> &jobs, uint32_t threadCount)
{
    std::atomic<size_t> next{0};
    std::vector<std::thread> threads;
    for (uint32_t i = 0; i < threadCount; ++i) {
        threads.emplace_back([&] {
            for (size_t index = next++; index < jobs.size(); index = next++) {
                Job &job = jobs[index];
                const auto trace = makeTrace(job.mix, job.load, job.settings.length, job.settings.seed);
                job.result = Fleet(job.settings, job.mix, trace).run();
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
}

void addJobs(std::vector<Job> &jobs, const CompareOptions &options, const Mix &mix, double load, Fault fault)
{
    const std::string scenario = scenarioName(mix, load, fault);
    if (scenario.find(options.only) == std::string::npos)
        return;
    for (const PolicyKind kind :
         {PolicyKind::RoundRobin, PolicyKind::LeastRequests, PolicyKind::TwoChoices,
          PolicyKind::LeastReported, PolicyKind::LeastBounded, PolicyKind::Eelgrasslift}) {
        for (uint32_t i = 0; i < options.seeds; ++i) {
            RunSettings settings;
            settings.kind = kind;
            settings.fault = fault;
            settings.stallWeight = options.stallWeight;
            settings.seed = options.seed + i;
            jobs.push_back({scenario, std::string(toString(kind)), mix, load, settings, {}});
        }
    }
}

/// Prints one table per scenario with the mean over the seeds; jobs of one scenario and name are adjacent.
int printResults(const std::vector<Job> &jobs, const CompareOptions &options)
{
    std::vector<Row> table;
    std::vector<Row> all;
    std::vector<Metrics> runs;
    for (size_t i = 0; i < jobs.size(); ++i) {
        const Job &job = jobs[i];
        all.push_back({job.scenario, job.name, job.settings.seed, job.result});
        runs.push_back(job.result);
        const bool isLast = i + 1 == jobs.size();
        if (!isLast && jobs[i + 1].scenario == job.scenario && jobs[i + 1].name == job.name)
            continue;
        table.push_back({job.scenario, job.name, 0, meanOf(runs)});
        runs.clear();
        if (!isLast && jobs[i + 1].scenario == job.scenario)
            continue;
        std::cout << formatTable(job.scenario, table) << "\n";
        table.clear();
    }
    if (options.csvFile.empty())
        return 0;
    std::ofstream file(options.csvFile);
    file << formatCsv(all);
    return file.good() ? 0 : 1;
}

} // namespace

int compare(const CompareOptions &options)
{
    std::vector<Job> jobs;
    for (const Mix &mix : {plovdivMix(), steinerMix()}) {
        for (const double load : options.loads)
            addJobs(jobs, options, mix, load, Fault::None);
    }
    if (options.withFaults) {
        for (const Fault fault :
             {Fault::DomainLoss, Fault::RackReclaim, Fault::LinkStall, Fault::MemoryFull, Fault::ThirdDies})
            addJobs(jobs, options, plovdivMix(), 0.7, fault);
    }
    runAll(jobs, options.jobs);
    return printResults(jobs, options);
}

int tradeoff(const CompareOptions &options)
{
    std::vector<Job> jobs;
    for (const Mix &mix : {plovdivMix(), steinerMix()}) {
        for (const double load : options.loads) {
            for (const uint32_t weight : options.weights) {
                for (uint32_t i = 0; i < options.seeds; ++i) {
                    RunSettings settings;
                    settings.stallWeight = weight;
                    settings.seed = options.seed + i;
                    jobs.push_back({scenarioName(mix, load, Fault::None),
                                    "weight " + std::to_string(weight),
                                    mix,
                                    load,
                                    settings,
                                    {}});
                }
            }
        }
    }
    runAll(jobs, options.jobs);
    return printResults(jobs, options);
}

} // namespace eelgrasslift::bench
