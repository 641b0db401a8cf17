#include "libcontrol/wireconversion.h"

namespace eelgrasslift {

namespace {

void toWire(const RuleError &error, wire::ControlRuleError &message)
{
    message.set_code(static_cast<uint32_t>(error.code));
    message.set_file(error.file);
    message.set_line(error.line);
    message.set_column(error.column);
    message.set_cause(error.cause);
    message.set_example(error.example);
}

RuleError fromWire(const wire::ControlRuleError &message)
{
    return {static_cast<RuleErrorCode>(message.code()),
            message.file(),
            message.line(),
            message.column(),
            message.cause(),
            message.example()};
}

} // namespace

int64_t toUnixMilliseconds(WallTime time)
{
    return time.time_since_epoch().count();
}

WallTime fromUnixMilliseconds(int64_t milliseconds)
{
    return WallTime{std::chrono::milliseconds{milliseconds}};
}

void toWire(const DesiredState &desired, wire::ControlDesiredState &message)
{
    message.set_model(desired.model);
    message.set_version(desired.version);
    message.set_adapter(desired.adapter);
    message.set_role(desired.role);
}

DesiredState fromWire(const wire::ControlDesiredState &message)
{
    return {message.model(), message.version(), message.adapter(), message.role()};
}

void toWire(const MemberInfo &member, wire::ControlMemberInfo &message)
{
    message.set_id(member.id);
    message.set_peer_address(member.peerAddress);
    message.set_operator_address(member.operatorAddress);
    message.set_domain(member.domain);
}

MemberInfo fromWire(const wire::ControlMemberInfo &message)
{
    return {message.id(), message.peer_address(), message.operator_address(), message.domain()};
}

void toWire(const ChangeAnswer &answer, wire::ControlChangeAnswer &message)
{
    match(
            answer,
            [&](const Accepted &accepted) { message.mutable_accepted()->set_version(accepted.version); },
            [&](const Conflict &conflict) {
                wire::ControlConflict &wire = *message.mutable_conflict();
                wire.set_current_version(conflict.currentVersion);
                wire.set_author(conflict.author);
                wire.set_accepted_unix_ms(toUnixMilliseconds(conflict.acceptedAt));
                wire.set_diff(conflict.diff);
            },
            [&](const Invalid &invalid) {
                wire::ControlInvalid &wire = *message.mutable_invalid();
                for (const RuleError &error : invalid.errors)
                    toWire(error, *wire.add_errors());
            });
}

ChangeAnswer fromWire(const wire::ControlChangeAnswer &message)
{
    if (message.has_accepted())
        return Accepted{message.accepted().version()};
    if (message.has_conflict()) {
        const wire::ControlConflict &wire = message.conflict();
        return Conflict{wire.current_version(), wire.author(), fromUnixMilliseconds(wire.accepted_unix_ms()),
                        wire.diff()};
    }
    Invalid invalid;
    for (const wire::ControlRuleError &error : message.invalid().errors())
        invalid.errors.push_back(fromWire(error));
    return invalid;
}

} // namespace eelgrasslift
