#pragma once

#include "eelgrasslift/controlcore.h"
#include "eelgrasslift/operatorserver.h"

namespace eelgrasslift {

OperatorReply jsonReply(unsigned status, const nlohmann::json &body);

/// 422 with all errors of a rule file.
OperatorReply invalidRules(const RuleErrors &errors);

/// Reply for the answer of a command.
OperatorReply controlReply(const ControlAnswer &answer);

/// Reply for a command that got no answer. leader is the operator address of the leader, if it is known.
OperatorReply proposalErrorReply(const ProposalError &error, const std::string &leader);

nlohmann::json toJson(const RuleVersion &version);
nlohmann::json auditToJson(const ControlTables &tables, size_t limit);

} // namespace eelgrasslift
