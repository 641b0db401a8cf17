#include "eelgrasslift/entrystate.h"

#include <nlohmann/json.hpp>

namespace eelgrasslift {

namespace {

std::string_view stateName(TargetAvailability state)
{
    switch (state) {
    case TargetAvailability::Live:
        return "live";
    case TargetAvailability::Leaving:
        return "leaving";
    case TargetAvailability::Unreachable:
        return "unreachable";
    }
    return "unreachable";
}

std::string_view phaseName(DrainState::Phase phase)
{
    switch (phase) {
    case DrainState::Phase::Serving:
        return "serving";
    case DrainState::Phase::Accepting:
        return "accepting";
    case DrainState::Phase::Finishing:
        return "finishing";
    case DrainState::Phase::Done:
        return "done";
    }
    return "done";
}

} // namespace

nlohmann::json EntryState::dump()
{
    const TimePoint now = monotonicNow();
    const RulesSnapshot current = this->rules();
    nlohmann::json peersJson = nlohmann::json::array();
    for (const wire::PeerInfo &peer : this->gossip.livePeers(now))
        peersJson.push_back({{"id", peer.id()},
                             {"address", peer.address()},
                             {"domain", peer.domain()},
                             {"is_entry", peer.is_entry()},
                             {"record_slot", peer.record_slot()}});
    nlohmann::json targets = nlohmann::json::array();
    for (const auto &[id, entry] : this->targetDirectory.targets())
        targets.push_back({{"id", id},
                           {"address", entry.vm.address},
                           {"domain", entry.vm.domain},
                           {"state", stateName(entry.state)}});
    for (nlohmann::json &target : targets)
        target["in_flight"] = this->placementQueue.selector().inFlight(target["id"].get<std::string>());
    const IdempotencyReplica &replica = this->recordService.replica();
    const auto contact = this->gossip.lastControlContact();
    const nlohmann::json controlContact =
            contact ? nlohmann::json(toMilliseconds(now - *contact)) : nlohmann::json(nullptr);
    return {{"process", "entry"},
            {"id", this->gossip.self().id()},
            {"domain", this->gossip.self().domain()},
            {"peer_address", this->gossip.self().address()},
            {"cluster_id", toHex({reinterpret_cast<const uint8_t *>(this->gossip.clusterId().data()),
                                  this->gossip.clusterId().size()})},
            {"rules",
             {{"version", current ? current->version : 0},
              {"author", current ? current->author : ""},
              {"accepted_unix_ms", current ? current->acceptedAt.time_since_epoch().count() : 0},
              {"control_heard_ms_ago", controlContact}}},
            {"phase", phaseName(this->drain.currentPhase())},
            {"open_requests", this->inFlight},
            {"queued_requests", this->placementQueue.queuedCount()},
            {"records",
             {{"slot", replica.identity().slot},
              {"count", replica.recordCount()},
              {"registered", replica.isRegistered(RecordScope::Domain)},
              {"full", replica.isRecovered(RecordScope::Domain)},
              {"fleet_full", replica.isRecovered(RecordScope::Fleet)}}},
            {"list_version", this->targetDirectory.listVersion()},
            {"targets", std::move(targets)},
            {"peers", std::move(peersJson)}};
}

} // namespace eelgrasslift
