#pragma once

#include "eelgrasslift/callererror.h"
#include "librules/rules.h"

#include <string>
#include <string_view>
#include <variant>

namespace eelgrasslift {

/// A checked body of POST /v1/completions.
struct CompletionRequest
{
    std::string model;
    std::string prompt;
    std::string className;
    uint32_t maxTokens = 0;
    bool isStreamed = false;
};

/// Parses and checks a body against the rules of the account.
std::variant<CompletionRequest, CallerError> parseCompletion(std::string_view body, const RuleSet &rules,
                                                             const AccountRule &account);

} // namespace eelgrasslift
