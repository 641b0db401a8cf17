#pragma once

#include "libcluster/cluster.h"

#include <optional>
#include <string_view>

namespace eelgrasslift {

/// Parses the response body of GET /vms: {"version": n, "vms": [{"id", "address", "domain", "state":
/// "live|leaving"}]}. Returns nothing if it has another structure.
std::optional<VmListReceived> parseVmList(std::string_view body);

} // namespace eelgrasslift
