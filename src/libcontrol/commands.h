#pragma once

#include "libcore/core.h"
#include "librules/rules.h"

#include <cstdint>
#include <string>
#include <variant>

namespace eelgrasslift {

/// What an engine should have loaded. An order always contains the complete state, never a change relative to
/// the current one.
struct DesiredState
{
    std::string model;
    std::string version;
    std::string adapter;
    std::string role;

    bool operator==(const DesiredState &) const = default;
};

/// Makes text the current rules if baseVersion is still the current version. Answered with a ChangeAnswer or
/// ChangeIdReused.
struct ApplyRules
{
    /// UUID chosen by the caller. A resent command with the same id gets the answer of the first.
    std::string changeId;
    uint64_t baseVersion = 0;
    std::string author;
    std::string text;
};

/// Quarantines requests with this fingerprint until the given time. Answered with Done or Refused.
struct AddQuarantine
{
    std::string fingerprint;
    uint32_t deaths = 0;
    WallTime until{};
    std::string author;
};

/// Ends the quarantine of a fingerprint early. Answered with Done or Refused.
struct ClearQuarantine
{
    std::string fingerprint;
    std::string author;
};

/// Allocates the fencing token for one order. Answered with FenceGranted or Refused.
struct GrantFence
{
    std::string target;
    DesiredState desired;
};

/// Reserves one load in the weight store's budget for this engine process. Answered with LoadReserved or
/// LoadRefused.
struct ReserveLoad
{
    std::string target;
    uint64_t incarnation = 0;
    DesiredState desired;
};

/// The engine reported the state that was ordered with this fencing token. Answered with Done or Refused.
struct ConfirmOrder
{
    std::string target;
    uint64_t fence = 0;
};

/// Deletes the order and the reservation of a target that has been absent from the platform's VM list for an
/// hour.
struct ForgetTarget
{
    std::string target;
};

/// Addresses and failure domain of a control member; as a command, adds or replaces them.
struct MemberInfo
{
    uint64_t id = 0;
    std::string peerAddress;
    std::string operatorAddress;
    std::string domain;

    bool operator==(const MemberInfo &) const = default;
};

/// Deletes the MemberInfo of a removed control member.
struct ForgetMember
{
    uint64_t id = 0;
};

/// Adds an audit entry for an operator action that changes nothing else in the control state.
struct RecordAction
{
    std::string author;
    std::string action;
};

using CommandBody = std::variant<ApplyRules, AddQuarantine, ClearQuarantine, GrantFence, ReserveLoad,
                                 ConfirmOrder, ForgetTarget, MemberInfo, ForgetMember, RecordAction>;

/// One command of the replicated log.
struct ControlCommand
{
    /// Wall clock of the leader when it proposed the command.
    WallTime at{};
    CommandBody body;
};

/// The rules were accepted as this version.
struct Accepted
{
    uint64_t version = 0;

    bool operator==(const Accepted &) const = default;
};

/// The base version is not the current version. Describes the current version; diff shows its changes since
/// the base version.
struct Conflict
{
    uint64_t currentVersion = 0;
    std::string author;
    WallTime acceptedAt{};
    std::string diff;

    bool operator==(const Conflict &) const = default;
};

/// The rules have errors or the change is unsafe.
struct Invalid
{
    RuleErrors errors;

    bool operator==(const Invalid &) const = default;
};

/// The change id was already used for a change with another text, base version or author.
struct ChangeIdReused
{
    bool operator==(const ChangeIdReused &) const = default;
};

/// The fencing token of the order.
struct FenceGranted
{
    uint64_t fence = 0;

    bool operator==(const FenceGranted &) const = default;
};

/// The load is reserved.
struct LoadReserved
{
    /// False if the same load of the same engine process was already reserved.
    bool isNew = true;

    bool operator==(const LoadReserved &) const = default;
};

/// The budget is exhausted until retryAfter has passed.
struct LoadRefused
{
    Duration retryAfter{0};

    bool operator==(const LoadRefused &) const = default;
};

/// The command was applied and has no result.
struct Done
{
    bool operator==(const Done &) const = default;
};

/// The command names something that does not exist or has expired, or a table is full.
struct Refused
{
    std::string cause;

    bool operator==(const Refused &) const = default;
};

/// Outcome of ApplyRules, stored for resent commands.
using ChangeAnswer = std::variant<Accepted, Conflict, Invalid>;
/// Outcome of any command.
using ControlAnswer = std::variant<Accepted, Conflict, Invalid, ChangeIdReused, FenceGranted, LoadReserved,
                                   LoadRefused, Done, Refused>;

} // namespace eelgrasslift
