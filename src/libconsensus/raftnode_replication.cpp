#include "libconsensus/raftnode.h"

#include <algorithm>

namespace eelgrasslift {

using namespace raft;

void RaftNode::onEvent(const Propose &event)
{
    if (const std::optional<RequestError> error = this->rejectionReason()) {
        this->answer(event.request, *error);
    } else if (event.command.size() > this->settings.maxCommandBytes) {
        this->reject(event.request, RequestErrorKind::TooLarge);
    } else if (this->pendingRequests.size() >= this->settings.maxPendingRequests) {
        this->reject(event.request, RequestErrorKind::Overloaded);
    } else {
        this->appendAsLeader(EntryKind::Command, event.command, event.request);
        this->broadcast(false);
        this->advanceCommit();
    }
}

void RaftNode::onEvent(const ConfirmLeadership &event)
{
    if (const std::optional<RequestError> error = this->rejectionReason())
        this->answer(event.request, *error);
    else if (!this->hasCommittedInTerm())
        this->reject(event.request, RequestErrorKind::NotReady);
    else
        this->answer(event.request, this->committedIndex);
}

std::optional<RequestError> RaftNode::rejectionReason() const
{
    if (this->currentRole != RaftRole::Leader)
        return RequestError{RequestErrorKind::NotLeader, this->leaderAddress()};
    if (this->leadershipTransfer)
        return RequestError{RequestErrorKind::TransferInProgress,
                            this->addressOf(this->leadershipTransfer->target)};
    if (!this->hasLease(this->now))
        return RequestError{RequestErrorKind::NoLease, {}};
    return std::nullopt;
}

std::optional<TimePoint> RaftNode::leaseStart() const
{
    std::vector<TimePoint> acknowledged;
    size_t voters = 0;
    for (const auto &[id, member] : this->raftLog.membership()) {
        if (!member.isVoter)
            continue;
        ++voters;
        if (id == this->identity.memberId)
            acknowledged.push_back(TimePoint::max());
        else if (const auto found = this->peers.find(id);
                 found != this->peers.end() && found->second.ackedSentAt)
            acknowledged.push_back(*found->second.ackedSentAt);
    }
    const size_t majority = voters / 2 + 1;
    if (acknowledged.size() < majority)
        return std::nullopt;
    std::sort(acknowledged.begin(), acknowledged.end(), std::greater<>{});
    return acknowledged[majority - 1];
}

bool RaftNode::hasLease(TimePoint time) const
{
    if (this->currentRole != RaftRole::Leader || this->isLeaseReleased)
        return false;
    const std::optional<TimePoint> start = this->leaseStart();
    if (!start)
        return false;
    const Duration lease = this->settings.leaseDuration * (100 - this->settings.clockDriftPercent) / 100;
    // TimePoint::max(): this member is the only voter, so its lease does not end.
    return *start == TimePoint::max() || time - *start < lease;
}

bool RaftNode::hasCommittedInTerm() const
{
    return this->committedIndex >= this->termStartIndex;
}

void RaftNode::appendAsLeader(EntryKind kind, std::string payload, RequestId request)
{
    LogEntry entry{this->raftLog.lastIndex() + 1, this->hardState.term, kind, std::move(payload)};
    this->pendingRequests[entry.index] = PendingRequest{request, entry.term};
    this->actions.emplace_back(StoreEntries{{entry}});
    this->needsSync = true;
    this->raftLog.append(std::move(entry));
    if (kind == EntryKind::Membership)
        this->syncProgressWithMembership();
}

void RaftNode::broadcast(bool isHeartbeat)
{
    if (isHeartbeat)
        this->lastBroadcast = this->now;
    for (const auto &[id, progress] : this->peers)
        this->replicateTo(id, isHeartbeat);
}

void RaftNode::replicateTo(MemberId peer, bool isHeartbeat)
{
    Progress &progress = this->peers.at(peer);
    const bool isRetransmit = this->now - progress.lastSentAt >= this->settings.retransmitInterval;
    const bool maySendEntries = !progress.isAwaitingReply || isRetransmit;
    if (!maySendEntries && !isHeartbeat)
        return;
    if (maySendEntries && progress.next <= this->raftLog.lastCompactedIndex()) {
        this->sendSnapshotChunk(peer, progress);
        return;
    }
    AppendRequest request{this->hardState.term, 0, 0, this->committedIndex, this->now, {}};
    // While entries or a snapshot chunk are not acknowledged yet, a heartbeat refers only to the last entry
    // that the peer is known to have.
    request.previousIndex = maySendEntries ? progress.next - 1 : progress.match;
    const std::optional<Term> previousTerm = this->raftLog.termAt(request.previousIndex);
    if (!previousTerm)
        request.previousIndex = 0;
    request.previousTerm = previousTerm.value_or(0);
    if (maySendEntries) {
        request.entries = this->raftLog.entriesFrom(progress.next, this->settings.maxAppendBytes);
        progress.isAwaitingReply = !request.entries.empty();
        progress.sentUpTo = request.previousIndex + request.entries.size();
        progress.lastSentAt = this->now;
    }
    this->send(peer, std::move(request));
}

void RaftNode::onMessage(MemberId from, const AppendRequest &request)
{
    if (this->isStaleLeader(request.term)) {
        this->send(from, AppendReply{this->hardState.term, false, 0, request.previousIndex, request.sentAt});
        return;
    }
    this->followLeader(request.term, from);
    if (!this->checkPreviousEntry(from, request))
        return;
    this->appendReceivedEntries(request);
    const LogIndex match = request.previousIndex + request.entries.size();
    this->commitTo(std::min(request.commitIndex, match));
    this->send(from, AppendReply{this->hardState.term, true, match, 0, request.sentAt});
}

bool RaftNode::checkPreviousEntry(MemberId from, const AppendRequest &request)
{
    // Compacted entries are committed, so they agree with the leader's log.
    if (request.previousIndex < this->raftLog.lastCompactedIndex())
        return true;
    const std::optional<Term> term = this->raftLog.termAt(request.previousIndex);
    if (term == request.previousTerm)
        return true;
    const LogIndex next =
            term ? this->raftLog.firstIndexOfTerm(request.previousIndex) : this->raftLog.lastIndex() + 1;
    this->send(from, AppendReply{this->hardState.term, false, 0, std::max(next, this->committedIndex + 1),
                                 request.sentAt});
    return false;
}

void RaftNode::appendReceivedEntries(const AppendRequest &request)
{
    std::vector<LogEntry> added;
    for (const LogEntry &entry : request.entries) {
        if (entry.index <= this->raftLog.lastCompactedIndex())
            continue;
        if (added.empty() && this->raftLog.termAt(entry.index) == entry.term)
            continue;
        if (added.empty())
            this->raftLog.truncateFrom(entry.index);
        this->raftLog.append(entry);
        added.push_back(entry);
    }
    if (added.empty())
        return;
    this->actions.emplace_back(StoreEntries{std::move(added)});
    this->needsSync = true;
}

void RaftNode::recordReply(Progress &progress, TimePoint sentAt) const
{
    progress.lastContact = this->now;
    progress.ackedSentAt = std::max(progress.ackedSentAt.value_or(sentAt), sentAt);
}

void RaftNode::onMessage(MemberId from, const AppendReply &reply)
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
    if (!reply.isSuccess) {
        const LogIndex next = std::max(progress.match + 1, std::min(reply.nextIndex, progress.next));
        if (next >= progress.next)
            return;
        progress.next = next;
        progress.isAwaitingReply = false;
        this->replicateTo(from, false);
        return;
    }
    progress.match = std::max(progress.match, reply.matchIndex);
    progress.next = std::max(progress.next, progress.match + 1);
    if (progress.snapshotTransfer && progress.match >= progress.snapshotTransfer->snapshot->index)
        progress.snapshotTransfer.reset();
    if (progress.match >= progress.sentUpTo)
        progress.isAwaitingReply = false;
    this->updateCatchUp(progress);
    this->advanceCommit();
    if (progress.match < this->raftLog.lastIndex())
        this->replicateTo(from, false);
    this->continueLeadershipTransfer();
}

