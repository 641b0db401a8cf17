#pragma once

// Internal to libcontrol: conversions between the control types and their protobuf messages.

#include "libcontrol/commands.h"

#include <control.pb.h>

namespace eelgrasslift {

int64_t toUnixMilliseconds(WallTime time);
WallTime fromUnixMilliseconds(int64_t milliseconds);

void toWire(const DesiredState &desired, wire::ControlDesiredState &message);
DesiredState fromWire(const wire::ControlDesiredState &message);

void toWire(const MemberInfo &member, wire::ControlMemberInfo &message);
MemberInfo fromWire(const wire::ControlMemberInfo &message);

void toWire(const ChangeAnswer &answer, wire::ControlChangeAnswer &message);
ChangeAnswer fromWire(const wire::ControlChangeAnswer &message);

} // namespace eelgrasslift
