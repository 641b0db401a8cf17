#include "eelgrasslift/controlmember.h"

namespace eelgrasslift {

namespace {

std::string bytesToHex(std::string_view bytes)
{
    return toHex({reinterpret_cast<const uint8_t *>(bytes.data()), bytes.size()});
}

nlohmann::json toJson(const DesiredState &desired)
{
    return {{"model", desired.model},
            {"version", desired.version},
            {"adapter", desired.adapter},
            {"role", desired.role}};
}

nlohmann::json dumpOrders(const ControlTables &tables)
{
    nlohmann::json orders = nlohmann::json::array();
    for (const auto &[target, order] : tables.orders) {
        orders.push_back({{"target", target},
                          {"fence", order.fence},
                          {"desired", toJson(order.desired)},
                          {"confirmed", order.isConfirmed}});
    }
    return orders;
}

nlohmann::json dumpMarks(const ControlTables &tables)
{
    nlohmann::json marks = nlohmann::json::array();
    for (const auto &[fingerprint, mark] : tables.marks) {
        marks.push_back({{"fingerprint", bytesToHex(fingerprint)},
                         {"deaths", mark.deaths},
                         {"until_ms", mark.until.time_since_epoch().count()},
                         {"cleared", mark.isCleared}});
    }
    return marks;
}

nlohmann::json dumpPeers(const GossipNode &node)
{
    nlohmann::json peers = nlohmann::json::array();
    for (const wire::PeerInfo &peer : node.livePeers(monotonicNow())) {
        peers.push_back({{"id", peer.id()}, {"address", peer.address()}, {"domain", peer.domain()}});
    }
    return peers;
}

} // namespace

nlohmann::json toJson(const RuleError &error)
{
    return {{"code", codeName(error.code)}, {"file", error.file},   {"line", error.line},
            {"column", error.column},       {"cause", error.cause}, {"example", error.example}};
}

nlohmann::json ControlMember::dumpMembers() const
{
    nlohmann::json members = nlohmann::json::array();
    const RaftStatus status = this->replica->status();
    const auto &infos = this->state().tables().members;
    for (const RaftMemberStatus &member : status.members) {
        const auto info = infos.find(member.id);
        const bool isKnown = info != infos.end();
        // Ids are written as strings because JSON parsers that use doubles round 64-bit numbers.
        members.push_back({{"id", std::to_string(member.id)},
                           {"peer", member.address},
                           {"operator", isKnown ? info->second.operatorAddress : ""},
                           {"domain", isKnown ? info->second.domain : ""},
                           {"voter", member.isVoter},
                           {"live", member.isLive || member.id == status.identity.memberId},
                           {"leader", member.id == status.leader},
                           {"match_index", member.matchIndex},
                           {"caught_up", member.hasCaughtUp}});
    }
    return members;
}

nlohmann::json ControlMember::dump() const
{
    const RaftStatus status = this->replica->status();
    const ControlTables &tables = this->state().tables();
    const auto &cluster = status.identity.clusterId;
    nlohmann::json result;
    result["process"] = "control";
    result["member"] = std::to_string(status.identity.memberId);
    result["cluster"] = toHex(cluster);
    result["role"] = toString(status.role);
    result["term"] = status.term;
    result["has_lease"] = status.hasLease;
    result["leader"] = std::to_string(status.leader);
    result["leader_operator"] = this->leaderOperatorAddress();
    result["log"] = {
            {"commit", status.commitIndex}, {"last", status.lastIndex}, {"snapshot", status.snapshotIndex}};
    result["rules_version"] = this->state().currentVersion();
    result["kept_versions"] = tables.versions.size();
    result["answered_changes"] = tables.answers.size();
    result["last_fence"] = tables.lastFence;
    result["orders"] = dumpOrders(tables);
    result["quarantine"] = {{"version", tables.quarantineVersion}, {"marks", dumpMarks(tables)}};
    result["members"] = this->dumpMembers();
    result["peers"] = dumpPeers(this->controlGossip->gossipNode());
    return result;
}

} // namespace eelgrasslift