void RaftNode::advanceCommit()
{
    std::vector<LogIndex> syncedIndexes;
    for (const auto &[id, member] : this->raftLog.membership()) {
        if (!member.isVoter)
            continue;
        const auto found = this->peers.find(id);
        syncedIndexes.push_back(id == this->identity.memberId ? this->raftLog.lastIndex()
                                : found != this->peers.end()  ? found->second.match
                                                              : 0);
    }
    if (syncedIndexes.empty())
        return;
    std::sort(syncedIndexes.begin(), syncedIndexes.end(), std::greater<>{});
    const LogIndex index = syncedIndexes[syncedIndexes.size() / 2];
    // An entry of an earlier term may still be replaced although a majority has stored it; it is committed
    // together with the first entry of the current term.
    if (index > this->committedIndex && this->raftLog.termAt(index) == this->hardState.term)
        this->commitTo(index);
}

void RaftNode::commitTo(LogIndex index)
{
    index = std::min(index, this->raftLog.lastIndex());
    if (index <= this->committedIndex)
        return;
    this->ensureSynced();
    while (this->committedIndex < index) {
        ++this->committedIndex;
        this->applyEntry(this->raftLog.at(this->committedIndex));
    }
    this->requestSnapshotIfDue();
}

void RaftNode::applyEntry(const LogEntry &entry)
{
    if (entry.kind == EntryKind::Command)
        this->actions.emplace_back(Apply{entry.index, entry.payload});
    const auto found = this->pendingRequests.find(entry.index);
    if (found == this->pendingRequests.end())
        return;
    const PendingRequest request = found->second;
    this->pendingRequests.erase(found);
    if (request.term == entry.term)
        this->answer(request.request, entry.index);
}

void RaftNode::failPendingRequests(RequestErrorKind kind)
{
    for (const auto &[index, request] : this->pendingRequests)
        this->reject(request.request, kind);
    this->pendingRequests.clear();
}

} // namespace eelgrasslift
