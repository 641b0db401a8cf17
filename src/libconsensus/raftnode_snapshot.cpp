#include "libconsensus/raftnode.h"

#include <algorithm>

namespace eelgrasslift {

using namespace raft;

void RaftNode::requestSnapshotIfDue()
{
    const LogIndex entries = this->committed - this->raftLog.snapshotIndex();
    const bool isDue = entries >= this->settings.snapshotEntries ||
                       (entries > 0 && this->raftLog.bytesSinceSnapshot() >= this->settings.snapshotBytes);
    if (!isDue || this->isTakingSnapshot)
        return;
    this->isTakingSnapshot = true;
    this->actions.emplace_back(TakeSnapshot{this->committed});
}

void RaftNode::onEvent(const SnapshotTaken &event)
{
    this->isTakingSnapshot = false;
    // A snapshot of the leader may have replaced the log in the meantime.
    if (event.index <= this->raftLog.snapshotIndex() || event.index > this->committed)
        return;
    const SnapshotPointer snapshot = this->raftLog.makeSnapshot(event.index, event.data);
    this->raftLog.setSnapshot(snapshot, this->settings.retainedEntries);
    this->actions.emplace_back(
            StoreSnapshot{snapshot, this->hardState, this->raftLog.entriesFrom(event.index + 1, SIZE_MAX)});
    this->needsSync = true;
}

void RaftNode::sendChunk(MemberId peer, Progress &progress)
{
    if (!progress.transfer)
        progress.transfer = SnapshotTransfer{this->raftLog.snapshot(), 0};
    const Snapshot &snapshot = *progress.transfer->snapshot;
    const uint64_t offset = progress.transfer->offset;
    progress.isAwaitingReply = true;
    progress.sentUpTo = snapshot.index;
    progress.lastSent = this->now;
    this->send(peer,
               SnapshotChunk{this->hardState.term, snapshot.index, snapshot.term, snapshot.membershipIndex,
                             snapshot.membership, snapshot.data.size(), offset,
                             snapshot.data.substr(offset, this->settings.snapshotChunkBytes), this->now});
}

void RaftNode::onMessage(MemberId from, const SnapshotChunk &chunk)
{
    if (this->isStale(chunk.term)) {
        this->send(from, SnapshotReply{this->hardState.term, chunk.snapshotIndex, 0, chunk.sentAt});
        return;
    }
    this->followLeader(chunk.term, from);
    if (chunk.snapshotIndex <= this->committed) {
        this->send(from, AppendReply{this->hardState.term, true, chunk.snapshotIndex, 0, chunk.sentAt});
        return;
    }
    const bool isSame = this->incoming && this->incoming->index == chunk.snapshotIndex &&
                        this->incoming->term == chunk.snapshotTerm;
    if (!isSame)
        this->incoming = IncomingSnapshot{chunk.snapshotIndex, chunk.snapshotTerm, {}};
    if (chunk.offset == this->incoming->data.size())
        this->incoming->data += chunk.data;
    const uint64_t received = this->incoming->data.size();
    if (received < chunk.totalSize) {
        this->send(from, SnapshotReply{this->hardState.term, chunk.snapshotIndex, received, chunk.sentAt});
        return;
    }
    this->installReceived(chunk);
    this->send(from, AppendReply{this->hardState.term, true, chunk.snapshotIndex, 0, chunk.sentAt});
}

void RaftNode::installReceived(const SnapshotChunk &chunk)
{
    const auto snapshot = std::make_shared<const Snapshot>(Snapshot{chunk.snapshotIndex, chunk.snapshotTerm,
                                                                    chunk.membershipIndex, chunk.membership,
                                                                    std::move(this->incoming->data)});
    this->incoming.reset();
    this->raftLog.setSnapshot(snapshot, 0);
    this->committed = snapshot->index;
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
    if (this->state != RaftRole::Leader || reply.term != this->hardState.term || found == this->peers.end())
        return;
    Progress &progress = found->second;
    this->noteReply(progress, reply.sentAt);
    if (!progress.transfer || progress.transfer->snapshot->index != reply.snapshotIndex)
        return;
    const bool isAdvance = reply.nextOffset > progress.transfer->offset;
    progress.transfer->offset = reply.nextOffset;
    // A reply that does not advance is a duplicate or follows a restart of the peer: the retransmission
    // timer continues, so that duplicates do not multiply.
    if (isAdvance)
        this->sendChunk(from, progress);
}

} // namespace eelgrasslift
