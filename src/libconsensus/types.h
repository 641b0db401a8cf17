#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrasslift {

/// 128-bit id of a cluster, random or derived from the addresses of its initial members; all zeros in a
/// member that has not been accepted by a cluster yet.
using ClusterId = std::array<uint8_t, 16>;

/// Id of one member's data folder; 0 means no member. A member that lost its disk gets a new id.
using MemberId = uint64_t;

/// Raft term. Each term has at most one leader.
using Term = uint64_t;

/// Position in the replicated log; the first entry has index 1, and 0 means no entry.
using LogIndex = uint64_t;

/// Cluster and member id stored in a data folder.
struct Identity
{
    ClusterId clusterId{};
    MemberId memberId = 0;

    /// Whether the member belongs to a cluster; false until its first JoinRequest is accepted.
    bool hasCluster() const { return this->clusterId != ClusterId{}; }
    bool operator==(const Identity &) const = default;
};

/// Address of a member and whether it votes. A member without a vote is a learner.
struct ClusterMember
{
    std::string address;
    bool isVoter = false;

    bool operator==(const ClusterMember &) const = default;
};

/// Members of the cluster. The latest membership in a member's log is in force, committed or not.
using Membership = std::map<MemberId, ClusterMember>;

/// Content of a log entry: a command of the application, nothing, or an encoded Membership.
enum class EntryKind : uint8_t { Command = 1, NoOp = 2, Membership = 3 };

/// Entry of the replicated log.
struct LogEntry
{
    LogIndex index = 0;
    Term term = 0;
    EntryKind kind = EntryKind::Command;
    std::string payload;

    bool operator==(const LogEntry &) const = default;
};

/// Latest term of a member and its vote in that term, which must be durable before it responds to a
/// candidate.
struct HardState
{
    Term term = 0;
    MemberId votedFor = 0; // 0: no vote in this term yet

    bool operator==(const HardState &) const = default;
};

/// State of the application after the entry at index, with the membership in force there.
struct Snapshot
{
    LogIndex index = 0;
    Term term = 0;
    LogIndex membershipIndex = 0; // index of the entry that set the membership
    Membership membership;
    std::string data;
};

using SnapshotPointer = std::shared_ptr<const Snapshot>;

} // namespace eelgrasslift
