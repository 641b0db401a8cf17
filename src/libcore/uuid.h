#pragma once

#include "libcore/random.h"
#include "libcore/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace eelgrasslift {

/// Returns the creation time of a UUID of version 7 (RFC 9562); std::nullopt if the text is not a UUID or has
/// another version. The variant field is not checked.
std::optional<WallTime> uuidV7Time(std::string_view text);

/// Returns a UUID of version 7 with the given creation time, in lower case with hyphens.
std::string makeUuidV7(WallTime time, Random &random);

} // namespace eelgrasslift
