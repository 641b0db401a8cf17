#pragma once

#include "libconsensus/consensus.h"

#include <boost/asio/io_context.hpp>

#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace grpc {
class Service;
}

namespace eelgrasslift {

using ProposalError = raft::RequestError;

/// The replicated state machine that a Replicator feeds. Called on the control-state thread only.
class ReplicatedState
{
public:
    virtual ~ReplicatedState() = default;

    /// Entries arrive once per process, in order. Indexes have gaps: entries of the protocol are left out.
    virtual void apply(LogIndex index, std::string_view command) = 0;
    virtual std::string takeSnapshot() = 0;

    /// Replaces the whole state.
    virtual void installSnapshot(std::string_view data) = 0;
};

struct ReplicatorSettings
{
    std::filesystem::path dataFolder;
    /// gRPC address, ip:port, at which the other members reach this process.
    std::string address;
    /// Used by a member that is not part of a cluster yet; may stay set after that.
    std::vector<std::string> joinAddresses;
    uint64_t seed = systemSeed();
    RaftSettings raft;
    Duration tickInterval = std::chrono::milliseconds{50};
    /// Deadline of one Deliver call.
    Duration deliverDeadline = std::chrono::milliseconds{500};
    /// Most unanswered Deliver calls per peer. The protocol repeats what is dropped.
    size_t maxCallsPerPeer = 64;
};

/// Runs a RaftNode with a FileLogStorage inside a process. All functions, and all callbacks, run on the
/// thread of the io_context, which must be the only thread that runs it.
class Replicator
{
public:
    using IndexCallback = std::function<void(Result<LogIndex, ProposalError>)>;

    /// Opens the data folder; an empty or missing one becomes that of a joining member if joinAddresses is
    /// set. io and state must outlive the replicator.
    static Result<std::unique_ptr<Replicator>, StorageError>
    open(boost::asio::io_context &io, ReplicatedState &state, ReplicatorSettings settings);

    /// Destroy it after the server that uses service() has shut down.
    ~Replicator();

    /// Service to register on a grpc::ServerBuilder before the server starts.
    grpc::Service &service();

    /// Restores the state from the snapshot and starts the timers. Call it once.
    void start();

    /// Stops timers and messages, and answers open and later requests with ShutDown.
    void stop();

    /// The callback runs once, after the command is committed by a majority and applied here.
    void propose(std::string command, IndexCallback callback);

    /// Succeeds only under a valid lease, with a state that has every entry committed before the call.
    void confirmLeadership(IndexCallback callback);

    /// Adds a learner. Members with joinAddresses do this themselves.
    void addMember(MemberId id, std::string address, IndexCallback callback);
    void promote(MemberId id, IndexCallback callback);
    void removeMember(MemberId id, IndexCallback callback);

    /// target 0 chooses the live voter with the longest log.
    void transferLeadership(MemberId target, IndexCallback callback);

    /// Empty while no leader is known.
    std::string leaderAddress() const;

    /// For the state dump. hasLease tells whether this member leads at this moment.
    RaftStatus status() const;

    /// Runs after each change of role, term, leader or membership.
    void onChange(std::function<void()> callback);

    /// Runs when the members at the join addresses belong to another cluster than the data folder.
    void onJoinRejected(std::function<void()> callback);

private:
    class Implementation;
    explicit Replicator(std::shared_ptr<Implementation> implementation);

    std::shared_ptr<Implementation> implementation;
};

} // namespace eelgrasslift
