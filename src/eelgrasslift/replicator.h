#pragma once

#include "libconsensus/consensus.h"

#include <boost/asio/io_context.hpp>

#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace grpc {
class ServerBuilder;
}

namespace eelgrasslift {

/// Why a request to the replicator failed.
using ProposalError = raft::RequestError;

/// Interface of the replicated state machine that a Replicator applies commands to. Called only on the thread
/// of the Replicator's io_context.
class ReplicatedState
{
public:
    virtual ~ReplicatedState() = default;

    /// Applies a committed command. Called in log order, once per entry in the life of the process. Indexes
    /// have gaps because internal entries of the protocol are not applied.
    virtual void apply(LogIndex index, std::string_view command) = 0;

    /// Serialises the whole state.
    virtual std::string takeSnapshot() = 0;

    /// Replaces the whole state by a snapshot.
    virtual void installSnapshot(std::string_view data) = 0;
};

/// Settings of a Replicator.
struct ReplicatorSettings
{
    /// Folder of the log and snapshots.
    std::filesystem::path dataFolder;
    /// gRPC address "ip:port" at which the other members reach this process.
    std::string address;
    /// Peer addresses of the cluster that a new member joins. May stay set after it has joined.
    std::vector<std::string> joinAddresses;
    uint64_t seed = systemSeed();
    RaftSettings raft;
    Duration tickInterval = std::chrono::milliseconds{50};
    /// Deadline of one Deliver call.
    Duration deliverDeadline = std::chrono::milliseconds{500};
    /// Limit of open Deliver calls per peer. Messages beyond it are dropped; the protocol resends them.
    size_t maxCallsPerPeer = 64;
};

/// Runs a RaftNode with a FileLogStorage and gRPC transport inside a process. All functions must be called on
/// the thread of the io_context, which must be the only thread that runs it; callbacks run on it too.
class Replicator
{
public:
    /// Receives the log index of the request's entry, or the reason why the request failed.
    using IndexCallback = std::function<void(Result<LogIndex, ProposalError>)>;

    /// Opens the data folder. An empty or missing folder is initialised for a joining member if joinAddresses
    /// is set; otherwise it is an error. io and state must outlive the replicator.
    static Result<std::unique_ptr<Replicator>, StorageError>
    open(boost::asio::io_context &io, ReplicatedState &state, ReplicatorSettings settings);

    /// The server with the service must have been shut down before.
    ~Replicator();

    /// Adds the service that receives messages of the other members to their server, which accepts messages
    /// with the largest command from then on.
    void addService(grpc::ServerBuilder &builder);

    /// Restores the state from the snapshot and starts the timers. Must be called once.
    void start();

    /// Stops timers and messages. Open and later requests end with the error ShutDown.
    void stop();

    /// Appends a command to the replicated log. The callback runs once, after a majority has committed the
    /// command and this member has applied it, or when that has failed.
    void propose(std::string command, IndexCallback callback);

    /// Checks that the state may be read as current: succeeds only if this member is the leader, its lease is
    /// valid, and it has applied every entry that was committed before the call.
    void confirmLeadership(IndexCallback callback);

    /// Adds a learner, a member without a vote. Members with joinAddresses add themselves.
    void addMember(MemberId id, std::string address, IndexCallback callback);

    /// Makes a learner that has caught up with the log a voter.
    void promote(MemberId id, IndexCallback callback);

    /// Removes a member from the cluster; the leader cannot remove itself.
    void removeMember(MemberId id, IndexCallback callback);

    /// Transfers leadership to the voter target; 0 chooses the live voter with the longest log.
    void transferLeadership(MemberId target, IndexCallback callback);

    /// Address "ip:port" of the leader; empty while it is not known.
    std::string leaderAddress() const;

    /// Current status of this member. Its hasLease is true only while this member is the leader with a valid
    /// lease.
    RaftStatus status() const;

    /// Sets a callback for changes of role, term, leader or membership.
    void onChange(std::function<void()> callback);

    /// Sets a callback for the case that the members at the join addresses belong to another cluster than the
    /// data folder.
    void onJoinRejected(std::function<void()> callback);

private:
    class Implementation;
    explicit Replicator(std::shared_ptr<Implementation> implementation);

    std::shared_ptr<Implementation> implementation;
};

} // namespace eelgrasslift
