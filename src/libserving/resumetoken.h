#pragma once

#include "libcore/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrasslift {

enum class ResumeTokenError { Malformed, BadSignature, OtherAccount };

/// Position in a generation that a caller may continue from, at any entry.
struct ResumeToken
{
    std::string target;
    std::string generation;
    /// Index of the first token that the caller does not have yet.
    uint64_t nextIndex = 0;
    std::string account;

    bool operator==(const ResumeToken &) const = default;

    /// Printable text without line breaks, signed with the key that all entries share.
    std::string encode(std::string_view signingKey) const;

    static Result<ResumeToken, ResumeTokenError> decode(std::string_view text, std::string_view account,
                                                        std::string_view signingKey);
};

} // namespace eelgrasslift
