#include "commands.h"

#include <CLI/CLI.hpp>

using namespace eelgrasslift::bench;

int main(int argc, char **argv)
{
    CLI::App app{
            "Compares target selection and admission control with baseline policies on a simulated fleet"};
    app.require_subcommand(1);
    CompareOptions options;
    const auto addRunOptions = [&](CLI::App *command) {
        command->add_option("--seed", options.seed, "First seed");
        command->add_option("--seeds", options.seedCount, "Number of seeds")->check(CLI::PositiveNumber);
        command->add_option("--loads", options.loads, "Loads as multiples of the nominal capacity");
        command->add_option("--jobs", options.parallelRuns, "Number of parallel runs")
                ->check(CLI::PositiveNumber);
        command->add_option("--csv", options.csvFile, "CSV file to write, one line per run");
    };
    CLI::App *compareCommand = app.add_subcommand("compare", "Compare all policies on the same traces");
    addRunOptions(compareCommand);
    compareCommand->add_flag("!--no-faults", options.includeFaults, "Skip the runs with injected faults");
    compareCommand->add_option("--stall-weight", options.stallWeight, "Value of stall-weight, 0 to 100");
    compareCommand->add_option("--only", options.scenarioFilter,
                               "Run only the scenarios whose name contains this text");
    CLI::App *tradeoffCommand = app.add_subcommand("tradeoff", "Compare values of stall-weight");
    addRunOptions(tradeoffCommand);
    tradeoffCommand->add_option("--weights", options.weights, "Values of stall-weight, 0 to 100");
    CLI::App *slopesCommand = app.add_subcommand(
            "slopes", "Measure time per operation and bytes per object by number of targets and accounts");
    slopesCommand->add_option("--seed", options.seed, "Seed");
    CLI::App *gossipCommand =
            app.add_subcommand("gossip", "Measure the cost and the propagation time of gossip by fleet size");
    gossipCommand->add_option("--seed", options.seed, "Seed");
    CLI::App *limitsCommand = app.add_subcommand(
            "limits", "Measure how far nine entries together exceed the limit of an account");
    limitsCommand->add_option("--seed", options.seed, "Seed");
    CLI11_PARSE(app, argc, argv);

    if (*compareCommand)
        return runCompare(options);
    if (*tradeoffCommand)
        return runTradeoff(options);
    if (*gossipCommand)
        return runGossip(options.seed);
    if (*limitsCommand)
        return runLimits(options.seed);
    return runSlopes(options.seed);
}
