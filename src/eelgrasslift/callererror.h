#pragma once

#include "libcore/core.h"

#include <optional>
#include <string>
#include <string_view>

namespace eelgrasslift {

/// Whether a caller's request was executed, as reported to the caller.
enum class Outcome {
    /// A target executed the request.
    Ran,
    /// No target executed the request, so that sending it again is safe.
    NotRun,
    /// The request may have been executed.
    Unknown,
    /// The generation ended before it was complete; part of its text may have been delivered.
    Incomplete
};

/// Name of the outcome in response headers, error bodies, metrics and logs.
std::string_view toString(Outcome outcome);

/// An error response to a caller: the HTTP status and the fields of the JSON body.
struct CallerError
{
    /// HTTP status code.
    unsigned status = 500;
    /// Error category: "invalid-request", "authentication", "limit", "overload" or "outcome".
    std::string_view type;
    /// Stable identifier of the cause.
    std::string code;
    /// Human-readable description.
    std::string message;
    Outcome outcome = Outcome::NotRun;
    /// Time that the caller should wait before it sends the request again.
    std::optional<Duration> retryAfter;
};

/// Serializes the error as the JSON body of a response: {"error": {"type", "code", "message", "outcome"}},
/// with "retry_after_ms" if retryAfter is set.
std::string toJson(const CallerError &error);

/// Serializes the error with the number of delivered tokens in the field "delivered", for the last event of
/// an incomplete stream.
std::string toJson(const CallerError &error, uint64_t deliveredTokens);

} // namespace eelgrasslift
