#include "librules/ruleerror.h"

#include <array>

namespace eelgrasslift {

std::string toText(const RuleError &error)
{
    std::string text = error.file + ":" + std::to_string(error.line) + ":" + std::to_string(error.column) +
                       ": " + error.cause;
    if (!error.example.empty())
        text += " (for example: " + error.example + ")";
    return text;
}

std::string codeName(RuleErrorCode code)
{
    static constexpr std::array Names{"too-large",     "not-text",        "missing-origin", "missing-name",
                                      "unknown-kind",  "unknown-key",     "missing-key",    "duplicate",
                                      "bad-value",     "out-of-range",    "unknown-name",   "contradiction",
                                      "unsafe-change", "too-many-errors", "no-rules"};
    return Names.at(static_cast<size_t>(code));
}

} // namespace eelgrasslift
