#include "libgateway/switchplan.h"

namespace eelgrasslift {

namespace {

// Refusals of one copy in transit before it is given up.
constexpr uint32_t MaxRefusals = 4;

} // namespace

SwitchStep planFailedSwitch(const FailedSwitch &failed)
{
    if (failed.isCopyInTransit && failed.outcome == SendOutcome::RefusedByRunner &&
        failed.refusals < MaxRefusals)
        return SwitchStep::Retry;
    return failed.isCurrentConnected ? SwitchStep::Stay : SwitchStep::GiveUp;
}

} // namespace eelgrasslift
