#pragma once

#include "eelgrasslift/controlmember.h"
#include "eelgrasslift/operatorserver.h"

namespace eelgrasslift {

/// A reply with a JSON body; invalid UTF-8 in its strings is replaced.
OperatorReply jsonReply(unsigned status, const nlohmann::json &body);

/// The reply 422 with all errors of a rule file.
OperatorReply invalidRulesReply(const RuleErrors &errors);

/// The reply for the answer to an applied command: 200 on success, 409 for a conflict, 422 for a refusal.
OperatorReply controlAnswerReply(const ControlAnswer &answer);

/// The reply for a command that got no answer: 421 with the leader's operator address (empty if not known),
/// 503 if nothing was done, 504 if the outcome is unknown, or 404, 413 or 422 for a request that cannot
/// succeed.
OperatorReply proposalErrorReply(const ProposalError &error, const std::string &leader);

/// The JSON object of an accepted rule version.
nlohmann::json toJson(const RuleVersion &version);

/// The latest audit entries, newest first, at most limit of them.
nlohmann::json auditToJson(const ControlTables &tables, size_t limit);

} // namespace eelgrasslift
