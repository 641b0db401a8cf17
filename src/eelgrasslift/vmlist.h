#pragma once

#include "libcluster/cluster.h"

#include <optional>
#include <string_view>

namespace eelgrasslift {

/// Parses the response body of GET /vms: {"version": n, "vms": [{"id", "address", "domain", "state":
/// "live|leaving"}]}. A missing text is empty, and any other state counts as live. Returns nothing if version
/// or vms is missing or of another type, or if a VM is not an object.
std::optional<VmListReceived> parseVmList(std::string_view body);

} // namespace eelgrasslift
