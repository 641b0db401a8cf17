#pragma once

#include "libcontrol/commands.h"

#include <optional>
#include <string>
#include <string_view>

namespace eelgrasslift {

std::string encodeCommand(const ControlCommand &command);

/// Nothing if the bytes are no command that this version knows.
std::optional<ControlCommand> decodeCommand(std::string_view bytes);

} // namespace eelgrasslift
