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

/// Timing and message size limits of the gossip protocol.
struct GossipSettings
{
    /// Peer addresses for remote rounds: candidates while no peer of another failure domain is live, and in a
    /// quarter of the other remote rounds.
    std::vector<std::string> seeds;
    /// Time between two GossipTick events.
    Duration interval = std::chrono::milliseconds{500};
    /// Every n-th round is remote: it also contacts a peer of another failure domain.
    uint32_t remoteRoundInterval = 2;
    /// A peer whose heartbeat counter has not increased for this long is considered dead.
    Duration peerTimeout = std::chrono::seconds{8};
    /// A peer whose heartbeat counter has not increased for this long is removed.
    Duration forgetAfter = std::chrono::minutes{5};
    /// Maximum number of peers of each other failure domain in one digest; limits the message size in a large
    /// fleet.
    size_t remotePeersPerDigest = 3;
};

/// Application data in a digest, set by the node's owner: account usage, quarantine marks, leaving targets
/// and target loads.
struct GossipPayload
{
    std::vector<wire::Usage> usage;
    std::vector<wire::QuarantineMark> quarantine;
    std::vector<wire::LeavingMark> leaving;
    std::vector<wire::TargetLoad> loads;
};

/// Starts a gossip round; sent once per GossipSettings::interval.
struct GossipTick
{};

/// A peer called Exchange with this digest. The actions contain one ReplyDelta.
struct DigestReceived
{
    wire::GossipDigest digest;
};

/// A peer's response to an Exchange call of this node.
struct DeltaReceived
{
    wire::GossipDelta delta;
};

/// Accepted rules were read from the replicated log (control processes) or from disk (entries).
struct RulesAccepted
{
    std::shared_ptr<const wire::RulesDocument> rules;
};

using GossipEvent = std::variant<GossipTick, DigestReceived, DeltaReceived, RulesAccepted>;

/// Call Exchange at the peer with this address; its response is the event DeltaReceived.
struct SendDigest
{
    std::string address;
    wire::GossipDigest digest;
};

/// Response to the Exchange call of a DigestReceived event; empty if the sender belongs to another cluster.
struct ReplyDelta
{
    wire::GossipDelta delta;
};

/// A peer sent newer accepted rules; activate them.
struct AdoptRules
{
    std::shared_ptr<const wire::RulesDocument> rules;
};

/// Application data from the peer with this id.
struct PayloadReceived
{
    std::string peer;
    GossipPayload payload;
};

using GossipAction = std::variant<SendDigest, ReplyDelta, AdoptRules, PayloadReceived>;

/// Latest information about a peer.
struct PeerState
{
    wire::PeerInfo info;
    /// When a higher heartbeat counter of the peer was last received.
    TimePoint lastHeartbeatAt;
};

/// Gossip protocol that distributes accepted rules and application data between all processes and detects
/// which processes are alive.
///
/// Only committed rules are passed in, and the node adopts only a higher version of its own cluster, so its
/// rules version never decreases. Messages of another cluster are ignored.
class GossipNode
{
public:
    GossipNode(wire::PeerInfo self, GossipSettings settings, Random &random);

    /// Processes an event and returns the actions that the owner has to execute.
    std::vector<GossipAction> handle(const GossipEvent &event, TimePoint now);

    /// Replaces the application data of future digests.
    void setPayload(GossipPayload payload) { this->payload = std::move(payload); }

    /// Peers, without this process, whose heartbeat counter increased within the peer timeout.
    std::vector<wire::PeerInfo> livePeers(TimePoint now) const;

    /// The live entry, possibly this process, that holds the record slot of a failure domain; the one that
    /// started last if there are several. std::nullopt if there is none.
    std::optional<wire::PeerInfo> slotHolder(std::string_view domain, uint32_t slot, TimePoint now) const;

    /// The known holder of each record slot of a failure domain, dead or alive, in slot order. Of several
    /// holders of a slot, the one that started last.
    std::vector<wire::PeerInfo> slotHolders(std::string_view domain) const;

    /// When the heartbeat counter of any control process last increased; std::nullopt before the first
    /// contact. Newer rules may have been missed since then.
    std::optional<TimePoint> lastControlContact() const { return this->controlContact; }

    const wire::PeerInfo &self() const { return this->selfInfo; }
    /// The adopted rules; nullptr before the first.
    const std::shared_ptr<const wire::RulesDocument> &rules() const { return this->currentRules; }
    /// Cluster of the adopted rules; empty before the first.
    const std::string &clusterId() const { return this->cluster; }

private:
    std::vector<GossipAction> tick(TimePoint now);
    std::vector<GossipAction> digestReceived(const wire::GossipDigest &digest, TimePoint now);
    std::vector<GossipAction> deltaReceived(const wire::GossipDelta &delta, TimePoint now);
    std::vector<GossipAction> rulesAccepted(const std::shared_ptr<const wire::RulesDocument> &rules);

    wire::GossipDigest makeDigest(TimePoint now) const;
    void mergePeer(const wire::PeerInfo &info, TimePoint now);
    bool isOtherCluster(std::string_view clusterId) const;
    bool adoptIfNewer(const std::shared_ptr<const wire::RulesDocument> &rules);
    std::optional<std::string> choosePeer(bool isSameDomain, TimePoint now);
    std::vector<GossipAction> mergeDigest(const wire::GossipDigest &digest, TimePoint now);

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
