#pragma once

#include "libcore/core.h"
#include "libwire/wire.h"

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace eelgrasslift {

struct GossipSettings
{
    /// Addresses of peers that are asked while no other peer is known.
    std::vector<std::string> seeds;
    Duration interval = std::chrono::milliseconds{500};
    /// Every n-th round also goes to a peer of another failure domain.
    uint32_t remoteRoundInterval = 2;
    /// A peer whose heartbeat count has not risen for this long counts as dead.
    Duration peerTimeout = std::chrono::seconds{8};
    /// A dead peer is forgotten after this time.
    Duration forgetAfter = std::chrono::minutes{5};
    /// Most peers of each other failure domain in one digest; bounds the bytes of a message in a large fleet.
    size_t remotePeersPerDigest = 3;
};

/// The parts of a digest that the owner of the node fills in.
struct GossipPayload
{
    std::vector<wire::Usage> usage;
    std::vector<wire::QuarantineMark> quarantine;
    std::vector<wire::LeavingMark> leaving;
    std::vector<wire::TargetLoad> loads;
};

struct GossipTick
{};

struct DigestReceived
{
    wire::GossipDigest digest;
};

struct DeltaReceived
{
    wire::GossipDelta delta;
};

/// Newly accepted rules from the replicated log (control processes) or from disk (entries).
struct RulesAccepted
{
    std::shared_ptr<const wire::RulesDocument> rules;
};

using GossipEvent = std::variant<GossipTick, DigestReceived, DeltaReceived, RulesAccepted>;

/// Start an Exchange with the peer at this address.
struct SendDigest
{
    std::string address;
    wire::GossipDigest digest;
};

/// Answer the DigestReceived event with this delta.
struct ReplyDelta
{
    wire::GossipDelta delta;
};

/// A newer accepted rule file is known; put it in force.
struct AdoptRules
{
    std::shared_ptr<const wire::RulesDocument> rules;
};

/// Payload of a peer, for the owner's aggregates.
struct PayloadReceived
{
    std::string peer;
    GossipPayload payload;
};

using GossipAction = std::variant<SendDigest, ReplyDelta, AdoptRules, PayloadReceived>;

struct PeerState
{
    wire::PeerInfo info;
    TimePoint lastAdvance;
};

/// Spreads accepted rules and small marks between all processes, and knows which processes are alive.
///
/// Only committed rules enter the node, and it adopts only a greater version of its own cluster, so a rule
/// version never goes back. Messages of another cluster are ignored.
class GossipNode
{
public:
    GossipNode(wire::PeerInfo self, GossipSettings settings, Random &random);

    std::vector<GossipAction> handle(const GossipEvent &event, TimePoint now);

    /// Replaces the owner's part of future digests.
    void setPayload(GossipPayload payload) { this->payload = std::move(payload); }

    /// Peers whose heartbeat rose within the peer timeout.
    std::vector<wire::PeerInfo> livePeers(TimePoint now) const;

    /// The live entry that holds a record slot of a failure domain; the latest start wins. Includes this
    /// process.
    std::optional<wire::PeerInfo> slotHolder(std::string_view domain, uint32_t slot, TimePoint now) const;

    /// All record slots of a failure domain that have a known holder, dead or alive, in slot order.
    std::vector<wire::PeerInfo> slotHolders(std::string_view domain) const;

    /// When the heartbeat of any control process last rose; nothing if none was ever heard of. Shows how long this
    /// process may have missed newer rules.
    std::optional<TimePoint> lastControlContact() const { return this->controlContact; }

    const wire::PeerInfo &self() const { return this->selfInfo; }
    const std::shared_ptr<const wire::RulesDocument> &rules() const { return this->currentRules; }
    const std::string &clusterId() const { return this->cluster; }

private:
    std::vector<GossipAction> tick(TimePoint now);
    std::vector<GossipAction> digestReceived(const wire::GossipDigest &digest, TimePoint now);
    std::vector<GossipAction> deltaReceived(const wire::GossipDelta &delta, TimePoint now);
    std::vector<GossipAction> rulesAccepted(const std::shared_ptr<const wire::RulesDocument> &rules);

    wire::GossipDigest makeDigest(TimePoint now) const;
    void mergePeer(const wire::PeerInfo &info, TimePoint now);
    bool isOtherCluster(std::string_view clusterId) const;
    bool adopt(const std::shared_ptr<const wire::RulesDocument> &rules);
    std::optional<std::string> choosePeer(bool isSameDomain, TimePoint now);
    std::vector<GossipAction> absorb(const wire::GossipDigest &digest, TimePoint now);

    wire::PeerInfo selfInfo;
    GossipSettings settings;
    Random &random;
    std::string cluster;
    std::shared_ptr<const wire::RulesDocument> currentRules;
    std::map<std::string, PeerState, std::less<>> peers;
    GossipPayload payload;
    std::optional<TimePoint> controlContact;
    uint64_t round = 0;
};

} // namespace eelgrasslift
