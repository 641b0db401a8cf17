#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace eelgrasslift {

/// Text of the file, or of standard input for "-"; nothing if it cannot be read.
std::optional<std::string> readInput(const std::string &file);

void printLine(const std::string &text);
void printErrorLine(const std::string &text);

/// The error of an admin reply as lines for operators: one line per rule error, or the conflict with its
/// diff. file replaces the server's name for the rules in error positions.
std::string errorText(const nlohmann::json &reply, const std::string &file);

/// Table of an array of objects, with the given keys as columns.
std::string tableText(const nlohmann::json &rows, const std::vector<std::string> &columns);

} // namespace eelgrasslift
