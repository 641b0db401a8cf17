#pragma once

#include "libcore/core.h"

#include <optional>
#include <string>
#include <string_view>

namespace eelgrasslift {

/// What became of a caller's request.
enum class Outcome { Ran, NotRun, Unknown, Incomplete };

std::string_view toString(Outcome outcome);

/// An error answer to a caller.
struct CallerError
{
    unsigned status = 500;
    /// Group for programs: "invalid-request", "authentication", "limit", "overload", "outcome".
    std::string_view type;
    /// Stable name of the cause.
    std::string code;
    std::string message;
    Outcome outcome = Outcome::NotRun;
    std::optional<Duration> retryAfter;
};

/// The JSON document of an error.
std::string toJson(const CallerError &error);

/// The same with the number of delivered tokens, for an answer that ends early.
std::string toJson(const CallerError &error, uint64_t deliveredTokens);

} // namespace eelgrasslift
