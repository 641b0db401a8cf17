#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace eelgrasslift {

/// Reads the whole file, or standard input for "-". Returns nothing if it cannot be read.
std::optional<std::string> readInput(const std::string &file);

/// Writes text and a line break to standard output.
void printLine(const std::string &text);

/// Writes text and a line break to standard error.
void printErrorLine(const std::string &text);

/// Formats an error reply of the admin API for operators: one line per rule error, or the message and, for a
/// conflict, the diff. file is the name of the rule file in the positions of rule errors.
std::string errorText(const nlohmann::json &reply, const std::string &file);

/// Formats an array of JSON objects as a tab-separated table with the given keys as columns.
std::string tableText(const nlohmann::json &rows, const std::vector<std::string> &columns);

} // namespace eelgrasslift
