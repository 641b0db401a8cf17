#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasslift {

enum class RuleErrorCode {
    TooLarge,
    NotText,
    MissingOrigin,
    MissingName,
    UnknownKind,
    UnknownKey,
    MissingKey,
    Duplicate,
    BadValue,
    OutOfRange,
    UnknownReference,
    Contradiction,
    UnsafeChange,
    TooManyErrors,
    NoRules,
};

/// A fault in a rule file. Line and column count from 1; the column counts characters, not bytes.
struct RuleError
{
    RuleErrorCode code = RuleErrorCode::BadValue;
    std::string file;
    uint32_t line = 0;
    uint32_t column = 0;
    std::string cause;
    /// A correct text for the same place.
    std::string example;

    bool operator==(const RuleError &) const = default;
};

using RuleErrors = std::vector<RuleError>;

/// "file:line:column: cause (for example: ...)".
std::string toText(const RuleError &error);

/// Stable name of the code for programs, such as "unknown-key".
std::string codeName(RuleErrorCode code);

} // namespace eelgrasslift
