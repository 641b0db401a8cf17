#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrasslift {

/// Random 128-bit id that separates clusters; all zeros until a joining member has learnt it.
using ClusterId = std::array<uint8_t, 16>;

/// Random id of one member's disk; 0 stands for no member. A member that lost its disk draws a new one.
using MemberId = uint64_t;

using Term = uint64_t;
using LogIndex = uint64_t;

struct Identity
{
    ClusterId clusterId{};
    MemberId memberId = 0;

    bool hasCluster() const { return this->clusterId != ClusterId{}; }
    bool operator==(const Identity &) const = default;
};

struct ClusterMember
{
    std::string address;
    bool isVoter = false;

    bool operator==(const ClusterMember &) const = default;
};

/// Members of the cluster. The latest membership in a member's log is in force, committed or not.
using Membership = std::map<MemberId, ClusterMember>;

enum class EntryKind : uint8_t { Command = 1, NoOp = 2, Membership = 3 };

struct LogEntry
{
    LogIndex index = 0;
    Term term = 0;
    EntryKind kind = EntryKind::Command;
    std::string payload;

    bool operator==(const LogEntry &) const = default;
};

struct HardState
{
    Term term = 0;
    MemberId votedFor = 0;

    bool operator==(const HardState &) const = default;
};

/// State after the entry at index, with the membership in force there.
struct Snapshot
{
    LogIndex index = 0;
    Term term = 0;
    LogIndex membershipIndex = 0;
    Membership membership;
    std::string data;
};

using SnapshotPointer = std::shared_ptr<const Snapshot>;

} // namespace eelgrasslift
