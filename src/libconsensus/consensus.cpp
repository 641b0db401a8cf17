#include "libconsensus/consensus.h"

namespace eelgrasslift {

std::string_view raft::toString(RequestErrorKind kind)
{
    switch (kind) {
    case RequestErrorKind::NotLeader:
        return "not-leader";
    case RequestErrorKind::NoLease:
        return "no-lease";
    case RequestErrorKind::NotReady:
        return "not-ready";
    case RequestErrorKind::TransferInProgress:
        return "transfer-in-progress";
    case RequestErrorKind::ChangeInProgress:
        return "change-in-progress";
    case RequestErrorKind::UnknownMember:
        return "unknown-member";
    case RequestErrorKind::AlreadyMember:
        return "already-member";
    case RequestErrorKind::NotCaughtUp:
        return "not-caught-up";
    case RequestErrorKind::WouldLoseMajority:
        return "would-lose-majority";
    case RequestErrorKind::TooManyVoters:
        return "too-many-voters";
    case RequestErrorKind::IsLeader:
        return "is-leader";
    case RequestErrorKind::TooLarge:
        return "too-large";
    case RequestErrorKind::Overloaded:
        return "overloaded";
    case RequestErrorKind::OutcomeUnknown:
        return "outcome-unknown";
    case RequestErrorKind::TransferFailed:
        return "transfer-failed";
    case RequestErrorKind::ShutDown:
        return "shut-down";
    }
    return "unknown";
}

std::string_view toString(RaftRole role)
{
    switch (role) {
    case RaftRole::Learner:
        return "learner";
    case RaftRole::Follower:
        return "follower";
    case RaftRole::PreCandidate:
        return "pre-candidate";
    case RaftRole::Candidate:
        return "candidate";
    case RaftRole::Leader:
        return "leader";
    }
    return "unknown";
}

bool executeStorageAction(LogStorage &storage, const raft::Action &action)
{
    if (const auto *hardState = std::get_if<raft::StoreHardState>(&action)) {
        storage.storeHardState(hardState->state);
    } else if (const auto *entries = std::get_if<raft::StoreEntries>(&action)) {
        storage.storeEntries(entries->entries);
    } else if (const auto *snapshot = std::get_if<raft::StoreSnapshot>(&action)) {
        storage.storeSnapshot(*snapshot->snapshot, snapshot->state, snapshot->following);
    } else if (const auto *cluster = std::get_if<raft::StoreClusterId>(&action)) {
        storage.storeClusterId(cluster->clusterId);
    } else if (std::holds_alternative<raft::SyncStorage>(action)) {
        storage.sync();
    } else {
        return false;
    }
    return true;
}

} // namespace eelgrasslift
