#pragma once

#include "libcore/core.h"
#include "librules/rules.h"

#include <cstdint>
#include <string>
#include <variant>

namespace eelgrasslift {

/// What an engine shall have loaded. An order states this end state, never a step towards it.
struct DesiredState
{
    std::string model;
    std::string version;
    std::string adapter;
    std::string role;

    bool operator==(const DesiredState &) const = default;
};

/// Makes text the current rules if baseVersion still is the current version.
struct ApplyRules
{
    /// Chosen by the caller, a UUID. A second command with the same id gets the first answer.
    std::string changeId;
    uint64_t baseVersion = 0;
    std::string author;
    std::string text;
};

struct AddQuarantine
{
    std::string fingerprint;
    uint32_t deaths = 0;
    WallTime until{};
    std::string author;
};

struct ClearQuarantine
{
    std::string fingerprint;
    std::string author;
};

/// Draws the fencing number for one order.
struct GrantFence
{
    std::string target;
    DesiredState desired;
};

/// Takes one load from the weight store's budget for this engine process.
struct ReserveLoad
{
    std::string target;
    uint64_t incarnation = 0;
    DesiredState desired;
};

/// The engine was read back and has the state that was ordered under this fencing number.
struct ConfirmOrder
{
    std::string target;
    uint64_t fence = 0;
};

/// The target has been absent from the platform's list for an hour.
struct ForgetTarget
{
    std::string target;
};

struct MemberInfo
{
    uint64_t id = 0;
    std::string peerAddress;
    std::string operatorAddress;
    std::string domain;

    bool operator==(const MemberInfo &) const = default;
};

struct ForgetMember
{
    uint64_t id = 0;
};

/// An operator's action that changes no table but belongs in the audit.
struct RecordAction
{
    std::string author;
    std::string action;
};

using CommandBody = std::variant<ApplyRules, AddQuarantine, ClearQuarantine, GrantFence, ReserveLoad,
                                 ConfirmOrder, ForgetTarget, MemberInfo, ForgetMember, RecordAction>;

struct ControlCommand
{
    /// Wall clock of the leader when it proposed the command.
    WallTime at{};
    CommandBody body;
};

struct Accepted
{
    uint64_t version = 0;

    bool operator==(const Accepted &) const = default;
};

/// Another change came first. diff shows what it changed since the base version.
struct Conflict
{
    uint64_t currentVersion = 0;
    std::string author;
    WallTime acceptedAt{};
    std::string diff;

    bool operator==(const Conflict &) const = default;
};

struct Invalid
{
    RuleErrors errors;

    bool operator==(const Invalid &) const = default;
};

/// The change id belongs to a change with another text, base version or author.
struct ChangeIdReused
{
    bool operator==(const ChangeIdReused &) const = default;
};

struct FenceGranted
{
    uint64_t fence = 0;

    bool operator==(const FenceGranted &) const = default;
};

struct LoadReserved
{
    /// False if the same load of the same engine process was reserved before.
    bool isNew = true;

    bool operator==(const LoadReserved &) const = default;
};

struct LoadRefused
{
    Duration retryAfter{0};

    bool operator==(const LoadRefused &) const = default;
};

struct Done
{
    bool operator==(const Done &) const = default;
};

/// The command names something that does not exist, or a table is full.
struct Refused
{
    std::string cause;

    bool operator==(const Refused &) const = default;
};

using ChangeAnswer = std::variant<Accepted, Conflict, Invalid>;
using ControlAnswer = std::variant<Accepted, Conflict, Invalid, ChangeIdReused, FenceGranted, LoadReserved,
                                   LoadRefused, Done, Refused>;

} // namespace eelgrasslift
