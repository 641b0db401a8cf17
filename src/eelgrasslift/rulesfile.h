#pragma once

#include "libcore/core.h"
#include "libwire/wire.h"

#include <optional>
#include <string>
#include <variant>

namespace eelgrasslift {

/// Error of readRulesFile() or writeRulesFile(). Corrupted: the content does not match its checksum or cannot
/// be parsed.
enum class RulesFileError { CannotRead, CannotWrite, Corrupted };

/// The folder contains no rules yet.
struct NoRulesFile
{};

/// Reads the last accepted rules that an entry stored in its data folder.
std::variant<wire::RulesDocument, NoRulesFile, RulesFileError> readRulesFile(const std::string &folder);

/// Replaces the stored rules atomically. They are synced to disk when the function returns without an error.
std::optional<RulesFileError> writeRulesFile(const std::string &folder, const wire::RulesDocument &rules);

} // namespace eelgrasslift
