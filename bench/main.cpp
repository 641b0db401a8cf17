#include "commands.h"

#include <CLI/CLI.hpp>

using namespace eelgrasslift::bench;

int main(int argc, char **argv)
{
    CLI::App app{"Measures target selection and admission against baselines on a model of the fleet"};
    app.require_subcommand(1);
    CompareOptions options;
    const auto addRunOptions = [&](CLI::App *command) {
        command->add_option("--seed", options.seed, "First seed");
        command->add_option("--seeds", options.seeds, "Number of seeds")->check(CLI::PositiveNumber);
        command->add_option("--loads", options.loads, "Loads, 1.0 is the nominal capacity");
        command->add_option("--jobs", options.jobs, "Runs at the same time")->check(CLI::PositiveNumber);
        command->add_option("--csv", options.csvFile, "Also write one line per run to this file");
    };
    CLI::App *compareCommand = app.add_subcommand("compare", "Policies side by side on the same traces");
    addRunOptions(compareCommand);
    compareCommand->add_flag("!--no-faults", options.withFaults, "Leave out the runs with faults");
    compareCommand->add_option("--stall-weight", options.stallWeight, "The fleet rule's stall-weight");
    compareCommand->add_option("--only", options.only, "Only scenarios whose name contains this text");
    CLI::App *tradeoffCommand = app.add_subcommand("tradeoff", "Effect of stall-weight");
    addRunOptions(tradeoffCommand);
    tradeoffCommand->add_option("--weights", options.weights, "Values of stall-weight");
    CLI::App *slopesCommand = app.add_subcommand("slopes", "Cost per decision and bytes per object by size");
    slopesCommand->add_option("--seed", options.seed, "Seed");
    CLI11_PARSE(app, argc, argv);

    if (*compareCommand)
        return compare(options);
    if (*tradeoffCommand)
        return tradeoff(options);
    return slopes(options.seed);
}
