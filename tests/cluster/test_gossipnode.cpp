#include "libcluster/cluster.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

constexpr uint32_t DomainCount = 4;
constexpr uint32_t LargeFleetDomainCount = 16;

std::shared_ptr<const wire::RulesDocument> rulesOf(const std::string &cluster, uint64_t version)
{
    wire::RulesDocument document;
    document.mutable_header()->set_cluster_id(cluster);
    document.mutable_header()->set_version(version);
    document.set_text("fleet test # a: b\n");
    return std::make_shared<const wire::RulesDocument>(document);
}

uint64_t versionOf(const GossipNode &node)
{
    return node.rules() ? node.rules()->header().version() : 0;
}

/// Nodes that exchange digests in memory. isLinkDown can block messages between two nodes.
class Fleet
{
public:
    explicit Fleet(uint32_t size, uint32_t domains = DomainCount, uint64_t seed = 1)
        : random(seed)
    {
        for (uint32_t i = 0; i < size; ++i) {
            wire::PeerInfo info;
            info.set_id(std::to_string(i));
            info.set_address(std::to_string(i));
            info.set_domain("domain-" + std::to_string(i % domains));
            info.set_is_entry(true);
            info.set_record_slot(i / domains + 1);
            info.set_incarnation(1);
            GossipSettings settings;
            settings.seeds = {"0", "1", "2"};
            this->nodes.push_back(std::make_unique<GossipNode>(info, settings, this->random));
        }
    }

    void run(uint32_t rounds)
    {
        for (uint32_t round = 0; round < rounds; ++round) {
            this->now += 500ms;
            for (auto &node : this->nodes)
                this->execute(*node, node->handle(GossipTick{}, this->now));
        }
    }

    size_t countAtVersion(uint64_t version) const
    {
        return static_cast<size_t>(
                std::count_if(this->nodes.begin(), this->nodes.end(),
                              [&](const auto &node) { return versionOf(*node) == version; }));
    }

    void execute(GossipNode &sender, const std::vector<GossipAction> &actions)
    {
        for (const GossipAction &action : actions) {
            const auto *send = std::get_if<SendDigest>(&action);
            if (send == nullptr)
                continue;
            GossipNode &receiver = *this->nodes.at(std::stoul(send->address));
            if (this->isLinkDown && this->isLinkDown(sender, receiver))
                continue;
            this->bytes += send->digest.ByteSizeLong();
            const auto replies = receiver.handle(DigestReceived{send->digest}, this->now);
            for (const GossipAction &reply : replies) {
                if (const auto *delta = std::get_if<ReplyDelta>(&reply)) {
                    this->bytes += delta->delta.ByteSizeLong();
                    this->execute(sender, sender.handle(DeltaReceived{delta->delta}, this->now));
                }
            }
            this->execute(receiver, replies);
        }
    }

    TimePoint now{};
    Random random;
    std::vector<std::unique_ptr<GossipNode>> nodes;
    std::function<bool(const GossipNode &, const GossipNode &)> isLinkDown;
    size_t bytes = 0;
};

} // namespace

// Guards against slow distribution of rules in a large fleet: 15 s are 30 rounds of 500 ms.
TEST_CASE("Accepted rules reach every node within 15 seconds")
{
    const auto size = GENERATE(3U, 9U, 30U, 100U, 400U);
    Fleet fleet(size);
    fleet.run(30);
    fleet.nodes[0]->handle(RulesAccepted{rulesOf("cluster", 1)}, fleet.now);
    fleet.run(30);
    CHECK(fleet.countAtVersion(1) == size);
}

// Guards against live processes that are considered dead because digests contain too few heartbeats.
TEST_CASE("Every node knows all live peers of its own failure domain")
{
    const auto size = GENERATE(9U, 100U, 400U);
    Fleet fleet(size, LargeFleetDomainCount);
    fleet.run(60);
    INFO("nodes: " << size);
    size_t missing = 0;
    for (int round = 0; round < 20; ++round) {
        fleet.run(1);
        for (const auto &node : fleet.nodes) {
            size_t known = 1;
            for (const wire::PeerInfo &peer : node->livePeers(fleet.now))
                known += peer.domain() == node->self().domain() ? 1 : 0;
            size_t expected = 0;
            for (const auto &other : fleet.nodes)
                expected += other->self().domain() == node->self().domain() ? 1 : 0;
            missing += expected - known;
        }
    }
    CHECK(missing == 0);
}

// Guards against a node that replaces its rules by an older version or by those of another cluster.
TEST_CASE("A node adopts only newer rules of its own cluster")
{
    struct Case
    {
        std::string cluster;
        uint64_t version;
        uint64_t expected;
    };
    const auto testCase = GENERATE(
            values<Case>({{"cluster", 6, 6}, {"cluster", 5, 5}, {"cluster", 4, 5}, {"other", 9, 5}}));
    Fleet fleet(1);
    fleet.nodes[0]->handle(RulesAccepted{rulesOf("cluster", 5)}, fleet.now);
    wire::GossipDelta delta;
    *delta.mutable_rules() = *rulesOf(testCase.cluster, testCase.version);
    delta.mutable_digest()->mutable_rules()->CopyFrom(delta.rules().header());
    fleet.nodes[0]->handle(DeltaReceived{delta}, fleet.now);
    CHECK(versionOf(*fleet.nodes[0]) == testCase.expected);
}

// Guards against a failure domain that keeps outdated rules after a partition longer than the peer timeout.
TEST_CASE("A partitioned failure domain catches up after the partition")
{
    Fleet fleet(12);
    fleet.run(20);
    const auto isIsolated = [](const GossipNode &node) { return node.self().domain() == "domain-3"; };
    fleet.isLinkDown = [&](const GossipNode &a, const GossipNode &b) {
        return isIsolated(a) != isIsolated(b);
    };
    fleet.nodes[0]->handle(RulesAccepted{rulesOf("cluster", 7)}, fleet.now);
    fleet.run(100);
    CHECK(fleet.countAtVersion(7) == 9);
    fleet.isLinkDown = nullptr;
    fleet.run(30);
    CHECK(fleet.countAtVersion(7) == 12);
}

// Guards against two holders of one record slot after a VM was replaced.
TEST_CASE("The holder of a record slot is the entry that started last")
{
    Fleet fleet(4);
    wire::GossipDigest digest;
    wire::PeerInfo replacement = fleet.nodes[0]->self();
    replacement.set_id("replacement");
    replacement.set_address("replacement");
    replacement.set_incarnation(2);
    *digest.mutable_sender() = replacement;
    fleet.nodes[0]->handle(DigestReceived{digest}, fleet.now);
    REQUIRE(fleet.nodes[0]->slotHolders("domain-0").size() == 1);
    CHECK(fleet.nodes[0]->slotHolders("domain-0").front().id() == "replacement");
}
