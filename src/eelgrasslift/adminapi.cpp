#include "eelgrasslift/adminapi.h"

#include "eelgrasslift/adminreplies.h"

#include <charconv>

namespace eelgrasslift {

namespace {

/// Longer than an election, so that a command that was already appended usually gets its answer.
constexpr std::chrono::seconds AnswerTimeout{8};
constexpr size_t MaxAuthorBytes = 100;
constexpr size_t MaxAuditEntries = 1000;
constexpr size_t DefaultAuditEntries = 100;

std::string queryParameter(const OperatorRequest &request, std::string_view name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string{} : found->second;
}

std::optional<uint64_t> numericParameter(const OperatorRequest &request, std::string_view name)
{
    const std::string text = queryParameter(request, name);
    uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

bool isUuid(std::string_view text)
{
    constexpr std::string_view Pattern = "xxxxxxxx-xxxx-xxxx-xxxx-xxxxxxxxxxxx";
    if (text.size() != Pattern.size())
        return false;
    for (size_t i = 0; i < text.size(); ++i) {
        const bool isHex = (text[i] >= '0' && text[i] <= '9') || (text[i] >= 'a' && text[i] <= 'f');
        if (Pattern[i] == '-' ? text[i] != '-' : !isHex)
            return false;
    }
    return true;
}

bool isValidAuthor(std::string_view text)
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

AdminApi::AdminApi(ControlThread &controlThread, ControlMember &member, std::string key)
    : control(controlThread)
    , controlMember(member)
    , adminKey(std::move(key))
{
    this->addRoutes();
}

void AdminApi::addRoutes()
{
    const auto bind = [this](void (AdminApi::*method)(const OperatorRequest &, const Promise &)) -> Handler {
        return [this, method](const OperatorRequest &request, const Promise &promise) {
            (this->*method)(request, promise);
        };
    };
    const auto memberRoute = [this](const std::string &action) -> Handler {
        return [this, action](const OperatorRequest &request, const Promise &promise) {
            this->changeMember(request, promise, action);
        };
    };
    this->routes = {{"/admin/rules", {"GET", false, bind(&AdminApi::showRules)}},
                    {"/admin/rules/apply", {"POST", true, bind(&AdminApi::applyRules)}},
                    {"/admin/rules/diff", {"POST", false, bind(&AdminApi::compareRules)}},
                    {"/admin/audit", {"GET", false, bind(&AdminApi::showAudit)}},
                    {"/admin/quarantine", {"GET", false, bind(&AdminApi::showQuarantine)}},
                    {"/admin/quarantine/clear", {"POST", true, bind(&AdminApi::clearQuarantine)}},
                    {"/admin/members", {"GET", false, bind(&AdminApi::listMembers)}},
                    {"/admin/members/remove", {"POST", true, memberRoute("remove")}},
                    {"/admin/members/promote", {"POST", true, memberRoute("promote")}},
                    {"/admin/members/transfer", {"POST", true, memberRoute("transfer")}},
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
    if (route->second.isChange && !isValidAuthor(request.author))
        return badRequest("a change needs the header X-Author with 1 to 100 printable bytes");
    if (request.body.size() > MaxRuleFileBytes)
        return operatorError(413, "too-large", "the body has more than 1 MiB");
    return this->runOnControlThread(route->second, request);
}

OperatorReply AdminApi::runOnControlThread(const Route &route, const OperatorRequest &request)
{
    const auto promise = std::make_shared<std::promise<OperatorReply>>();
    std::future<OperatorReply> reply = promise->get_future();
    this->control.post([handler = route.handler, request, promise] { handler(request, promise); });
    if (reply.wait_for(AnswerTimeout) != std::future_status::ready)
        return operatorError(504, "outcome-unknown", "no answer in time; the change may still be accepted");
    return reply.get();
}

void AdminApi::readAsLeader(const Promise &promise, std::function<OperatorReply()> read)
{
    this->controlMember.replicator().confirmLeadership(
            [this, promise, read = std::move(read)](const Result<LogIndex, ProposalError> &result) {
                const auto *error = std::get_if<ProposalError>(&result);
                promise->set_value(error == nullptr ? read() : this->proposalError(*error));
            });
}

OperatorReply AdminApi::proposalError(const ProposalError &error) const
{
    return proposalErrorReply(error, this->controlMember.leaderOperatorAddress());
}

void AdminApi::showRules(const OperatorRequest &request, const Promise &promise)
{
    this->readAsLeader(promise, [this, request] {
        const uint64_t version =
                numericParameter(request, "version").value_or(this->controlMember.state().currentVersion());
        const RuleVersion *found = this->controlMember.state().findVersion(version);
        if (found != nullptr)
            return jsonReply(200, toJson(*found));
        if (version == 0)
            return jsonReply(200, {{"version", 0}, {"text", ""}});
        return operatorError(404, "unknown-version", "this version was never accepted or is no longer kept");
    });
}

void AdminApi::applyRules(const OperatorRequest &request, const Promise &promise)
{
    const std::string changeId = queryParameter(request, "change_id");
    const auto base = numericParameter(request, "base");
    if (!isUuid(changeId) || !base)
        return promise->set_value(
                badRequest("'change_id' must be a UUID in lower case and 'base' a version"));
    // Rules that cannot be parsed are not proposed. Their errors depend on the text alone, so a resent
    // request gets the same answer without a stored one.
    const auto parsed = parseRules(request.body, "new rules");
    if (const auto *errors = std::get_if<RuleErrors>(&parsed))
        return promise->set_value(invalidRulesReply(*errors));
    this->controlMember.submit(
            ApplyRules{changeId, *base, request.author, request.body},
            [this, promise](const Result<ControlAnswer, ProposalError> &result) {
                const auto *answer = std::get_if<ControlAnswer>(&result);
                promise->set_value(answer != nullptr ? controlAnswerReply(*answer)
                                                     : this->proposalError(std::get<ProposalError>(result)));
            });
}

void AdminApi::compareRules(const OperatorRequest &request, const Promise &promise)
{
    auto parsed = parseRules(request.body, "new rules");
    if (const auto *errors = std::get_if<RuleErrors>(&parsed))
        return promise->set_value(invalidRulesReply(*errors));
    const auto proposed = std::make_shared<RuleSet>(std::get<RuleSet>(std::move(parsed)));
    this->readAsLeader(promise, [this, proposed] {
        const ControlState &state = this->controlMember.state();
        const bool isFirst = state.currentRules() == nullptr;
        const RuleSet current = isFirst ? RuleSet{} : state.currentRules()->rules;
        const RuleErrors errors =
                isFirst ? RuleErrors{}
                        : checkRulesChange(current, *proposed, state.tables().owners, wallNow());
        if (!errors.empty())
            return invalidRulesReply(errors);
        return jsonReply(200,
                         {{"base", state.currentVersion()}, {"diff", toText(diffRules(current, *proposed))}});
    });
}

void AdminApi::showAudit(const OperatorRequest &request, const Promise &promise)
{
    const uint64_t limit = numericParameter(request, "limit").value_or(DefaultAuditEntries);
    this->readAsLeader(promise, [this, limit] {
        return jsonReply(200, {{"audit", auditToJson(this->controlMember.state().tables(),
                                                     std::min<uint64_t>(limit, MaxAuditEntries))}});
    });
}

void AdminApi::showQuarantine(const OperatorRequest & /*request*/, const Promise &promise)
{
    this->readAsLeader(promise, [this] { return jsonReply(200, this->controlMember.dump()["quarantine"]); });
}

void AdminApi::clearQuarantine(const OperatorRequest &request, const Promise &promise)
{
    const auto fingerprint = fromHex(queryParameter(request, "fingerprint"));
    if (!fingerprint || fingerprint->empty())
        return promise->set_value(badRequest("'fingerprint' must be hex digits"));
    this->controlMember.submit(
            ClearQuarantine{*fingerprint, request.author},
            [this, promise](const Result<ControlAnswer, ProposalError> &result) {
                const auto *answer = std::get_if<ControlAnswer>(&result);
                promise->set_value(answer != nullptr ? controlAnswerReply(*answer)
                                                     : this->proposalError(std::get<ProposalError>(result)));
            });
}

void AdminApi::listMembers(const OperatorRequest & /*request*/, const Promise &promise)
{
    this->readAsLeader(promise, [this] {
        return jsonReply(200, {{"members", this->controlMember.dumpMembers()}});
    });
}

void AdminApi::changeMember(const OperatorRequest &request, const Promise &promise, const std::string &action)
{
    const auto id = numericParameter(request, "id");
    if (!id)
        return promise->set_value(badRequest("'id' must be a member id"));
    const auto done = [this, promise](const Result<LogIndex, ProposalError> &result) {
        const auto *error = std::get_if<ProposalError>(&result);
        promise->set_value(error == nullptr ? jsonReply(200, {{"done", true}}) : this->proposalError(*error));
    };
    // The audit entry is written first because this member cannot write it after a transfer of leadership.
    this->controlMember.submit(
            RecordAction{request.author, action + " member " + std::to_string(*id) + " requested"},
            [this, promise, done, action, id](const Result<ControlAnswer, ProposalError> &result) {
                if (const auto *error = std::get_if<ProposalError>(&result))
                    promise->set_value(this->proposalError(*error));
                else if (action == "remove")
                    this->controlMember.replicator().removeMember(*id, done);
                else if (action == "promote")
                    this->controlMember.replicator().promote(*id, done);
                else
                    this->controlMember.replicator().transferLeadership(*id, done);
            });
}

void AdminApi::drain(const OperatorRequest & /*request*/, const Promise &promise)
{
    const RaftStatus status = this->controlMember.replicator().status();
    const bool isOnlyMember = status.members.size() < 2;
    if (status.role != RaftRole::Leader || isOnlyMember)
        return promise->set_value(
                jsonReply(200, {{"drained", !isOnlyMember}, {"led", status.role == RaftRole::Leader}}));
    this->controlMember.replicator().transferLeadership(
            0, [this, promise](const Result<LogIndex, ProposalError> &result) {
                const auto *error = std::get_if<ProposalError>(&result);
                promise->set_value(error == nullptr ? jsonReply(200, {{"drained", true}, {"led", true}})
                                                    : this->proposalError(*error));
            });
}

} // namespace eelgrasslift
