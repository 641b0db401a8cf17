#include "libcluster/gossipnode.h"

#include <algorithm>
#include <iterator>

namespace eelgrasslift {

namespace {

template <typename Message>
void append(google::protobuf::RepeatedPtrField<Message> *field, const std::vector<Message> &values)
{
    field->Reserve(field->size() + static_cast<int>(values.size()));
    for (const Message &value : values)
        *field->Add() = value;
}

template <typename Message>
std::vector<Message> toVector(const google::protobuf::RepeatedPtrField<Message> &field)
{
    return {field.begin(), field.end()};
}

uint64_t versionOf(const std::shared_ptr<const wire::RulesDocument> &rules)
{
    return rules ? rules->header().version() : 0;
}

} // namespace

GossipNode::GossipNode(wire::PeerInfo self, GossipSettings settings, Random &random)
    : selfInfo(std::move(self))
    , settings(std::move(settings))
    , random(random)
{}

std::vector<GossipAction> GossipNode::handle(const GossipEvent &event, TimePoint now)
{
    return match(
            event, [&](const GossipTick &) { return this->tick(now); },
            [&](const DigestReceived &received) { return this->digestReceived(received.digest, now); },
            [&](const DeltaReceived &received) { return this->deltaReceived(received.delta, now); },
            [&](const RulesAccepted &accepted) { return this->rulesAccepted(accepted.rules); });
}

std::vector<GossipAction> GossipNode::tick(TimePoint now)
{
    this->selfInfo.set_heartbeat(this->selfInfo.heartbeat() + 1);
    std::erase_if(this->peers, [&](const auto &entry) {
        return now - entry.second.lastHeartbeatAt > this->settings.forgetAfter;
    });

    std::vector<GossipAction> actions;
    const bool isRemoteRound = this->round++ % this->settings.remoteRoundInterval == 0;
    if (const auto address = this->choosePeer(true, now))
        actions.emplace_back(SendDigest{*address, this->makeDigest(now)});
    if (!isRemoteRound)
        return actions;
    if (const auto address = this->choosePeer(false, now))
        actions.emplace_back(SendDigest{*address, this->makeDigest(now)});
    return actions;
}

std::optional<std::string> GossipNode::choosePeer(bool isSameDomain, TimePoint now)
{
    std::vector<std::string> candidates;
    for (const auto &[id, peer] : this->peers) {
        const bool isAlive = now - peer.lastHeartbeatAt <= this->settings.peerTimeout;
        if (isAlive && (peer.info.domain() == this->selfInfo.domain()) == isSameDomain)
            candidates.push_back(peer.info.address());
    }
    // Remote rounds also choose seeds: after a partition or a restart, no other address may be reachable.
    const bool useSeeds = !isSameDomain && (candidates.empty() || this->random.below(4) == 0);
    if (useSeeds)
        std::copy_if(this->settings.seeds.begin(), this->settings.seeds.end(), std::back_inserter(candidates),
                     [&](const std::string &seed) { return seed != this->selfInfo.address(); });
    if (candidates.empty())
        return std::nullopt;
    return candidates[this->random.below(candidates.size())];
}

wire::GossipDigest GossipNode::makeDigest(TimePoint now) const
{
    wire::GossipDigest digest;
    *digest.mutable_sender() = this->selfInfo;
    digest.mutable_rules()->set_cluster_id(this->cluster);
    digest.mutable_rules()->set_version(versionOf(this->currentRules));
    std::map<std::string, size_t> peersPerDomain;
    for (const auto &[id, peer] : this->peers) {
        if (now - peer.lastHeartbeatAt > this->settings.peerTimeout)
            continue;
        const bool isLocal = peer.info.domain() == this->selfInfo.domain();
        if (isLocal || peersPerDomain[peer.info.domain()]++ < this->settings.remotePeersPerDigest)
            *digest.add_peers() = peer.info;
    }
    append(digest.mutable_usage(), this->payload.usage);
    append(digest.mutable_quarantine(), this->payload.quarantine);
    append(digest.mutable_leaving(), this->payload.leaving);
    append(digest.mutable_loads(), this->payload.loads);
    return digest;
}

bool GossipNode::isOtherCluster(std::string_view clusterId) const
{
    return !clusterId.empty() && !this->cluster.empty() && clusterId != this->cluster;
}

void GossipNode::mergePeer(const wire::PeerInfo &info, TimePoint now)
{
    if (info.id() == this->selfInfo.id() || info.id().empty() || info.address().empty())
        return;
    const auto [entry, isNew] = this->peers.try_emplace(info.id(), PeerState{info, now});
    PeerState &known = entry->second;
    if (!isNew && info.heartbeat() <= known.info.heartbeat())
        return;
    known = PeerState{info, now};
    if (!info.is_entry())
        this->controlContact = now;
}

std::vector<GossipAction> GossipNode::mergeDigest(const wire::GossipDigest &digest, TimePoint now)
{
    this->mergePeer(digest.sender(), now);
    for (const wire::PeerInfo &peer : digest.peers())
        this->mergePeer(peer, now);
    return {PayloadReceived{digest.sender().id(),
                            GossipPayload{toVector(digest.usage()), toVector(digest.quarantine()),
                                          toVector(digest.leaving()), toVector(digest.loads())}}};
}

std::vector<GossipAction> GossipNode::digestReceived(const wire::GossipDigest &digest, TimePoint now)
{
    if (this->isOtherCluster(digest.rules().cluster_id()))
        return {ReplyDelta{}};
    std::vector<GossipAction> actions = this->mergeDigest(digest, now);
    wire::GossipDelta delta;
    *delta.mutable_digest() = this->makeDigest(now);
    const uint64_t ownVersion = versionOf(this->currentRules);
    if (ownVersion > digest.rules().version())
        *delta.mutable_rules() = *this->currentRules;
    actions.emplace_back(ReplyDelta{std::move(delta)});
    // The sender has newer rules: an exchange in the other direction fetches them immediately.
    if (ownVersion < digest.rules().version())
        actions.emplace_back(SendDigest{digest.sender().address(), this->makeDigest(now)});
    return actions;
}

std::vector<GossipAction> GossipNode::deltaReceived(const wire::GossipDelta &delta, TimePoint now)
{
    if (!delta.has_digest() || this->isOtherCluster(delta.digest().rules().cluster_id()))
        return {};
    std::vector<GossipAction> actions = this->mergeDigest(delta.digest(), now);
    if (!delta.has_rules())
        return actions;
    const auto rules = std::make_shared<const wire::RulesDocument>(delta.rules());
    if (this->adoptIfNewer(rules))
        actions.emplace_back(AdoptRules{rules});
    return actions;
}

std::vector<GossipAction> GossipNode::rulesAccepted(const std::shared_ptr<const wire::RulesDocument> &rules)
{
    if (!this->adoptIfNewer(rules))
        return {};
    return {AdoptRules{rules}};
}

bool GossipNode::adoptIfNewer(const std::shared_ptr<const wire::RulesDocument> &rules)
{
    const wire::RulesHeader &header = rules->header();
    if (header.cluster_id().empty() || this->isOtherCluster(header.cluster_id()))
        return false;
    if (header.version() <= versionOf(this->currentRules))
        return false;
    this->cluster = header.cluster_id();
    this->currentRules = rules;
    return true;
}

std::vector<wire::PeerInfo> GossipNode::livePeers(TimePoint now) const
{
    std::vector<wire::PeerInfo> live;
    for (const auto &[id, peer] : this->peers) {
        if (now - peer.lastHeartbeatAt <= this->settings.peerTimeout)
            live.push_back(peer.info);
    }
    return live;
}

std::optional<wire::PeerInfo> GossipNode::slotHolder(std::string_view domain, uint32_t slot,
                                                     TimePoint now) const
{
    std::optional<wire::PeerInfo> holder;
    const auto consider = [&](const wire::PeerInfo &info) {
        const bool matches = info.is_entry() && info.domain() == domain && info.record_slot() == slot;
        if (matches && (!holder || info.incarnation() > holder->incarnation()))
            holder = info;
    };
    consider(this->selfInfo);
    for (const wire::PeerInfo &peer : this->livePeers(now))
        consider(peer);
    return holder;
}

std::vector<wire::PeerInfo> GossipNode::slotHolders(std::string_view domain) const
{
    std::map<uint32_t, wire::PeerInfo> holders;
    const auto consider = [&](const wire::PeerInfo &info) {
        if (!info.is_entry() || info.domain() != domain || info.record_slot() == 0)
            return;
        const auto [entry, isNew] = holders.try_emplace(info.record_slot(), info);
        if (!isNew && info.incarnation() > entry->second.incarnation())
            entry->second = info;
    };
    consider(this->selfInfo);
    for (const auto &[id, peer] : this->peers)
        consider(peer.info);
    std::vector<wire::PeerInfo> result;
    result.reserve(holders.size());
    for (auto &[slot, info] : holders)
        result.push_back(std::move(info));
    return result;
}

} // namespace eelgrasslift
