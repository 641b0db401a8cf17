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

/// This entry's replica of the idempotency records and the messages to the other replicas. A slot
/// ("domain/1") identifies a replica; its holder is the entry that currently serves it. All functions must be
/// called on the control thread.
class RecordService
{
public:
    RecordService(ControlThread &control, PeerClient &peers, const GossipNode &gossip,
                  ReplicaSettings settings);

    /// The local replica.
    IdempotencyReplica &replica() { return this->records; }

    /// Returns the slots of a failure domain that have a known holder.
    std::vector<SlotId> slotsOf(std::string_view domain) const;

    using ReplyCallback = std::function<void(ReplicaReplied)>;

    // Send a message to the holder of its slot. The callback receives the reply on the control thread; it
    // does not run if there is none.
    void send(const SendClaim &message, ReplyCallback done);
    void send(const SendLookup &message, ReplyCallback done);
    void send(const SendResolve &message, ReplyCallback done);

    /// Registers with the other replicas and copies their records until the local ones are complete, and
    /// drops expired records. To be called about twice per second with the names of all failure domains.
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

/// Current time of the monotonic and the wall clock.
Instant currentInstant();

} // namespace eelgrasslift
