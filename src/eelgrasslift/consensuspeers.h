#pragma once

#include "eelgrasslift/controlgate.h"
#include "libconsensus/consensus.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace eelgrasslift {

/// Client side of the Consensus service: one channel per address, a bounded number of open calls each.
/// Sends never block; what does not fit or fails is dropped, since the protocol repeats it.
class ConsensusPeers : public std::enable_shared_from_this<ConsensusPeers>
{
public:
    ConsensusPeers(std::shared_ptr<ControlGate> gate, Duration deadline, size_t maxCallsPerPeer);
    ~ConsensusPeers();

    void send(const std::string &address, const raft::Envelope &envelope);

    /// Closes the channels to all other addresses.
    void keepOnly(const std::set<std::string> &addresses);

    uint64_t droppedCount() const { return this->dropped; }

private:
    struct Peer;
    struct Call;

    void finished(const std::string &address, const std::shared_ptr<Peer> &peer, bool isDelivered);

    std::shared_ptr<ControlGate> gate;
    Duration deadline;
    size_t maxCallsPerPeer;
    std::map<std::string, std::shared_ptr<Peer>, std::less<>> peers;
    uint64_t dropped = 0;
};

} // namespace eelgrasslift
