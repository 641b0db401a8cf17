#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrasslift::soak {

// What runners send for a request depends on its id only, so that callers can tell any mix-up or loss.

/// Same value for the same text in every run.
uint64_t hashOf(std::string_view text);
/// Value of the header that only runners set.
std::string sealOf(std::string_view requestId);
/// Body of the response to a request that is no stream, from a few bytes to 100 KB.
std::string bodyOf(std::string_view requestId);
/// An event of a stream, with the number as its id.
std::string eventOf(std::string_view requestId, uint64_t number);

} // namespace eelgrasslift::soak
