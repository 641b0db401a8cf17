#pragma once

#include "libcluster/cluster.h"

#include <optional>
#include <string_view>

namespace eelgrasslift {

/// Parses the answer of GET /vms: {"version": n, "vms": [{"id", "address", "domain", "state":
/// "live|leaving"}]}. Nothing if it has another shape.
std::optional<VmListReceived> parseVmList(std::string_view body);

} // namespace eelgrasslift
