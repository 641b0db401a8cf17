#include "libconsensus/raftnode.h"

#include <algorithm>

namespace eelgrasslift {

using namespace raft;

void RaftNode::requestSnapshotIfDue()
{
    const LogIndex entries = this->committedIndex - this->raftLog.snapshotIndex();
    const bool isDue = entries >= this->settings.snapshotEntries ||
                       (entries > 0 && this->raftLog.bytesSinceSnapshot() >= this->settings.snapshotBytes);
    if (!isDue || this->isTakingSnapshot)
        return;
    this->isTakingSnapshot = true;
    this->actions.emplace_back(TakeSnapshot{this->committedIndex});
}

void RaftNode::onEvent(const SnapshotTaken &event)
{
    this->isTakingSnapshot = false;
    // A snapshot from the leader may have replaced the log in the meantime.
    if (event.index <= this->raftLog.snapshotIndex() || event.index > this->committedIndex)
        return;
    const SnapshotPointer snapshot = this->raftLog.makeSnapshot(event.index, event.data);
    this->raftLog.setSnapshot(snapshot, this->settings.retainedEntries, this->settings.retainedBytes);
    this->actions.emplace_back(
            StoreSnapshot{snapshot, this->hardState, this->raftLog.entriesFrom(event.index + 1, SIZE_MAX)});
    this->needsSync = true;
}

void RaftNode::sendSnapshotChunk(MemberId peer, Progress &progress)
{
    if (!progress.snapshotTransfer)
        progress.snapshotTransfer = SnapshotTransfer{this->raftLog.snapshot(), 0};
    const Snapshot &snapshot = *progress.snapshotTransfer->snapshot;
    const uint64_t offset = progress.snapshotTransfer->offset;
    progress.isAwaitingReply = true;
    progress.sentUpTo = snapshot.index;
    progress.lastSentAt = this->now;
    this->send(peer,
               SnapshotChunk{this->hardState.term, snapshot.index, snapshot.term, snapshot.membershipIndex,
                             snapshot.membership, snapshot.data.size(), offset,
                             snapshot.data.substr(offset, this->settings.snapshotChunkBytes), this->now});
}

void RaftNode::onMessage(MemberId from, const SnapshotChunk &chunk)
{
    if (this->isStaleLeader(chunk.term)) {
        this->send(from, SnapshotReply{this->hardState.term, chunk.snapshotIndex, 0, chunk.sentAt});
        return;
    }
    this->followLeader(chunk.term, from);
    if (chunk.snapshotIndex <= this->committedIndex) {
        this->send(from, AppendReply{this->hardState.term, true, chunk.snapshotIndex, 0, chunk.sentAt});
        return;
    }
    const bool isSameSnapshot = this->incomingSnapshot &&
                                this->incomingSnapshot->index == chunk.snapshotIndex &&
                                this->incomingSnapshot->term == chunk.snapshotTerm;
    if (!isSameSnapshot)
        this->incomingSnapshot = IncomingSnapshot{chunk.snapshotIndex, chunk.snapshotTerm, {}};
    if (chunk.offset == this->incomingSnapshot->data.size())
        this->incomingSnapshot->data += chunk.data;
    const uint64_t received = this->incomingSnapshot->data.size();
    if (received < chunk.totalSize) {
        this->send(from, SnapshotReply{this->hardState.term, chunk.snapshotIndex, received, chunk.sentAt});
        return;
    }
    this->installReceivedSnapshot(chunk);
    this->send(from, AppendReply{this->hardState.term, true, chunk.snapshotIndex, 0, chunk.sentAt});
}

void RaftNode::installReceivedSnapshot(const SnapshotChunk &chunk)
{
    const auto snapshot = std::make_shared<const Snapshot>(Snapshot{chunk.snapshotIndex, chunk.snapshotTerm,
                                                                    chunk.membershipIndex, chunk.membership,
                                                                    std::move(this->incomingSnapshot->data)});
    this->incomingSnapshot.reset();
    this->raftLog.setSnapshot(snapshot, 0, 0);
    this->committedIndex = snapshot->index;
    this->actions.emplace_back(StoreSnapshot{snapshot, this->hardState,
                                             this->raftLog.entriesFrom(snapshot->index + 1, SIZE_MAX)});
    this->needsSync = true;
    this->actions.emplace_back(RestoreState{snapshot});
}

void RaftNode::onMessage(MemberId from, const SnapshotReply &reply)
{
    if (reply.term > this->hardState.term) {
        this->becomeFollower(reply.term, 0);
        return;
    }
    const auto found = this->peers.find(from);
    if (this->currentRole != RaftRole::Leader || reply.term != this->hardState.term ||
        found == this->peers.end())
        return;
    Progress &progress = found->second;
    this->recordReply(progress, reply.sentAt);
    if (!progress.snapshotTransfer || progress.snapshotTransfer->snapshot->index != reply.snapshotIndex)
        return;
    const bool hasAdvanced = reply.nextOffset > progress.snapshotTransfer->offset;
    progress.snapshotTransfer->offset = reply.nextOffset;
    // A reply that does not advance the offset is a duplicate or follows a restart of the peer. The next
    // chunk is then sent when the retransmission timer expires, so that duplicates do not multiply.
    if (hasAdvanced)
        this->sendSnapshotChunk(from, progress);
}

} // namespace eelgrasslift
