#include "eelgrasslift/recordservice.h"

#include "eelgrasslift/peercodec.h"

#include <charconv>

namespace eelgrasslift {

namespace {

struct SlotParts
{
    std::string domain;
    uint32_t number = 0;
};

/// Splits a slot such as "trakiya/1" into failure domain and number. Returns nothing if it is malformed.
std::optional<SlotParts> parseSlot(const SlotId &slot)
{
    const size_t slash = slot.rfind('/');
    if (slash == std::string::npos)
        return std::nullopt;
    SlotParts parts{slot.substr(0, slash), 0};
    const auto [end, status] =
            std::from_chars(slot.data() + slash + 1, slot.data() + slot.size(), parts.number);
    if (status != std::errc{} || end != slot.data() + slot.size())
        return std::nullopt;
    return parts;
}

PeerClient::Callback<wire::RecordReply> forwardReply(const SlotId &slot, RecordCall call,
                                                     RecordService::ReplyCallback done)
{
    return [slot, call, done = std::move(done)](const std::optional<wire::RecordReply> &wireReply) {
        if (!wireReply)
            return;
        auto reply = fromWire(*wireReply);
        if (reply)
            done(ReplicaReplied{slot, call, std::move(*reply)});
    };
}

} // namespace

Instant currentInstant()
{
    return {monotonicNow(), wallNow()};
}

RecordService::RecordService(ControlThread &controlThread, PeerClient &peerClient,
                             const GossipNode &gossipNode, ReplicaSettings settings)
    : control(controlThread)
    , peers(peerClient)
    , gossip(gossipNode)
    , records(std::move(settings))
{}

std::vector<SlotId> RecordService::slotsOf(std::string_view domain) const
{
    std::vector<SlotId> slots;
    for (const wire::PeerInfo &holder : this->gossip.slotHolders(domain))
        slots.push_back(holder.domain() + "/" + std::to_string(holder.record_slot()));
    return slots;
}

std::optional<wire::PeerInfo> RecordService::holderOf(const SlotId &slot) const
{
    const auto parts = parseSlot(slot);
    if (!parts)
        return std::nullopt;
    for (wire::PeerInfo &holder : this->gossip.slotHolders(parts->domain)) {
        if (holder.record_slot() == parts->number)
            return std::move(holder);
    }
    return std::nullopt;
}

bool RecordService::isOwnSlot(const SlotId &slot) const
{
    // True even if a successor holds the slot: the local replica itself detects that it was replaced.
    return slot == this->records.identity().slot;
}

void RecordService::send(const SendClaim &message, ReplyCallback done)
{
    if (this->isOwnSlot(message.slot)) {
        this->control.post([this, message, done = std::move(done)] {
            done({message.slot, RecordCall::Claim, this->records.claim(message.request, currentInstant())});
        });
        return;
    }
    if (const auto holder = this->holderOf(message.slot))
        this->peers.claim(holder->address(), toWire(message.request),
                          forwardReply(message.slot, RecordCall::Claim, std::move(done)));
}

void RecordService::send(const SendLookup &message, ReplyCallback done)
{
    if (this->isOwnSlot(message.slot)) {
        this->control.post([this, message, done = std::move(done)] {
            done({message.slot, RecordCall::Lookup, this->records.lookup(message.request, currentInstant())});
        });
        return;
    }
    if (const auto holder = this->holderOf(message.slot))
        this->peers.lookup(holder->address(), toWire(message.request),
                           forwardReply(message.slot, RecordCall::Lookup, std::move(done)));
}

void RecordService::send(const SendResolve &message, ReplyCallback done)
{
    if (this->isOwnSlot(message.slot)) {
        this->control.post([this, message, done = std::move(done)] {
            done({message.slot, RecordCall::Resolve,
                  this->records.resolve(message.request, currentInstant())});
        });
        return;
    }
    if (const auto holder = this->holderOf(message.slot))
        this->peers.resolve(holder->address(), toWire(message.request),
                            forwardReply(message.slot, RecordCall::Resolve, std::move(done)));
}

void RecordService::recover(const std::vector<std::string> &allDomains)
{
    this->recoverScope(RecordScope::Domain, {this->gossip.self().domain()});
    this->recoverScope(RecordScope::Fleet, allDomains);
    this->records.expire(currentInstant());
}

void RecordService::recoverScope(RecordScope scope, const std::vector<std::string> &domains)
{
    const auto request = this->records.recoveryRequest(scope, currentInstant());
    if (!request)
        return;
    for (const std::string &domain : domains) {
        for (const wire::PeerInfo &holder : this->gossip.slotHolders(domain)) {
            if (holder.id() == this->gossip.self().id())
                continue;
            this->peers.readRecords(holder.address(), toWire(*request),
                                    [this](const std::optional<wire::ReadRecordsReply> &wireReply) {
                                        const auto reply = wireReply ? fromWire(*wireReply) : std::nullopt;
                                        if (reply)
                                            this->records.handleReadReply(*reply, currentInstant());
                                    });
        }
    }
}

} // namespace eelgrasslift
