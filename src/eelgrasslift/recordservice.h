#pragma once

#include "eelgrasslift/controlthread.h"
#include "eelgrasslift/peerclient.h"
#include "libcluster/cluster.h"
#include "libserving/serving.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace eelgrasslift {

/// The idempotency records of this entry and its messages to the other holders. Owned by the control thread.
class RecordService
{
public:
    RecordService(ControlThread &control, PeerClient &peers, const GossipNode &gossip, ReplicaSettings settings);

    IdempotencyReplica &replica() { return this->records; }

    /// Slots of a failure domain that have a known holder.
    std::vector<SlotId> slotsOf(std::string_view domain) const;

    using ReplyCallback = std::function<void(ReplicaReplied)>;

    // Send a message to the holder of the slot. The callback runs on the control thread, or never.
    void send(const SendClaim &message, ReplyCallback done);
    void send(const SendLookup &message, ReplyCallback done);
    void send(const SendResolve &message, ReplyCallback done);

    /// Registers with the other holders until the records are complete; to be called about twice a second.
    void recover(const std::vector<std::string> &allDomains);

private:
    std::optional<wire::PeerInfo> holderOf(const SlotId &slot) const;
    bool isOwnSlot(const SlotId &slot) const;
    void recoverScope(RecordScope scope, const std::vector<std::string> &domains);

    ControlThread &control;
    PeerClient &peers;
    const GossipNode &gossip;
    IdempotencyReplica records;
};

/// Both clocks now.
Instant currentInstant();

} // namespace eelgrasslift
