#include "eelgrasslift/consensuscodec.h"

#include <algorithm>

namespace eelgrasslift {

namespace {

int64_t toNanoseconds(TimePoint time)
{
    return time.time_since_epoch().count();
}

TimePoint toTimePoint(int64_t nanoseconds)
{
    return TimePoint{Duration{nanoseconds}};
}

void write(wire::ConsensusEnvelope &to, const raft::PreVoteRequest &from)
{
    wire::ConsensusPreVoteRequest &message = *to.mutable_pre_vote_request();
    message.set_term(from.term);
    message.set_last_index(from.lastIndex);
    message.set_last_term(from.lastTerm);
    message.set_membership_index(from.membershipIndex);
}

void write(wire::ConsensusEnvelope &to, const raft::PreVoteReply &from)
{
    to.mutable_pre_vote_reply()->set_term(from.term);
    to.mutable_pre_vote_reply()->set_is_granted(from.isGranted);
}

void write(wire::ConsensusEnvelope &to, const raft::VoteRequest &from)
{
    wire::ConsensusVoteRequest &message = *to.mutable_vote_request();
    message.set_term(from.term);
    message.set_last_index(from.lastIndex);
    message.set_last_term(from.lastTerm);
    message.set_membership_index(from.membershipIndex);
    message.set_is_transfer(from.isTransfer);
}

void write(wire::ConsensusEnvelope &to, const raft::VoteReply &from)
{
    to.mutable_vote_reply()->set_term(from.term);
    to.mutable_vote_reply()->set_is_granted(from.isGranted);
}

void write(wire::ConsensusEnvelope &to, const raft::AppendRequest &from)
{
    wire::ConsensusAppendRequest &message = *to.mutable_append_request();
    message.set_term(from.term);
    message.set_previous_index(from.previousIndex);
    message.set_previous_term(from.previousTerm);
    message.set_commit_index(from.commitIndex);
    message.set_sent_at_ns(toNanoseconds(from.sentAt));
    for (const LogEntry &entry : from.entries) {
        wire::ConsensusEntry &added = *message.add_entries();
        added.set_index(entry.index);
        added.set_term(entry.term);
        added.set_kind(static_cast<uint32_t>(entry.kind));
        added.set_payload(entry.payload);
    }
}

void write(wire::ConsensusEnvelope &to, const raft::AppendReply &from)
{
    wire::ConsensusAppendReply &message = *to.mutable_append_reply();
    message.set_term(from.term);
    message.set_is_success(from.isSuccess);
    message.set_match_index(from.matchIndex);
    message.set_next_index(from.nextIndex);
    message.set_sent_at_ns(toNanoseconds(from.sentAt));
}

void write(wire::ConsensusEnvelope &to, const raft::SnapshotChunk &from)
{
    wire::ConsensusSnapshotChunk &message = *to.mutable_snapshot_chunk();
    message.set_term(from.term);
    message.set_snapshot_index(from.snapshotIndex);
    message.set_snapshot_term(from.snapshotTerm);
    message.set_membership_index(from.membershipIndex);
    for (const auto &[id, member] : from.membership) {
        wire::ConsensusMember &added = *message.add_membership();
        added.set_id(id);
        added.set_address(member.address);
        added.set_is_voter(member.isVoter);
    }
    message.set_total_size(from.totalSize);
    message.set_offset(from.offset);
    message.set_data(from.data);
    message.set_sent_at_ns(toNanoseconds(from.sentAt));
}

void write(wire::ConsensusEnvelope &to, const raft::SnapshotReply &from)
{
    wire::ConsensusSnapshotReply &message = *to.mutable_snapshot_reply();
    message.set_term(from.term);
    message.set_snapshot_index(from.snapshotIndex);
    message.set_next_offset(from.nextOffset);
    message.set_sent_at_ns(toNanoseconds(from.sentAt));
}

void write(wire::ConsensusEnvelope &to, const raft::TimeoutNow &from)
{
    to.mutable_timeout_now()->set_term(from.term);
}

void write(wire::ConsensusEnvelope &to, const raft::JoinRequest &)
{
    to.mutable_join_request();
}

void write(wire::ConsensusEnvelope &to, const raft::JoinReply &from)
{
    to.mutable_join_reply()->set_status(static_cast<wire::ConsensusJoinStatus>(from.status));
    to.mutable_join_reply()->set_leader_address(from.leaderAddress);
}

std::optional<raft::Message> read(const wire::ConsensusAppendRequest &from)
{
    raft::AppendRequest message{from.term(),         from.previous_index(),          from.previous_term(),
                                from.commit_index(), toTimePoint(from.sent_at_ns()), {}};
    LogIndex expected = from.previous_index();
    for (const wire::ConsensusEntry &entry : from.entries()) {
        const auto kind = static_cast<EntryKind>(entry.kind());
        const bool isKnown =
                entry.kind() >= 1 && entry.kind() <= static_cast<uint32_t>(EntryKind::Membership);
        if (!isKnown || entry.index() != ++expected)
            return std::nullopt;
        message.entries.push_back(LogEntry{entry.index(), entry.term(), kind, entry.payload()});
    }
    return message;
}

std::optional<raft::Message> read(const wire::ConsensusSnapshotChunk &from)
{
    Membership membership;
    for (const wire::ConsensusMember &member : from.membership())
        membership[member.id()] = ClusterMember{member.address(), member.is_voter()};
    return raft::SnapshotChunk{from.term(),
                               from.snapshot_index(),
                               from.snapshot_term(),
                               from.membership_index(),
                               std::move(membership),
                               from.total_size(),
                               from.offset(),
                               from.data(),
                               toTimePoint(from.sent_at_ns())};
}

std::optional<raft::Message> read(const wire::ConsensusJoinReply &from)
{
    if (from.status() < wire::CONSENSUS_JOIN_ACCEPTED || from.status() > wire::CONSENSUS_JOIN_FOREIGN_CLUSTER)
        return std::nullopt;
    return raft::JoinReply{static_cast<raft::JoinStatus>(from.status()), from.leader_address()};
}

raft::Message read(const wire::ConsensusPreVoteRequest &from)
{
    return raft::PreVoteRequest{from.term(), from.last_index(), from.last_term(), from.membership_index()};
}

raft::Message read(const wire::ConsensusVoteRequest &from)
{
    return raft::VoteRequest{from.term(), from.last_index(), from.last_term(), from.membership_index(),
                             from.is_transfer()};
}

raft::Message read(const wire::ConsensusAppendReply &from)
{
    return raft::AppendReply{from.term(), from.is_success(), from.match_index(), from.next_index(),
                             toTimePoint(from.sent_at_ns())};
}

raft::Message read(const wire::ConsensusSnapshotReply &from)
{
    return raft::SnapshotReply{from.term(), from.snapshot_index(), from.next_offset(),
                               toTimePoint(from.sent_at_ns())};
}

std::optional<raft::Message> readMessage(const wire::ConsensusEnvelope &from)
{
    switch (from.message_case()) {
    case wire::ConsensusEnvelope::kPreVoteRequest:
        return read(from.pre_vote_request());
    case wire::ConsensusEnvelope::kPreVoteReply:
        return raft::PreVoteReply{from.pre_vote_reply().term(), from.pre_vote_reply().is_granted()};
    case wire::ConsensusEnvelope::kVoteRequest:
        return read(from.vote_request());
    case wire::ConsensusEnvelope::kVoteReply:
        return raft::VoteReply{from.vote_reply().term(), from.vote_reply().is_granted()};
    case wire::ConsensusEnvelope::kAppendRequest:
        return read(from.append_request());
    case wire::ConsensusEnvelope::kAppendReply:
        return read(from.append_reply());
    case wire::ConsensusEnvelope::kSnapshotChunk:
        return read(from.snapshot_chunk());
    case wire::ConsensusEnvelope::kSnapshotReply:
        return read(from.snapshot_reply());
    case wire::ConsensusEnvelope::kTimeoutNow:
        return raft::TimeoutNow{from.timeout_now().term()};
    case wire::ConsensusEnvelope::kJoinRequest:
        return raft::JoinRequest{};
    case wire::ConsensusEnvelope::kJoinReply:
        return read(from.join_reply());
    case wire::ConsensusEnvelope::MESSAGE_NOT_SET:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

wire::ConsensusEnvelope toWire(const raft::Envelope &envelope)
{
    wire::ConsensusEnvelope result;
    if (envelope.clusterId != ClusterId{})
        result.set_cluster_id(envelope.clusterId.data(), envelope.clusterId.size());
    result.set_from(envelope.from);
    result.set_to(envelope.to);
    result.set_from_address(envelope.fromAddress);
    std::visit([&](const auto &message) { write(result, message); }, envelope.message);
    return result;
}

std::optional<raft::Envelope> fromWire(const wire::ConsensusEnvelope &envelope)
{
    raft::Envelope result;
    const std::string &clusterId = envelope.cluster_id();
    if (!clusterId.empty() && clusterId.size() != result.clusterId.size())
        return std::nullopt;
    std::transform(clusterId.begin(), clusterId.end(), result.clusterId.begin(),
                   [](char byte) { return static_cast<uint8_t>(byte); });
    std::optional<raft::Message> message = readMessage(envelope);
    if (!message)
        return std::nullopt;
    result.from = envelope.from();
    result.to = envelope.to();
    result.fromAddress = envelope.from_address();
    result.message = std::move(*message);
    return result;
}

} // namespace eelgrasslift
