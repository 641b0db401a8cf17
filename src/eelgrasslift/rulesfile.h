#pragma once

#include "libcore/core.h"
#include "libwire/wire.h"

#include <optional>
#include <string>
#include <variant>

namespace eelgrasslift {

enum class RulesFileError { CannotRead, CannotWrite, Damaged };

struct NoRulesFile
{
};

/// Reads the last accepted rules that an entry kept in its data folder.
std::variant<wire::RulesDocument, NoRulesFile, RulesFileError> readRulesFile(const std::string &folder);

/// Replaces the kept rules; they are synced when the function returns without an error.
std::optional<RulesFileError> writeRulesFile(const std::string &folder, const wire::RulesDocument &rules);

} // namespace eelgrasslift
