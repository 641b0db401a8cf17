#include "eelgrasslift/adminapi.h"

#include "eelgrasslift/adminreplies.h"

#include <charconv>

namespace eelgrasslift {

namespace {

/// Longer than an election, so that a command that was appended is mostly answered.
constexpr std::chrono::seconds AnswerTimeout{8};
constexpr size_t MaxAuthorBytes = 100;
constexpr size_t MaxAuditEntries = 1000;
constexpr size_t DefaultAuditEntries = 100;

std::string parameter(const OperatorRequest &request, std::string_view name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string{} : found->second;
}

std::optional<uint64_t> numberParameter(const OperatorRequest &request, std::string_view name)
{
    const std::string text = parameter(request, name);
    uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

bool isUuid(std::string_view text)
{
    constexpr std::string_view Shape = "xxxxxxxx-xxxx-xxxx-xxxx-xxxxxxxxxxxx";
    if (text.size() != Shape.size())
        return false;
    for (size_t i = 0; i < text.size(); ++i) {
        const bool isHex = (text[i] >= '0' && text[i] <= '9') || (text[i] >= 'a' && text[i] <= 'f');
        if (Shape[i] == '-' ? text[i] != '-' : !isHex)
            return false;
    }
    return true;
}

bool isAuthor(std::string_view text)
{
    return !text.empty() && text.size() <= MaxAuthorBytes &&
           std::none_of(text.begin(), text.end(),
                        [](char c) { return static_cast<unsigned char>(c) < 0x20; });
}

OperatorReply badRequest(std::string_view message)
{
    return operatorError(400, "bad-request", message);
}

} // namespace

AdminApi::AdminApi(ControlThread &controlThread, ControlCore &controlCore, std::string key)
    : control(controlThread)
    , core(controlCore)
    , adminKey(std::move(key))
{
    this->addRoutes();
}

void AdminApi::addRoutes()
{
    const auto bind = [this](void (AdminApi::*method)(const OperatorRequest &, const Promise &)) -> Work {
        return [this, method](const OperatorRequest &request, const Promise &promise) {
            (this->*method)(request, promise);
        };
    };
    const auto member = [this](const std::string &action) -> Work {
        return [this, action](const OperatorRequest &request, const Promise &promise) {
            this->changeMember(request, promise, action);
        };
    };
    this->routes = {{"/admin/rules", {"GET", false, bind(&AdminApi::showRules)}},
                    {"/admin/rules/apply", {"POST", true, bind(&AdminApi::applyRules)}},
                    {"/admin/rules/diff", {"POST", false, bind(&AdminApi::diffText)}},
                    {"/admin/audit", {"GET", false, bind(&AdminApi::showAudit)}},
                    {"/admin/quarantine", {"GET", false, bind(&AdminApi::showQuarantine)}},
                    {"/admin/quarantine/clear", {"POST", true, bind(&AdminApi::clearQuarantine)}},
                    {"/admin/members", {"GET", false, bind(&AdminApi::listMembers)}},
                    {"/admin/members/remove", {"POST", true, member("remove")}},
                    {"/admin/members/promote", {"POST", true, member("promote")}},
                    {"/admin/members/transfer", {"POST", true, member("transfer")}},
                    {"/admin/drain", {"POST", true, bind(&AdminApi::drain)}}};
}

OperatorReply AdminApi::handle(const OperatorRequest &request)
{
    if (this->adminKey.empty() || !equalsConstantTime(request.bearerKey, this->adminKey))
        return operatorError(401, "unauthorized", "the admin key is missing or wrong");
    const auto route = this->routes.find(request.path);
    if (route == this->routes.end())
        return operatorError(404, "not-found", "no such page: " + request.path);
    if (request.method != route->second.method)
        return operatorError(405, "method-not-allowed", "use " + route->second.method);
    if (route->second.isChange && !isAuthor(request.author))
        return badRequest("a change needs the header X-Author with 1 to 100 printable bytes");
    if (request.body.size() > MaxRuleFileBytes)
        return operatorError(413, "too-large", "the body has more than 1 MiB");
    return this->run(route->second, request);
}

OperatorReply AdminApi::run(const Route &route, const OperatorRequest &request)
{
    const auto promise = std::make_shared<std::promise<OperatorReply>>();
    std::future<OperatorReply> reply = promise->get_future();
    this->control.post([work = route.work, request, promise] { work(request, promise); });
    if (reply.wait_for(AnswerTimeout) != std::future_status::ready)
        return operatorError(504, "outcome-unknown", "no answer in time; the change may still be accepted");
    return reply.get();
}

void AdminApi::readAsLeader(const Promise &promise, std::function<OperatorReply()> read)
{
    this->core.replicator().confirmLeadership(
            [this, promise, read = std::move(read)](const Result<LogIndex, ProposalError> &result) {
                const auto *error = std::get_if<ProposalError>(&result);
                promise->set_value(error == nullptr ? read() : this->proposalError(*error));
            });
}

OperatorReply AdminApi::proposalError(const ProposalError &error) const
{
    return proposalErrorReply(error, this->core.leaderOperatorAddress());
}

void AdminApi::showRules(const OperatorRequest &request, const Promise &promise)
{
    this->readAsLeader(promise, [this, request] {
        const uint64_t version =
                numberParameter(request, "version").value_or(this->core.state().currentVersion());
        const RuleVersion *found = this->core.state().findVersion(version);
        if (found != nullptr)
            return jsonReply(200, toJson(*found));
        if (version == 0)
            return jsonReply(200, {{"version", 0}, {"text", ""}});
        return operatorError(404, "unknown-version", "this version was never accepted or is no longer kept");
    });
}

void AdminApi::applyRules(const OperatorRequest &request, const Promise &promise)
{
    const std::string changeId = parameter(request, "change_id");
    const auto base = numberParameter(request, "base");
    if (!isUuid(changeId) || !base)
        return promise->set_value(
                badRequest("'change_id' must be a UUID in lower case and 'base' a version"));
    // A file that cannot be read stays out of the log. Its errors depend on nothing else, so a resend gets
    // the same answer without a record.
    const auto parsed = parseRules(request.body, "new rules");
    if (const auto *errors = std::get_if<RuleErrors>(&parsed))
        return promise->set_value(invalidRules(*errors));
    this->core.submit(ApplyRules{changeId, *base, request.author, request.body},
                      [this, promise](const Result<ControlAnswer, ProposalError> &result) {
                          const auto *answer = std::get_if<ControlAnswer>(&result);
                          promise->set_value(answer != nullptr
                                                     ? controlReply(*answer)
                                                     : this->proposalError(std::get<ProposalError>(result)));
                      });
}

void AdminApi::diffText(const OperatorRequest &request, const Promise &promise)
{
    auto parsed = parseRules(request.body, "new rules");
    if (const auto *errors = std::get_if<RuleErrors>(&parsed))
        return promise->set_value(invalidRules(*errors));
    const auto next = std::make_shared<RuleSet>(std::get<RuleSet>(std::move(parsed)));
    this->readAsLeader(promise, [this, next] {
        const ControlState &state = this->core.state();
        const bool isFirst = state.currentRules() == nullptr;
        const RuleSet current = isFirst ? RuleSet{} : state.currentRules()->rules;
        const RuleErrors errors =
                isFirst ? RuleErrors{} : checkRulesChange(current, *next, state.tables().owners, wallNow());
        if (!errors.empty())
            return invalidRules(errors);
        return jsonReply(200,
                         {{"base", state.currentVersion()}, {"diff", toText(diffRules(current, *next))}});
    });
}

void AdminApi::showAudit(const OperatorRequest &request, const Promise &promise)
{
    const uint64_t limit = numberParameter(request, "limit").value_or(DefaultAuditEntries);
    this->readAsLeader(promise, [this, limit] {
        return jsonReply(200, {{"audit", auditToJson(this->core.state().tables(),
                                                     std::min<uint64_t>(limit, MaxAuditEntries))}});
    });
}

void AdminApi::showQuarantine(const OperatorRequest & /*request*/, const Promise &promise)
{
    this->readAsLeader(promise, [this] { return jsonReply(200, this->core.dump()["quarantine"]); });
}

void AdminApi::clearQuarantine(const OperatorRequest &request, const Promise &promise)
{
    const auto fingerprint = fromHex(parameter(request, "fingerprint"));
    if (!fingerprint || fingerprint->empty())
        return promise->set_value(badRequest("'fingerprint' must be hex digits"));
    this->core.submit(ClearQuarantine{*fingerprint, request.author},
                      [this, promise](const Result<ControlAnswer, ProposalError> &result) {
                          const auto *answer = std::get_if<ControlAnswer>(&result);
                          promise->set_value(answer != nullptr
                                                     ? controlReply(*answer)
                                                     : this->proposalError(std::get<ProposalError>(result)));
                      });
}

void AdminApi::listMembers(const OperatorRequest & /*request*/, const Promise &promise)
{
    this->readAsLeader(promise, [this] { return jsonReply(200, {{"members", this->core.dumpMembers()}}); });
}

void AdminApi::changeMember(const OperatorRequest &request, const Promise &promise, const std::string &action)
{
    const auto id = numberParameter(request, "id");
    if (!id)
        return promise->set_value(badRequest("'id' must be a member id"));
    const auto done = [this, promise](const Result<LogIndex, ProposalError> &result) {
        const auto *error = std::get_if<ProposalError>(&result);
        promise->set_value(error == nullptr ? jsonReply(200, {{"done", true}}) : this->proposalError(*error));
    };
    // The audit entry comes first: after a transfer this member can no longer write it.
    this->core.submit(RecordAction{request.author, action + " member " + std::to_string(*id) + " requested"},
                      [this, promise, done, action, id](const Result<ControlAnswer, ProposalError> &result) {
                          if (const auto *error = std::get_if<ProposalError>(&result))
                              promise->set_value(this->proposalError(*error));
                          else if (action == "remove")
                              this->core.replicator().removeMember(*id, done);
                          else if (action == "promote")
                              this->core.replicator().promote(*id, done);
                          else
                              this->core.replicator().transferLeadership(*id, done);
                      });
}

void AdminApi::drain(const OperatorRequest & /*request*/, const Promise &promise)
{
    const RaftStatus status = this->core.replicator().status();
    const bool isAlone = status.members.size() < 2;
    if (status.role != RaftRole::Leader || isAlone)
        return promise->set_value(
                jsonReply(200, {{"drained", !isAlone}, {"led", status.role == RaftRole::Leader}}));
    this->core.replicator().transferLeadership(
            0, [this, promise](const Result<LogIndex, ProposalError> &result) {
                const auto *error = std::get_if<ProposalError>(&result);
                promise->set_value(error == nullptr ? jsonReply(200, {{"drained", true}, {"led", true}})
                                                    : this->proposalError(*error));
            });
}

} // namespace eelgrasslift
