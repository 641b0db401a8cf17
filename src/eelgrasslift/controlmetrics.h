#pragma once

#include "eelgrasslift/controlcore.h"

#include <string>

namespace eelgrasslift {

/// Metrics of a control process in the Prometheus exposition format. Runs on the control thread.
std::string controlMetricsText(const ControlCore &core);

} // namespace eelgrasslift
