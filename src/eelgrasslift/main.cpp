#include "eelgrasslift/admincommands.h"
#include "eelgrasslift/entryprocess.h"
#include "eelgrasslift/entrysettings.h"
#include "eelgrasslift/logging.h"
#include "gateway/coordinatorprocess.h"
#include "gateway/gatewayprocess.h"
#include "platform/platform.h"

#include <CLI/CLI.hpp>

#include <cstdlib>

using namespace eelgrasslift;

namespace {

constexpr int ExitUsage = 2;

int runEntryCommand(EntrySettings &settings)
{
    setUpLogging(settings.common.logFormat == "json" ? LogFormat::Json : LogFormat::KeyValue,
                 settings.common.logLevel, "entry", settings.common.domain);
    settings.resumeKey = readSecret("EELGRASSLIFT_RESUME_KEY");
    if (settings.resumeKey.empty()) {
        logError("setting-missing", {{"setting", "EELGRASSLIFT_RESUME_KEY or EELGRASSLIFT_RESUME_KEY_FILE"}});
        return ExitUsage;
    }
    return runEntry(settings);
}

/// Runs a gateway or a coordinator on the users' platform, with the settings file that the environment
/// variable platform::SettingsVariable names.
template <typename Run>
int runOnPlatform(std::string_view process, Run run)
{
    const char *path = std::getenv(platform::SettingsVariable);
    const auto settings = platform::readNodeFile(path != nullptr ? path : "");
    const auto *nodeSettings = std::get_if<NodeSettings>(&settings);
    setUpAsyncLogging(process, nodeSettings != nullptr ? nodeSettings->domain : std::string{});
    if (nodeSettings == nullptr) {
        logError("settings-unusable", {{"cause", describe(std::get<SettingsError>(settings))},
                                       {"variable", platform::SettingsVariable}});
        return ExitUsage;
    }
    const platform::PlatformFormat format;
    const int exitCode = run(*nodeSettings, format, [path] { return platform::readNodeFile(path); });
    shutDownLogging();
    // Exits without destructors: suspended coroutines refer to each other and to objects destroyed before
    // them.
    std::_Exit(exitCode);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("eelgrasslift serves model generations and plain services between callers and targets.");
    app.require_subcommand(1);
    EntrySettings entrySettings;
    CLI::App &entry = *app.add_subcommand("entry", "Serve callers on an entry VM");
    addEntryOptions(entry, entrySettings);
    ControlCommands controlCommands(app);
    const CLI::App &gateway =
            *app.add_subcommand("gateway", "Serve callers on an entry VM of the users' platform");
    const CLI::App &coordinator =
            *app.add_subcommand("coordinator", "Hold configuration and fleet state on a VM with a disk");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : ExitUsage;
    }
    if (const auto exitCode = controlCommands.run())
        return *exitCode;
    if (gateway.parsed())
        return runOnPlatform("gateway", runGateway);
    if (coordinator.parsed())
        return runOnPlatform("coordinator", [](const NodeSettings &settings, const WireFormat &format,
                                               const auto &) { return runCoordinator(settings, format); });
    return runEntryCommand(entrySettings);
}
