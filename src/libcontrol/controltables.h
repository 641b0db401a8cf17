#pragma once

// The tables of the control state and their snapshot.

#include "libcontrol/commands.h"
#include "libcontrol/weightbudget.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrasslift {

struct RuleVersion
{
    uint64_t version = 0;
    uint64_t baseVersion = 0;
    std::string author;
    std::string changeId;
    WallTime acceptedAt{};
    std::string text;
};

struct AnsweredChange
{
    std::string changeId;
    /// Digest of author, base version and text, to tell a resend from another change with the same id.
    std::string requestHash;
    ChangeAnswer answer;
};

struct TargetOrder
{
    uint64_t fence = 0;
    DesiredState desired;
    bool isConfirmed = false;
};

struct QuarantineEntry
{
    uint32_t deaths = 0;
    WallTime until{};
    /// Kept until the mark would have ended, so that gossip that still carries the mark does not restore it.
    bool isCleared = false;
};

struct AuditEntry
{
    uint64_t sequence = 0;
    WallTime at{};
    std::string author;
    std::string action;
};

struct ControlTables
{
    /// Latest time of any command. Time never goes back, even if a new leader's clock is behind.
    WallTime lastTime{};
    std::deque<RuleVersion> versions;
    std::deque<AnsweredChange> answers;
    AccountOwners owners;
    /// One counter for all targets, so that a target that was forgotten never sees a smaller number.
    uint64_t lastFence = 0;
    std::map<std::string, TargetOrder, std::less<>> orders;
    WeightBudget budget;
    uint64_t quarantineVersion = 0;
    std::map<std::string, QuarantineEntry, std::less<>> marks;
    std::map<uint64_t, MemberInfo> members;
    uint64_t lastAudit = 0;
    std::deque<AuditEntry> audit;
};

/// Equal tables give equal bytes.
std::string encodeTables(const ControlTables &tables);

/// Nothing if the bytes are no snapshot of a known format.
std::optional<ControlTables> decodeTables(std::string_view bytes);

} // namespace eelgrasslift
