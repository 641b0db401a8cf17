#pragma once

#include "eelgrasslift/controlthread.h"
#include "eelgrasslift/peerclient.h"
#include "eelgrasslift/peerservice.h"
#include "libcluster/cluster.h"
#include "libcontrol/control.h"

#include <functional>

namespace eelgrasslift {

/// Spreads the accepted rules from this control member, and collects quarantine marks and member addresses
/// for the control state. Lives on the control thread.
class ControlGossip : public PeerHandler
{
public:
    /// A mark of a peer that the control state may not have yet.
    using MarkCallback = std::function<void(const wire::QuarantineMark &)>;

    ControlGossip(ControlThread &control, wire::PeerInfo self, GossipSettings settings);

    void start();
    void onMark(MarkCallback callback) { this->markCallback = std::move(callback); }

    /// clusterId is empty while this member has not joined; nothing is spread then.
    void spread(const AcceptedRules &rules, const std::string &clusterId);
    void setMarks(const ControlTables &tables);

    /// Descriptions of this and all live control members.
    std::vector<MemberInfo> controlMembers() const;
    const GossipNode &gossipNode() const { return this->node; }

    wire::GossipDelta exchange(const wire::GossipDigest &digest) override;

private:
    wire::GossipDelta carryOut(const std::vector<GossipAction> &actions);

    ControlThread &control;
    Random random;
    PeerClient peers;
    GossipNode node;
    MarkCallback markCallback;
    TimerService::Subscription timer;
};

/// Id of a control member in gossip.
std::string gossipId(uint64_t memberId);

} // namespace eelgrasslift
