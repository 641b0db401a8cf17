#pragma once

#include "eelgrasslift/controlmember.h"

#include <string>

namespace eelgrasslift {

/// Metrics of a control member in the Prometheus text format. Must be called on the control thread.
std::string controlMetricsText(const ControlMember &member);

} // namespace eelgrasslift
