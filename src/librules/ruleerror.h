#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasslift {

/// Kind of an error in a rule file. The numeric values are stored in snapshots of the control state.
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

/// An error in a rule file. Line and column start at 1; the column counts characters, not bytes.
struct RuleError
{
    RuleErrorCode code = RuleErrorCode::BadValue;
    std::string file;
    uint32_t line = 0;
    uint32_t column = 0;
    std::string cause;
    /// Valid text for the same position, or a hint; may be empty.
    std::string example;

    bool operator==(const RuleError &) const = default;
};

using RuleErrors = std::vector<RuleError>;

/// Formats an error as "file:line:column: cause (for example: ...)".
std::string toText(const RuleError &error);

/// Stable name of the code for programs, such as "unknown-key".
std::string codeName(RuleErrorCode code);

} // namespace eelgrasslift
