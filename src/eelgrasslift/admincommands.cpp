#include "eelgrasslift/admincommands.h"

#include "eelgrasslift/commandoutput.h"
#include "eelgrasslift/controlprocess.h"
#include "eelgrasslift/controlthread.h"
#include "eelgrasslift/logging.h"
#include "librules/rules.h"

namespace eelgrasslift {

namespace {

constexpr std::string_view AdminKeyVariable = "EELGRASSLIFT_ADMIN_KEY";

nlohmann::json toJson(const RuleErrors &errors)
{
    nlohmann::json list = nlohmann::json::array();
    for (const RuleError &error : errors) {
        list.push_back({{"code", codeName(error.code)},
                        {"file", error.file},
                        {"line", error.line},
                        {"column", error.column},
                        {"cause", error.cause},
                        {"example", error.example}});
    }
    return {{"error", {{"type", "invalid-rules"}, {"message", "the rules have errors"}, {"errors", list}}}};
}

} // namespace

ControlCommands::ControlCommands(CLI::App &cliApp)
    : app(cliApp)
{
    this->addProcessCommands();
    this->addRuleCommands();
    this->addStateCommands();
    this->addMemberCommands();
    this->addQuarantineCommands();
    this->app.footer(
            "Exit codes of the commands: 0 done, 1 refused or invalid, 2 usage, 3 conflict with another\n"
            "change, 4 no member reachable and nothing done, 5 outcome unknown.");
}

std::optional<int> ControlCommands::run()
{
    // Nested subcommands are registered after their parents and take precedence over them.
    for (auto entry = this->commands.rbegin(); entry != this->commands.rend(); ++entry) {
        if (entry->first->parsed())
            return entry->second();
    }
    return std::nullopt;
}

CLI::App &ControlCommands::addCommand(CLI::App &parent, const std::string &name,
                                      const std::string &description, Command command)
{
    CLI::App &subcommand = *parent.add_subcommand(name, description);
    this->commands.emplace_back(&subcommand, std::move(command));
    return subcommand;
}

CLI::App &ControlCommands::addClientCommand(CLI::App &parent, const std::string &name,
                                            const std::string &description, Command command)
{
    CLI::App &subcommand = this->addCommand(parent, name, description, std::move(command));
    addEndpointsOption(subcommand, "--control", this->members, "Operator addresses of control members");
    subcommand.add_flag("--json", this->isJson, "Print JSON for programs");
    return subcommand;
}

void ControlCommands::addFileArgument(CLI::App &command)
{
    command.add_option("FILE", this->file, "Rule file; - for standard input")->required();
}

void ControlCommands::addProcessCommands()
{
    addControlOptions(this->addCommand(this->app, "control", "Run a control member",
                                       [this] { return this->runControlMember(); }),
                      this->controlSettings);
    addControlInitOptions(this->addCommand(this->app, "control-init",
                                           "Make an empty folder a new cluster of one member",
                                           [this] { return runControlInit(this->controlInitSettings); }),
                          this->controlInitSettings);
}

void ControlCommands::addRuleCommands()
{
    CLI::App &check = this->addCommand(this->app, "check", "Check a rule file; needs no control member",
                                       [this] { return this->check(); });
    this->addFileArgument(check);
    check.add_flag("--json", this->isJson, "Print JSON for programs");
    this->addFileArgument(this->addClientCommand(this->app, "diff",
                                                 "Compare a rule file with the rules in force",
                                                 [this] { return this->diff(); }));
    CLI::App &apply = this->addClientCommand(this->app, "apply", "Submit a rule file for acceptance",
                                             [this] { return this->apply(); });
    this->addFileArgument(apply);
    CLI::Option *baseOption =
            apply.add_option("--base", this->baseVersion,
                             "Version that the file was made from; without it, the current version");
    apply.add_option("--author", this->author, "Name of the operator who changes the rules")->envname("USER");
    // A resent change with a different base version would be a different change.
    apply.add_option("--change-id", this->changeId, "UUID of the change; a resend gets the first answer")
            ->needs(baseOption);
    CLI::App &show = this->addClientCommand(this->app, "show", "Print accepted rules",
                                            [this] { return this->show(); });
    show.add_option("--version", this->version, "Version; without it, the rules in force");
}

void ControlCommands::addStateCommands()
{
    this->addClientCommand(this->app, "state", "Print the state of the first control member given",
                           [this] { return this->state(); });
    CLI::App &drain = this->addClientCommand(this->app, "drain",
                                             "Move leadership away from the first control member given",
                                             [this] { return this->drain(); });
    drain.add_option("--author", this->author, "Name of the operator who drains")->envname("USER");
    this->addClientCommand(this->app, "audit", "Print the latest audit entries",
                           [this] { return this->printList("/admin/audit"); });
}

void ControlCommands::addMemberCommands()
{
    CLI::App &parent =
            this->addClientCommand(this->app, "members", "List or change the members of the cluster",
                                   [this] { return this->printList("/admin/members"); });
    this->addClientCommand(parent, "list", "List the members",
                           [this] { return this->printList("/admin/members"); });
    for (const std::string action : {"remove", "promote", "transfer"}) {
        CLI::App &command = this->addClientCommand(parent, action, "", [this, action] {
            return this->postChange("/admin/members/" + action + "?id=" + std::to_string(this->memberId));
        });
        command.description(action == "remove"    ? "Remove a member"
                            : action == "promote" ? "Make a caught-up learner a voter"
                                                  : "Move leadership to a voter");
        command.add_option("ID", this->memberId, "Member id")->required();
        command.add_option("--author", this->author, "Name of the operator who changes the members")
                ->envname("USER");
    }
}

void ControlCommands::addQuarantineCommands()
{
    CLI::App &parent = this->addClientCommand(this->app, "quarantine", "List or clear quarantined requests",
                                              [this] { return this->printList("/admin/quarantine"); });
    this->addClientCommand(parent, "list", "List the marks",
                           [this] { return this->printList("/admin/quarantine"); });
    CLI::App &clear = this->addClientCommand(parent, "clear", "Clear a mark", [this] {
        return this->postChange("/admin/quarantine/clear?fingerprint=" + this->fingerprint);
    });
    clear.add_option("FINGERPRINT", this->fingerprint, "Fingerprint in hex digits")
            ->required()
            ->check([](const std::string &text) {
                return fromHex(text) ? std::string{} : "'" + text + "' is not in hex digits";
            });
    clear.add_option("--author", this->author, "Name of the operator who clears the mark")->envname("USER");
}

int ControlCommands::runControlMember()
{
    setUpLogging(this->controlSettings.common.logFormat == "json" ? LogFormat::Json : LogFormat::KeyValue,
                 this->controlSettings.common.logLevel, "control", this->controlSettings.common.domain);
    this->controlSettings.adminKey = readSecret(std::string(AdminKeyVariable));
    return runControl(this->controlSettings);
}

int ControlCommands::check()
{
    const auto text = readInput(this->file);
    if (!text) {
        printErrorLine("eelgrasslift: cannot read " + this->file);
        return ExitUsageError;
    }
    const auto result = parseRules(*text, this->file);
    const auto *errors = std::get_if<RuleErrors>(&result);
    if (errors == nullptr) {
        const size_t count = std::get<RuleSet>(result).sources.size();
        printLine(this->isJson ? nlohmann::json{{"valid", true}, {"rules", count}}.dump()
                               : this->file + ": " + std::to_string(count) + " rules, no errors");
        return ExitDone;
    }
    if (this->isJson)
        printLine(toJson(*errors).dump());
    else
        printErrorLine(errorText(toJson(*errors), this->file));
    return ExitRefused;
}

int ControlCommands::diff()
{
    const auto text = readInput(this->file);
    if (!text) {
        printErrorLine("eelgrasslift: cannot read " + this->file);
        return ExitUsageError;
    }
    return this->printResult(
            this->call({"POST", "/admin/rules/diff", *text}), [](const nlohmann::json &body) {
                const std::string changes = body.value("diff", "");
                printLine("base version " + std::to_string(body.value("base", uint64_t{0})));
                printLine(changes.empty() ? "no differences" : changes.substr(0, changes.size() - 1));
            });
}

int ControlCommands::apply()
{
    const auto text = readInput(this->file);
    if (!text) {
        printErrorLine("eelgrasslift: cannot read " + this->file);
        return ExitUsageError;
    }
    Random random(systemSeed());
    if (this->changeId.empty())
        this->changeId = makeUuidV7(wallNow(), random);
    int exitCode = ExitDone;
    if (!this->baseVersion)
        this->baseVersion = this->currentVersion(exitCode);
    if (!this->baseVersion)
        return exitCode;
    // The id is printed before sending, so that the operator can resend the same change after a lost
    // connection.
    if (!this->isJson)
        printErrorLine("change " + this->changeId + " on base version " + std::to_string(*this->baseVersion));
    const std::string target =
            "/admin/rules/apply?base=" + std::to_string(*this->baseVersion) + "&change_id=" + this->changeId;
    return this->printResult(
            this->call({"POST", target, *text, this->author}), [](const nlohmann::json &body) {
                printLine("accepted as version " + std::to_string(body.value("version", uint64_t{0})));
            });
}

int ControlCommands::show()
{
    const std::string target =
            "/admin/rules" + (this->version ? "?version=" + std::to_string(*this->version) : std::string{});
    return this->printResult(this->call({"GET", target}), [](const nlohmann::json &body) {
        printErrorLine("version " + std::to_string(body.value("version", uint64_t{0})) + " by " +
                       body.value("author", "nobody"));
        std::fputs(body.value("text", "").c_str(), stdout);
    });
}

int ControlCommands::state()
{
    AdminRequest request{"GET", "/state"};
    request.requiresLeader = false;
    return this->printResult(this->call(request),
                             [](const nlohmann::json &body) { printLine(body.dump(2)); });
}

int ControlCommands::drain()
{
    AdminRequest request{"POST", "/admin/drain", "", this->author};
    request.requiresLeader = false;
    return this->printResult(this->call(request), [](const nlohmann::json &body) {
        printLine(body.value("drained", false) ? "drained: this member does not lead"
                                               : "not drained: there is no other member to lead");
    });
}

int ControlCommands::postChange(const std::string &target)
{
    AdminRequest request{"POST", target, "", this->author};
    request.isRetryable = false;
    return this->printResult(this->call(request), [](const nlohmann::json &) { printLine("done"); });
}

int ControlCommands::printList(const std::string &target)
{
    return this->printResult(this->call({"GET", target}), [](const nlohmann::json &body) {
        if (body.contains("members"))
            printLine(tableText(body["members"],
                                {"id", "domain", "peer", "operator", "voter", "live", "leader"}));
        else if (body.contains("marks"))
            printLine(tableText(body["marks"], {"fingerprint", "deaths", "until_ms", "cleared"}));
        else
            printLine(tableText(body["audit"], {"sequence", "at_ms", "author", "action"}));
    });
}

Result<AdminReply, AdminFailure> ControlCommands::call(const AdminRequest &request)
{
    AdminClientSettings settings;
    settings.members = this->members;
    settings.adminKey = readSecret(std::string(AdminKeyVariable));
    return AdminClient(std::move(settings)).call(request);
}

int ControlCommands::printResult(const Result<AdminReply, AdminFailure> &result,
                                 const std::function<void(const nlohmann::json &)> &print)
{
    constexpr unsigned Ok = 200;
    constexpr unsigned Conflict = 409;
    if (const auto *failure = std::get_if<AdminFailure>(&result)) {
        const bool isUnknown = *failure == AdminFailure::OutcomeUnknown;
        printErrorLine(isUnknown ? "eelgrasslift: the answer was lost; the outcome is unknown"
                                 : "eelgrasslift: no leading control member is reachable; nothing was done");
        return isUnknown ? ExitOutcomeUnknown : ExitUnreachable;
    }
    const AdminReply &reply = std::get<AdminReply>(result);
    if (this->isJson)
        printLine(reply.body.dump());
    else if (reply.status == Ok)
        print(reply.body);
    else
        printErrorLine(errorText(reply.body, this->file));
    if (reply.status == Ok)
        return ExitDone;
    return reply.status == Conflict ? ExitConflict : ExitRefused;
}

std::optional<uint64_t> ControlCommands::currentVersion(int &exitCode)
{
    const auto result = this->call({"GET", "/admin/rules"});
    const auto *reply = std::get_if<AdminReply>(&result);
    if (reply == nullptr || reply->status != 200) {
        exitCode = this->printResult(result, [](const nlohmann::json &) {});
        return std::nullopt;
    }
    return reply->body.value("version", uint64_t{0});
}

} // namespace eelgrasslift
