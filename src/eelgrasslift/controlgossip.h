#pragma once

#include "eelgrasslift/controlthread.h"
#include "eelgrasslift/peerclient.h"
#include "eelgrasslift/peerservice.h"
#include "libcluster/cluster.h"
#include "libcontrol/control.h"

#include <functional>

namespace eelgrasslift {

/// Gossip of a control member: distributes the accepted rules and the quarantine marks to other processes,
/// and collects quarantine marks and addresses of control members. All functions run on the control thread.
class ControlGossip : public PeerHandler
{
public:
    /// Receives a quarantine mark of a peer; the control state may already contain it.
    using MarkCallback = std::function<void(const wire::QuarantineMark &)>;

    ControlGossip(ControlThread &control, wire::PeerInfo self, GossipSettings settings);

    /// Starts the periodic gossip exchange.
    void start();

    /// Sets the callback for marks received from peers. Must be called before start().
    void onMark(MarkCallback callback) { this->markCallback = std::move(callback); }

    /// Distributes rules to other processes from now on. clusterId is empty while this member has not joined
    /// a cluster; the call has no effect then.
    void publishRules(const AcceptedRules &rules, const std::string &clusterId);

    /// Sets the quarantine marks that the next exchanges send, without the cleared ones.
    void setQuarantineMarks(const ControlTables &tables);

    /// Id, addresses and failure domain of this member and of all live control members known from gossip.
    std::vector<MemberInfo> controlMembers() const;

    const GossipNode &gossipNode() const { return this->node; }

    /// Answers the digest of a peer with the rules and payloads that it lacks.
    wire::GossipDelta exchange(const wire::GossipDigest &digest) override;

private:
    wire::GossipDelta execute(const std::vector<GossipAction> &actions);

    ControlThread &control;
    Random random;
    PeerClient peers;
    GossipNode node;
    MarkCallback markCallback;
    TimerService::Subscription timer;
};

/// Gossip id of a control member, "control-<member id>".
std::string gossipId(uint64_t memberId);

} // namespace eelgrasslift
