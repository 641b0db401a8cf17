#include "soakrun.h"

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <iostream>

namespace {

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitSetupFailed = 2;
constexpr double MinLoadSeconds = 5;
constexpr double MaxLoadSeconds = 3600;

std::filesystem::path makeRunFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "eelgrasslift-soak-XXXXXX").string();
    return mkdtemp(pattern.data()) == nullptr ? std::filesystem::path{} : std::filesystem::path(pattern);
}

} // namespace

int main(int argc, char **argv)
{
    using namespace eelgrasslift;
    soak::SoakOptions options;
    double seconds = toSeconds(options.length);
    std::string binary;
    bool isListing = false;
    CLI::App app{"Runs gateways and coordinators under faults and checks what callers and runners see"};
    app.add_option("--seed", options.seed, "Selects the faults; the same seed repeats them")->required();
    app.add_option("--seconds", seconds, "Length of the load")
            ->check(CLI::Range(MinLoadSeconds, MaxLoadSeconds));
    app.add_flag("--crashing-requests", options.hasCrashingRequests,
                 "Send requests that end their runners, instead of other faults");
    app.add_flag("--crashing-prompt-parts", options.hasCrashingPromptParts,
                 "Send requests that have only a part of their prompts in common, which ends their runners")
            ->excludes("--crashing-requests");
    app.add_flag("--unanswered", options.areCrashesUnanswered,
                 "Parts of prompts end their runners before the head of the response")
            ->needs("--crashing-prompt-parts");
    app.add_option("--binary", binary, "The program eelgrasslift")->check(CLI::ExistingFile);
    app.add_flag("--list", isListing, "Print the faults of the seed instead of running them");
    CLI11_PARSE(app, argc, argv);
    options.length = fromSeconds(seconds);
    if (isListing) {
        for (const auto &[time, fault] : soak::drawFaults(options.seed, options.length, {}))
            std::cout << toSeconds(time) << " s  " << soak::describe(fault) << "\n";
        return ExitHeld;
    }
    if (binary.empty()) {
        std::cerr << "--binary is required\n";
        return ExitSetupFailed;
    }
    options.binary = std::filesystem::absolute(binary);
    options.folder = makeRunFolder();
    if (options.folder.empty()) {
        std::cerr << "cannot create a folder in " << std::filesystem::temp_directory_path() << "\n";
        return ExitSetupFailed;
    }
    const std::filesystem::path folder = options.folder;
    const auto result = soak::SoakRun(std::move(options)).play();
    if (const auto *error = std::get_if<soak::SetupError>(&result)) {
        std::cerr << "soak not run: " << error->cause << "; logs in " << folder << "\n";
        return ExitSetupFailed;
    }
    if (std::get<size_t>(result) > 0) {
        std::cout << "logs in " << folder.string() << std::endl;
        return ExitBroken;
    }
    std::filesystem::remove_all(folder);
    return ExitHeld;
}
