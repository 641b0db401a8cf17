#pragma once

#include "libcontrol/commands.h"

#include <optional>
#include <string>
#include <string_view>

namespace eelgrasslift {

/// Serialises a command for the replicated log.
std::string encodeCommand(const ControlCommand &command);

/// Returns std::nullopt if the bytes are not a command known to this version.
std::optional<ControlCommand> decodeCommand(std::string_view bytes);

} // namespace eelgrasslift
