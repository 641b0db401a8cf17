#pragma once

#include "eelgrasslift/adminclient.h"
#include "eelgrasslift/controlsettings.h"

#include <CLI/CLI.hpp>

#include <functional>
#include <map>
#include <optional>

namespace eelgrasslift {

// Exit codes of the operator commands.
constexpr int ExitDone = 0;
constexpr int ExitRefused = 1;
constexpr int ExitUsageError = 2;
constexpr int ExitConflict = 3;
constexpr int ExitUnreachable = 4;
constexpr int ExitOutcomeUnknown = 5;

/// The subcommands `control` and `control-init` and the operator commands that use the admin API.
class ControlCommands
{
public:
    /// Registers the subcommands with app, which must not be used after this object is destroyed.
    explicit ControlCommands(CLI::App &app);
    ControlCommands(const ControlCommands &) = delete;
    ControlCommands &operator=(const ControlCommands &) = delete;

    /// Runs the parsed subcommand and returns its exit code; returns nothing if it is not one of these.
    std::optional<int> run();

private:
    using Command = std::function<int()>;

    void addProcessCommands();
    void addRuleCommands();
    void addStateCommands();
    void addMemberCommands();
    void addQuarantineCommands();
    CLI::App &addCommand(CLI::App &parent, const std::string &name, const std::string &description,
                         Command command);
    CLI::App &addClientCommand(CLI::App &parent, const std::string &name, const std::string &description,
                               Command command);
    void addFileArgument(CLI::App &command);

    int runControlMember();
    int check();
    int diff();
    int apply();
    int show();
    int state();
    int drain();
    int postChange(const std::string &target);
    int printList(const std::string &target);

    Result<AdminReply, AdminFailure> call(const AdminRequest &request);
    int printResult(const Result<AdminReply, AdminFailure> &result,
                    const std::function<void(const nlohmann::json &)> &print);
    std::optional<uint64_t> currentVersion(int &exitCode);

    CLI::App &app;
    std::vector<std::pair<CLI::App *, Command>> commands;
    ControlSettings controlSettings;
    ControlInitSettings controlInitSettings;
    std::vector<Endpoint> members;
    bool isJson = false;
    std::string file;
    std::string author;
    std::string changeId;
    std::optional<uint64_t> baseVersion;
    std::optional<uint64_t> version;
    uint64_t memberId = 0;
    std::string fingerprint;
};

} // namespace eelgrasslift
