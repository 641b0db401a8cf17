#pragma once

#include "libcore/random.h"
#include "libcore/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace eelgrasslift {

/// Creation time in a UUID of version 7 (RFC 9562); std::nullopt if the text is not such a UUID.
std::optional<WallTime> uuidV7Time(std::string_view text);

/// A UUID of version 7 with the given creation time, in lower case with hyphens.
std::string makeUuidV7(WallTime time, Random &random);

} // namespace eelgrasslift
