#pragma once

// The tables of the control state and their encoding as a snapshot.

#include "libcontrol/commands.h"
#include "libcontrol/weightbudget.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrasslift {

/// An accepted version of the rule file.
struct RuleVersion
{
    uint64_t version = 0;
    uint64_t baseVersion = 0;
    std::string author;
    std::string changeId;
    WallTime acceptedAt{};
    std::string text;
};

/// The answer to an ApplyRules command, stored for resent commands.
struct AnsweredChange
{
    std::string changeId;
    /// Digest of author, base version and text, to distinguish a resent command from another change with the
    /// same id.
    std::string requestHash;
    ChangeAnswer answer;
};

/// The latest order to a target.
struct TargetOrder
{
    uint64_t fence = 0;
    DesiredState desired;
    bool isConfirmed = false;
};

/// A quarantine mark; its key is the request fingerprint.
struct QuarantineEntry
{
    uint32_t deaths = 0;
    WallTime until{};
    /// A cleared mark is retained until its end, so that gossip that still contains it does not restore it.
    bool isCleared = false;
};

/// One audited action. Sequence numbers start at 1 and have no gaps.
struct AuditEntry
{
    uint64_t sequence = 0;
    WallTime at{};
    std::string author;
    std::string action;
};

/// The whole control state. Deques are ordered from oldest to newest.
struct ControlTables
{
    /// Latest time of any command. It never decreases, even if the clock of a new leader is behind.
    WallTime lastTime{};
    std::deque<RuleVersion> versions;
    std::deque<AnsweredChange> answers;
    AccountOwners owners;
    /// Last allocated fencing token. One counter serves all targets, so that a target whose order was deleted
    /// never gets a smaller token.
    uint64_t lastFence = 0;
    std::map<std::string, TargetOrder, std::less<>> orders;
    WeightBudget budget;
    uint64_t quarantineVersion = 0;
    std::map<std::string, QuarantineEntry, std::less<>> marks;
    std::map<uint64_t, MemberInfo> members;
    uint64_t lastAudit = 0;
    std::deque<AuditEntry> audit;
};

/// Serialises the tables. Equal tables give equal bytes.
std::string encodeTables(const ControlTables &tables);

/// Returns std::nullopt if the bytes are not a snapshot of a known format.
std::optional<ControlTables> decodeTables(std::string_view bytes);

} // namespace eelgrasslift
