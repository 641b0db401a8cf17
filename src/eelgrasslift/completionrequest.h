#pragma once

#include "eelgrasslift/callererror.h"
#include "librules/rules.h"

#include <string>
#include <string_view>
#include <variant>

namespace eelgrasslift {

/// The validated body of POST /v1/completions.
struct CompletionRequest
{
    std::string model;
    std::string prompt;
    /// Request class of the rules.
    std::string className;
    uint32_t maxTokens = 0;
    /// Whether the response is sent as server-sent events instead of one JSON document.
    bool isStreamed = false;
};

/// Parses a request body and validates it against the rules. The class may be omitted if the account has only
/// one for the model; max_tokens defaults to the limit of the model. Returns a CallerError with status 404 if
/// the model is unknown, 403 if no class of the account allows it, and 400 if the body is invalid otherwise.
std::variant<CompletionRequest, CallerError> parseCompletion(std::string_view body, const RuleSet &rules,
                                                             const AccountRule &account);

} // namespace eelgrasslift
