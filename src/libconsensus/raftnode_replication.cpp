#include "libconsensus/raftnode.h"

#include <algorithm>

namespace eelgrasslift {

using namespace raft;

void RaftNode::onEvent(const Propose &event)
{
    if (const std::optional<RequestError> error = this->refusal()) {
        this->answer(event.request, *error);
    } else if (event.command.size() > this->settings.maxCommandBytes) {
        this->refuse(event.request, RequestErrorKind::TooLarge);
    } else if (this->pending.size() >= this->settings.maxPendingRequests) {
        this->refuse(event.request, RequestErrorKind::Overloaded);
    } else {
        this->appendAsLeader(EntryKind::Command, event.command, event.request);
        this->broadcast(false);
        this->advanceCommit();
    }
}

void RaftNode::onEvent(const ConfirmLeadership &event)
{
    if (const std::optional<RequestError> error = this->refusal())
        this->answer(event.request, *error);
    else if (!this->hasCommittedInTerm())
        this->refuse(event.request, RequestErrorKind::NotReady);
    else
        this->answer(event.request, this->committed);
}

std::optional<RequestError> RaftNode::refusal() const
{
    if (this->state != RaftRole::Leader)
        return RequestError{RequestErrorKind::NotLeader, this->leaderAddress()};
    if (this->transfer)
        return RequestError{RequestErrorKind::TransferInProgress, this->addressOf(this->transfer->target)};
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
    if (this->state != RaftRole::Leader || this->isLeaseGivenUp)
        return false;
    const std::optional<TimePoint> start = this->leaseStart();
    if (!start)
        return false;
    const Duration lease = this->settings.leaseDuration * (100 - this->settings.clockDriftPercent) / 100;
    // TimePoint::max() stands for a cluster with this member as its only voter.
    return *start == TimePoint::max() || time - *start < lease;
}

bool RaftNode::hasCommittedInTerm() const
{
    return this->committed >= this->termStartIndex;
}

void RaftNode::appendAsLeader(EntryKind kind, std::string payload, RequestId request)
{
    LogEntry entry{this->raftLog.lastIndex() + 1, this->hardState.term, kind, std::move(payload)};
    this->pending[entry.index] = Pending{request, entry.term};
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
    const bool isRetransmit = this->now - progress.lastSent >= this->settings.retransmitInterval;
    const bool maySendEntries = !progress.isAwaitingReply || isRetransmit;
    if (!maySendEntries && !isHeartbeat)
        return;
    if (maySendEntries && progress.next <= this->raftLog.firstKnownIndex()) {
        this->sendChunk(peer, progress);
        return;
    }
    AppendRequest request{this->hardState.term, 0, 0, this->committed, this->now, {}};
    // A heartbeat during a transfer or an unanswered append refers only to what the peer is known to have.
    request.previousIndex = maySendEntries ? progress.next - 1 : progress.match;
    const std::optional<Term> previousTerm = this->raftLog.termAt(request.previousIndex);
    if (!previousTerm)
        request.previousIndex = 0;
    request.previousTerm = previousTerm.value_or(0);
    if (maySendEntries) {
        request.entries = this->raftLog.entriesFrom(progress.next, this->settings.maxAppendBytes);
        progress.isAwaitingReply = !request.entries.empty();
        progress.sentUpTo = request.previousIndex + request.entries.size();
        progress.lastSent = this->now;
    }
    this->send(peer, std::move(request));
}

void RaftNode::onMessage(MemberId from, const AppendRequest &request)
{
    if (this->isStale(request.term)) {
        this->send(from, AppendReply{this->hardState.term, false, 0, request.previousIndex, request.sentAt});
        return;
    }
    this->followLeader(request.term, from);
    if (!this->agreesWith(from, request))
        return;
    this->appendReceived(request);
    const LogIndex match = request.previousIndex + request.entries.size();
    this->commitTo(std::min(request.commitIndex, match));
    this->send(from, AppendReply{this->hardState.term, true, match, 0, request.sentAt});
}

bool RaftNode::agreesWith(MemberId from, const AppendRequest &request)
{
    // Entries before the first known one are committed, so they agree.
    if (request.previousIndex < this->raftLog.firstKnownIndex())
        return true;
    const std::optional<Term> term = this->raftLog.termAt(request.previousIndex);
    if (term == request.previousTerm)
        return true;
    const LogIndex next =
            term ? this->raftLog.firstIndexOfTerm(request.previousIndex) : this->raftLog.lastIndex() + 1;
    this->send(from, AppendReply{this->hardState.term, false, 0, std::max(next, this->committed + 1),
                                 request.sentAt});
    return false;
}

void RaftNode::appendReceived(const AppendRequest &request)
{
    std::vector<LogEntry> added;
    for (const LogEntry &entry : request.entries) {
        if (entry.index <= this->raftLog.firstKnownIndex())
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

void RaftNode::noteReply(Progress &progress, TimePoint sentAt) const
{
    progress.lastHeard = this->now;
    progress.ackedSentAt = std::max(progress.ackedSentAt.value_or(sentAt), sentAt);
}

void RaftNode::onMessage(MemberId from, const AppendReply &reply)
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
    if (progress.transfer && progress.match >= progress.transfer->snapshot->index)
        progress.transfer.reset();
    if (progress.match >= progress.sentUpTo)
        progress.isAwaitingReply = false;
    this->updateCatchUp(progress);
    this->advanceCommit();
    if (progress.match < this->raftLog.lastIndex())
        this->replicateTo(from, false);
    this->continueTransfer();
}

void RaftNode::advanceCommit()
{
    std::vector<LogIndex> synced;
    for (const auto &[id, member] : this->raftLog.membership()) {
        if (!member.isVoter)
            continue;
        const auto found = this->peers.find(id);
        synced.push_back(id == this->identity.memberId ? this->raftLog.lastIndex()
                         : found != this->peers.end()  ? found->second.match
                                                       : 0);
    }
    if (synced.empty())
        return;
    std::sort(synced.begin(), synced.end(), std::greater<>{});
    const LogIndex index = synced[synced.size() / 2];
    // An entry of an earlier term may still be replaced although a majority stores it; it becomes
    // committed with the first entry of the own term.
    if (index > this->committed && this->raftLog.termAt(index) == this->hardState.term)
        this->commitTo(index);
}

void RaftNode::commitTo(LogIndex index)
{
    index = std::min(index, this->raftLog.lastIndex());
    if (index <= this->committed)
        return;
    this->ensureSynced();
    while (this->committed < index) {
        ++this->committed;
        this->applyEntry(this->raftLog.at(this->committed));
    }
    this->requestSnapshotIfDue();
}

void RaftNode::applyEntry(const LogEntry &entry)
{
    if (entry.kind == EntryKind::Command)
        this->actions.emplace_back(Apply{entry.index, entry.payload});
    const auto found = this->pending.find(entry.index);
    if (found == this->pending.end())
        return;
    const Pending request = found->second;
    this->pending.erase(found);
    if (request.term == entry.term)
        this->answer(request.request, entry.index);
}

void RaftNode::failPending(RequestErrorKind kind)
{
    for (const auto &[index, request] : this->pending)
        this->refuse(request.request, kind);
    this->pending.clear();
}

} // namespace eelgrasslift
