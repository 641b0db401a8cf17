#pragma once

#include "libcore/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrasslift {

/// Why a resume token was rejected. OtherAccount: it was issued to another client account.
enum class ResumeTokenError { Malformed, BadSignature, OtherAccount };

/// Signed position in a generation, with which a caller resumes its stream at any entry.
struct ResumeToken
{
    /// Id of the target that runs the generation.
    std::string target;
    std::string generation;
    /// Index of the first token that the caller has not received.
    uint64_t nextIndex = 0;
    /// Client account to which the token is issued.
    std::string account;

    bool operator==(const ResumeToken &) const = default;

    /// Returns the token as printable text without line breaks, with an HMAC-SHA256 by the key that all
    /// entries share.
    std::string encode(std::string_view signingKey) const;

    /// Parses a token that an account presents and verifies its signature and account.
    static Result<ResumeToken, ResumeTokenError> decode(std::string_view text, std::string_view account,
                                                        std::string_view signingKey);
};

} // namespace eelgrasslift
