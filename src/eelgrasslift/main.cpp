#include "eelgrasslift/admincommands.h"
#include "eelgrasslift/entryprocess.h"
#include "eelgrasslift/entrysettings.h"
#include "eelgrasslift/logging.h"

#include <CLI/CLI.hpp>

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

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("eelgrasslift serves model generations and plain services between callers and targets.");
    app.require_subcommand(1);
    EntrySettings entrySettings;
    CLI::App &entry = *app.add_subcommand("entry", "Serve callers on an entry VM");
    addEntryOptions(entry, entrySettings);
    ControlCommands controlCommands(app);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : ExitUsage;
    }
    if (const auto exitCode = controlCommands.run())
        return *exitCode;
    return runEntryCommand(entrySettings);
}
