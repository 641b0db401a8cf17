#pragma once

#include "eelgrasslift/adminclient.h"
#include "eelgrasslift/controlsettings.h"

#include <CLI/CLI.hpp>

#include <functional>
#include <map>
#include <optional>

namespace eelgrasslift {

// Exit codes of the operator's commands.
constexpr int ExitDone = 0;
constexpr int ExitRefused = 1;
constexpr int ExitUsageError = 2;
constexpr int ExitConflict = 3;
constexpr int ExitUnreachable = 4;
constexpr int ExitOutcomeUnknown = 5;

/// The subcommands of the control state: control, control-init and the operator's commands.
class ControlCommands
{
public:
    /// Registers the subcommands. The app must not outlive this object.
    explicit ControlCommands(CLI::App &app);
    ControlCommands(const ControlCommands &) = delete;
    ControlCommands &operator=(const ControlCommands &) = delete;

    /// Runs the subcommand that was parsed; nothing if it is none of these. Returns the exit code.
    std::optional<int> run();

private:
    using Command = std::function<int()>;

    void addProcesses();
    void addRuleCommands();
    void addStateCommands();
    void addMemberCommands();
    void addQuarantineCommands();
    CLI::App &add(CLI::App &parent, const std::string &name, const std::string &description, Command command);
    CLI::App &addClient(CLI::App &parent, const std::string &name, const std::string &description,
                        Command command);
    void addFile(CLI::App &command);

    int runProcess();
    int check();
    int diff();
    int apply();
    int show();
    int state();
    int drain();
    int change(const std::string &target);
    int list(const std::string &target);

    Result<AdminReply, AdminFailure> call(const AdminRequest &request);
    int finish(const Result<AdminReply, AdminFailure> &result,
               const std::function<void(const nlohmann::json &)> &print);
    std::optional<uint64_t> currentVersion(int &exitCode);

    CLI::App &app;
    std::vector<std::pair<CLI::App *, Command>> commands;
    ControlSettings control;
    ControlInitSettings controlInit;
    std::vector<Endpoint> members;
    bool isJson = false;
    std::string file;
    std::string author;
    std::string changeId;
    std::optional<uint64_t> base;
    std::optional<uint64_t> version;
    uint64_t memberId = 0;
    std::string fingerprint;
};

} // namespace eelgrasslift
