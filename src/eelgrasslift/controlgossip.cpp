#include "eelgrasslift/controlgossip.h"

#include <charconv>

namespace eelgrasslift {

namespace {

constexpr std::string_view IdPrefix = "control-";

std::optional<uint64_t> memberIdOf(std::string_view id)
{
    if (!id.starts_with(IdPrefix))
        return std::nullopt;
    id.remove_prefix(IdPrefix.size());
    uint64_t value = 0;
    const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), value);
    if (error != std::errc{} || end != id.data() + id.size())
        return std::nullopt;
    return value;
}

} // namespace

std::string gossipId(uint64_t memberId)
{
    return std::string(IdPrefix) + std::to_string(memberId);
}

ControlGossip::ControlGossip(ControlThread &controlThread, wire::PeerInfo self, GossipSettings settings)
    : control(controlThread)
    , random(systemSeed())
    , peers(controlThread)
    , node(std::move(self), std::move(settings), this->random)
{}

void ControlGossip::start()
{
    this->timer = this->control.timers().subscribeEvery(
            monotonicNow(), GossipSettings{}.interval,
            [this](TimePoint now) { this->execute(this->node.handle(GossipTick{}, now)); });
}

void ControlGossip::publishRules(const AcceptedRules &rules, const std::string &clusterId)
{
    if (clusterId.empty())
        return;
    auto document = std::make_shared<wire::RulesDocument>();
    document->mutable_header()->set_cluster_id(clusterId);
    document->mutable_header()->set_version(rules.version);
    document->set_author(rules.author);
    document->set_accepted_unix_ms(rules.acceptedAt.time_since_epoch().count());
    document->set_text(rules.text);
    this->execute(this->node.handle(RulesAccepted{std::move(document)}, monotonicNow()));
}

void ControlGossip::setQuarantineMarks(const ControlTables &tables)
{
    GossipPayload payload;
    for (const auto &[fingerprint, entry] : tables.marks) {
        if (entry.isCleared)
            continue;
        wire::QuarantineMark &mark = payload.quarantine.emplace_back();
        mark.set_fingerprint(fingerprint);
        mark.set_deaths(entry.deaths);
        mark.set_until_unix_ms(entry.until.time_since_epoch().count());
    }
    this->node.setPayload(std::move(payload));
}

std::vector<MemberInfo> ControlGossip::controlMembers() const
{
    std::vector<MemberInfo> members;
    std::vector<wire::PeerInfo> infos = this->node.livePeers(monotonicNow());
    infos.push_back(this->node.self());
    for (const wire::PeerInfo &info : infos) {
        const auto id = memberIdOf(info.id());
        if (id && !info.is_entry())
            members.push_back({*id, info.address(), info.operator_address(), info.domain()});
    }
    return members;
}

wire::GossipDelta ControlGossip::exchange(const wire::GossipDigest &digest)
{
    return this->execute(this->node.handle(DigestReceived{digest}, monotonicNow()));
}

wire::GossipDelta ControlGossip::execute(const std::vector<GossipAction> &actions)
{
    wire::GossipDelta reply;
    for (const GossipAction &action : actions) {
        match(
                action,
                [&](const SendDigest &send) {
                    this->peers.exchange(send.address, send.digest, [this](const auto &delta) {
                        if (delta)
                            this->execute(this->node.handle(DeltaReceived{*delta}, monotonicNow()));
                    });
                },
                [&](const ReplyDelta &delta) { reply = delta.delta; },
                // A control member takes its rules only from the replicated log.
                [](const AdoptRules & /*adopt*/) {},
                [&](const PayloadReceived &received) {
                    for (const wire::QuarantineMark &mark : received.payload.quarantine) {
                        if (this->markCallback)
                            this->markCallback(mark);
                    }
                });
    }
    return reply;
}

} // namespace eelgrasslift
