#pragma once

#include "eelgrasslift/closableexecutor.h"
#include "libconsensus/consensus.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace eelgrasslift {

/// Client of the Consensus service with one gRPC channel per address. Sending never blocks: messages beyond
/// the limit of open calls and messages that fail are dropped, because the protocol resends them. All
/// functions must be called on the thread of the executor.
class ConsensusPeers : public std::enable_shared_from_this<ConsensusPeers>
{
public:
    /// deadline limits one call, maxCallsPerPeer the open calls per address.
    ConsensusPeers(std::shared_ptr<ClosableExecutor> executor, Duration deadline, size_t maxCallsPerPeer);
    /// Cancels the open calls and waits until they have ended.
    ~ConsensusPeers();

    /// Sends envelope to address, "ip:port", or drops it.
    void send(const std::string &address, const raft::Envelope &envelope);

    /// Closes the channels to all addresses but these.
    void keepOnly(const std::set<std::string> &addresses);

    /// Number of messages dropped because of the limit of open calls.
    uint64_t droppedCount() const { return this->droppedEnvelopes; }

private:
    struct Peer;
    struct Call;
    class CallCounter;

    void handleCallFinished(const Call *call, bool isDelivered);

    std::shared_ptr<ClosableExecutor> executor;
    Duration deadline;
    size_t maxCallsPerPeer;
    std::map<std::string, std::shared_ptr<Peer>, std::less<>> peers;
    /// Calls whose end has not been handled yet. A call keeps its channel open. gRPC joins its threads when
    /// the last channel is closed, so that none of them may close it: calls are destroyed here only.
    std::map<const Call *, std::unique_ptr<Call>> calls;
    std::shared_ptr<CallCounter> openCalls;
    uint64_t droppedEnvelopes = 0;
};

} // namespace eelgrasslift
