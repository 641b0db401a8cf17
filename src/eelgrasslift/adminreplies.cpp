#include "eelgrasslift/adminreplies.h"

namespace eelgrasslift {

namespace {

using Kind = raft::RequestErrorKind;

struct ErrorReply
{
    unsigned status;
    std::string_view type;
};

/// 421: send the request to the leader. 503: nothing was done, retry. 504: the outcome is unknown. 404, 413,
/// 422: the request cannot succeed.
ErrorReply errorReplyFor(Kind kind)
{
    switch (kind) {
    case Kind::NotLeader:
        return {421, "not-leader"};
    case Kind::NoLease:
    case Kind::NotReady:
    case Kind::TransferInProgress:
    case Kind::ChangeInProgress:
    case Kind::Overloaded:
        return {503, "not-ready"};
    case Kind::OutcomeUnknown:
    case Kind::ShutDown:
        return {504, "outcome-unknown"};
    case Kind::UnknownMember:
        return {404, "unknown-member"};
    case Kind::TooLarge:
        return {413, "too-large"};
    case Kind::AlreadyMember:
    case Kind::NotCaughtUp:
    case Kind::WouldLoseMajority:
    case Kind::TooManyVoters:
    case Kind::IsLeader:
    case Kind::TransferFailed:
        break;
    }
    return {422, "refused"};
}

int64_t milliseconds(WallTime time)
{
    return time.time_since_epoch().count();
}

OperatorReply conflictReply(const Conflict &conflict)
{
    return jsonReply(409, {{"error",
                            {{"type", "conflict"},
                             {"message", "another change came first"},
                             {"current_version", conflict.currentVersion},
                             {"author", conflict.author},
                             {"accepted_at_ms", milliseconds(conflict.acceptedAt)},
                             {"diff", conflict.diff}}}});
}

} // namespace

OperatorReply jsonReply(unsigned status, const nlohmann::json &body)
{
    return {status, "application/json",
            body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n", ""};
}

OperatorReply invalidRulesReply(const RuleErrors &errors)
{
    nlohmann::json list = nlohmann::json::array();
    for (const RuleError &error : errors)
        list.push_back(toJson(error));
    return jsonReply(422, {{"error",
                            {{"type", "invalid-rules"},
                             {"message", std::to_string(errors.size()) + " errors in the rules"},
                             {"errors", list}}}});
}

OperatorReply controlAnswerReply(const ControlAnswer &answer)
{
    return match(
            answer,
            [](const Accepted &accepted) {
                return jsonReply(200, {{"version", accepted.version}});
            },
            [](const Conflict &conflict) { return conflictReply(conflict); },
            [](const Invalid &invalid) { return invalidRulesReply(invalid.errors); },
            [](const ChangeIdReused &) {
                return operatorError(422, "change-id-reused", "the change id belongs to another change");
            },
            [](const Refused &refused) { return operatorError(422, "refused", refused.cause); },
            [](const auto &) {
                return jsonReply(200, {{"done", true}});
            });
}

OperatorReply proposalErrorReply(const ProposalError &error, const std::string &leader)
{
    const ErrorReply entry = errorReplyFor(error.kind);
    nlohmann::json body{{"type", entry.type}, {"message", toString(error.kind)}};
    OperatorReply reply;
    if (error.kind == Kind::NotLeader) {
        body["leader"] = leader;
        reply.location = leader.empty() ? "" : "http://" + leader;
    }
    OperatorReply result = jsonReply(entry.status, {{"error", body}});
    result.location = reply.location;
    return result;
}

nlohmann::json toJson(const RuleVersion &version)
{
    return {{"version", version.version},    {"base", version.baseVersion},
            {"author", version.author},      {"accepted_at_ms", milliseconds(version.acceptedAt)},
            {"change_id", version.changeId}, {"text", version.text}};
}

nlohmann::json auditToJson(const ControlTables &tables, size_t limit)
{
    nlohmann::json list = nlohmann::json::array();
    for (auto entry = tables.audit.rbegin(); entry != tables.audit.rend() && list.size() < limit; ++entry) {
        list.push_back({{"sequence", entry->sequence},
                        {"at_ms", milliseconds(entry->at)},
                        {"author", entry->author},
                        {"action", entry->action}});
    }
    return list;
}

} // namespace eelgrasslift
