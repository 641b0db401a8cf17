#include "libcontrol/controltables.h"

#include "libcontrol/wireconversion.h"

namespace eelgrasslift {

namespace {

constexpr uint32_t SnapshotFormat = 1;

void encodeRules(const ControlTables &tables, wire::ControlSnapshot &message)
{
    for (const RuleVersion &version : tables.versions) {
        wire::ControlRuleVersion &wire = *message.add_versions();
        wire.set_version(version.version);
        wire.set_base_version(version.baseVersion);
        wire.set_author(version.author);
        wire.set_change_id(version.changeId);
        wire.set_accepted_unix_ms(toUnixMilliseconds(version.acceptedAt));
        wire.set_text(version.text);
    }
    for (const AnsweredChange &change : tables.answers) {
        wire::ControlChangeAnswer &wire = *message.add_answers();
        wire.set_change_id(change.changeId);
        wire.set_request_hash(change.requestHash);
        toWire(change.answer, wire);
    }
    for (const auto &[account, owner] : tables.owners) {
        wire::ControlAccountOwner &wire = *message.add_owners();
        wire.set_account(account);
        wire.set_domain(owner.domain);
        wire.set_previous_domain(owner.previousDomain);
        wire.set_since_unix_ms(toUnixMilliseconds(owner.since));
        wire.set_removed(owner.isRemoved);
    }
}

void encodeOrders(const ControlTables &tables, wire::ControlSnapshot &message)
{
    message.set_last_fence(tables.lastFence);
    for (const auto &[target, order] : tables.orders) {
        wire::ControlTargetOrder &wire = *message.add_orders();
        wire.set_target(target);
        wire.set_fence(order.fence);
        toWire(order.desired, *wire.mutable_desired());
        wire.set_confirmed(order.isConfirmed);
    }
    message.set_weights_free_unix_ms(toUnixMilliseconds(tables.budget.refilledAt()));
    for (const auto &[target, reservation] : tables.budget.reservations()) {
        wire::ControlReservation &wire = *message.add_reservations();
        wire.set_target(target);
        wire.set_incarnation(reservation.incarnation);
        toWire(reservation.desired, *wire.mutable_desired());
        wire.set_reserved_unix_ms(toUnixMilliseconds(reservation.reservedAt));
    }
}

void encodeOtherTables(const ControlTables &tables, wire::ControlSnapshot &message)
{
    message.set_quarantine_version(tables.quarantineVersion);
    for (const auto &[fingerprint, mark] : tables.marks) {
        wire::ControlQuarantineMark &wire = *message.add_marks();
        wire.set_fingerprint(fingerprint);
        wire.set_deaths(mark.deaths);
        wire.set_until_unix_ms(toUnixMilliseconds(mark.until));
        wire.set_cleared(mark.isCleared);
    }
    for (const auto &[id, member] : tables.members)
        toWire(member, *message.add_members());
    message.set_last_audit(tables.lastAudit);
    for (const AuditEntry &entry : tables.audit) {
        wire::ControlAuditEntry &wire = *message.add_audit();
        wire.set_sequence(entry.sequence);
        wire.set_at_unix_ms(toUnixMilliseconds(entry.at));
        wire.set_author(entry.author);
        wire.set_action(entry.action);
    }
}

void decodeRules(const wire::ControlSnapshot &message, ControlTables &tables)
{
    for (const wire::ControlRuleVersion &wire : message.versions()) {
        tables.versions.push_back({wire.version(), wire.base_version(), wire.author(), wire.change_id(),
                                   fromUnixMilliseconds(wire.accepted_unix_ms()), wire.text()});
    }
    for (const wire::ControlChangeAnswer &wire : message.answers())
        tables.answers.push_back({wire.change_id(), wire.request_hash(), fromWire(wire)});
    for (const wire::ControlAccountOwner &wire : message.owners()) {
        tables.owners[wire.account()] = {wire.domain(), wire.previous_domain(),
                                         fromUnixMilliseconds(wire.since_unix_ms()), wire.removed()};
    }
}

void decodeOrders(const wire::ControlSnapshot &message, ControlTables &tables)
{
    tables.lastFence = message.last_fence();
    for (const wire::ControlTargetOrder &wire : message.orders())
        tables.orders[wire.target()] = {wire.fence(), fromWire(wire.desired()), wire.confirmed()};
    WeightBudget::Reservations reservations;
    for (const wire::ControlReservation &wire : message.reservations()) {
        reservations[wire.target()] = {wire.incarnation(), fromWire(wire.desired()),
                                       fromUnixMilliseconds(wire.reserved_unix_ms())};
    }
    tables.budget =
            WeightBudget(fromUnixMilliseconds(message.weights_free_unix_ms()), std::move(reservations));
}

void decodeOtherTables(const wire::ControlSnapshot &message, ControlTables &tables)
{
    tables.quarantineVersion = message.quarantine_version();
    for (const wire::ControlQuarantineMark &wire : message.marks())
        tables.marks[wire.fingerprint()] = {wire.deaths(), fromUnixMilliseconds(wire.until_unix_ms()),
                                            wire.cleared()};
    for (const wire::ControlMemberInfo &wire : message.members())
        tables.members[wire.id()] = fromWire(wire);
    tables.lastAudit = message.last_audit();
    for (const wire::ControlAuditEntry &wire : message.audit()) {
        tables.audit.push_back(
                {wire.sequence(), fromUnixMilliseconds(wire.at_unix_ms()), wire.author(), wire.action()});
    }
}

} // namespace

std::string encodeTables(const ControlTables &tables)
{
    wire::ControlSnapshot message;
    message.set_format(SnapshotFormat);
    message.set_last_unix_ms(toUnixMilliseconds(tables.lastTime));
    encodeRules(tables, message);
    encodeOrders(tables, message);
    encodeOtherTables(tables, message);
    return message.SerializeAsString();
}

std::optional<ControlTables> decodeTables(std::string_view bytes)
{
    wire::ControlSnapshot message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
        message.format() != SnapshotFormat)
        return std::nullopt;
    ControlTables tables;
    tables.lastTime = fromUnixMilliseconds(message.last_unix_ms());
    decodeRules(message, tables);
    decodeOrders(message, tables);
    decodeOtherTables(message, tables);
    return tables;
}

} // namespace eelgrasslift
