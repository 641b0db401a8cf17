#include "libcontrol/commandcodec.h"

#include "libcontrol/wireconversion.h"

namespace eelgrasslift {

namespace {

void encodeBody(const ApplyRules &body, wire::ControlCommand &message)
{
    wire::ControlApplyRules &wire = *message.mutable_apply_rules();
    wire.set_change_id(body.changeId);
    wire.set_base_version(body.baseVersion);
    wire.set_author(body.author);
    wire.set_text(body.text);
}

void encodeBody(const AddQuarantine &body, wire::ControlCommand &message)
{
    wire::ControlAddQuarantine &wire = *message.mutable_add_quarantine();
    wire.set_fingerprint(body.fingerprint);
    wire.set_deaths(body.deaths);
    wire.set_until_unix_ms(toUnixMilliseconds(body.until));
    wire.set_author(body.author);
}

void encodeBody(const ClearQuarantine &body, wire::ControlCommand &message)
{
    message.mutable_clear_quarantine()->set_fingerprint(body.fingerprint);
    message.mutable_clear_quarantine()->set_author(body.author);
}

void encodeBody(const GrantFence &body, wire::ControlCommand &message)
{
    message.mutable_grant_fence()->set_target(body.target);
    toWire(body.desired, *message.mutable_grant_fence()->mutable_desired());
}

void encodeBody(const ReserveLoad &body, wire::ControlCommand &message)
{
    wire::ControlReserveLoad &wire = *message.mutable_reserve_load();
    wire.set_target(body.target);
    wire.set_incarnation(body.incarnation);
    toWire(body.desired, *wire.mutable_desired());
}

void encodeBody(const ConfirmOrder &body, wire::ControlCommand &message)
{
    message.mutable_confirm_order()->set_target(body.target);
    message.mutable_confirm_order()->set_fence(body.fence);
}

void encodeBody(const ForgetTarget &body, wire::ControlCommand &message)
{
    message.mutable_forget_target()->set_target(body.target);
}

void encodeBody(const MemberInfo &body, wire::ControlCommand &message)
{
    toWire(body, *message.mutable_describe_member());
}

void encodeBody(const ForgetMember &body, wire::ControlCommand &message)
{
    message.mutable_forget_member()->set_id(body.id);
}

void encodeBody(const RecordAction &body, wire::ControlCommand &message)
{
    message.mutable_record_action()->set_author(body.author);
    message.mutable_record_action()->set_action(body.action);
}

AddQuarantine toCommand(const wire::ControlAddQuarantine &wire)
{
    return {wire.fingerprint(), wire.deaths(), fromUnixMilliseconds(wire.until_unix_ms()), wire.author()};
}

std::optional<CommandBody> decodeBody(const wire::ControlCommand &message)
{
    using Wire = wire::ControlCommand;
    switch (message.command_case()) {
    case Wire::kApplyRules: {
        const wire::ControlApplyRules &wire = message.apply_rules();
        return ApplyRules{wire.change_id(), wire.base_version(), wire.author(), wire.text()};
    }
    case Wire::kAddQuarantine:
        return toCommand(message.add_quarantine());
    case Wire::kClearQuarantine:
        return ClearQuarantine{message.clear_quarantine().fingerprint(), message.clear_quarantine().author()};
    case Wire::kGrantFence:
        return GrantFence{message.grant_fence().target(), fromWire(message.grant_fence().desired())};
    case Wire::kReserveLoad: {
        const wire::ControlReserveLoad &wire = message.reserve_load();
        return ReserveLoad{wire.target(), wire.incarnation(), fromWire(wire.desired())};
    }
    case Wire::kConfirmOrder:
        return ConfirmOrder{message.confirm_order().target(), message.confirm_order().fence()};
    case Wire::kForgetTarget:
        return ForgetTarget{message.forget_target().target()};
    case Wire::kDescribeMember:
        return fromWire(message.describe_member());
    case Wire::kForgetMember:
        return ForgetMember{message.forget_member().id()};
    case Wire::kRecordAction:
        return RecordAction{message.record_action().author(), message.record_action().action()};
    case Wire::COMMAND_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace

std::string encodeCommand(const ControlCommand &command)
{
    wire::ControlCommand message;
    message.set_at_unix_ms(toUnixMilliseconds(command.at));
    std::visit([&](const auto &body) { encodeBody(body, message); }, command.body);
    return message.SerializeAsString();
}

std::optional<ControlCommand> decodeCommand(std::string_view bytes)
{
    wire::ControlCommand message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    auto body = decodeBody(message);
    if (!body)
        return std::nullopt;
    return ControlCommand{fromUnixMilliseconds(message.at_unix_ms()), std::move(*body)};
}

} // namespace eelgrasslift
