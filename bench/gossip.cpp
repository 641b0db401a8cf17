#include "commands.h"

#include "libcluster/cluster.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>

namespace eelgrasslift::bench {

namespace {

constexpr uint32_t MaxDomains = 16;
constexpr uint32_t AccountsPerEntry = 20;
constexpr Duration RoundInterval = std::chrono::milliseconds{500};
constexpr int WarmUpRounds = 40;
constexpr int MeasuredRounds = 60;

/// Cost per node and propagation time of one fleet size.
struct GossipCost
{
    uint32_t nodes = 0;
    /// Sent and received by one node.
    double bytesPerSecond = 0;
    /// Processor time of one node.
    double microsecondsPerSecond = 0;
    /// Time until a new rules version reaches half of the nodes, and all of them.
    double medianPropagationSeconds = 0;
    double worstPropagationSeconds = 0;
};

/// Gossip nodes in one process that exchange serialised messages in memory.
class GossipFleet
{
public:
    GossipFleet(uint32_t nodeCount, uint64_t seed)
        : random(seed)
    {
        const uint32_t domains = std::min(MaxDomains, std::max(3U, nodeCount / 3));
        for (uint32_t i = 0; i < nodeCount; ++i) {
            wire::PeerInfo info;
            info.set_id("entry-" + std::to_string(1'000'000 + i));
            info.set_address("10.0.0.1:" + std::to_string(10'000 + i));
            info.set_domain("domain-" + std::to_string(i % domains));
            info.set_is_entry(true);
            info.set_incarnation(1'800'000'000'000 + i);
            GossipSettings settings;
            settings.seeds = {addressOf(0), addressOf(1)};
            this->nodes.push_back(std::make_unique<GossipNode>(info, settings, this->random));
            this->nodes.back()->setPayload(makePayload());
            this->byAddress[info.address()] = this->nodes.back().get();
        }
    }

    /// Advances the time by `rounds` intervals, with one gossip round of each node per interval.
    void run(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            this->now += RoundInterval;
            for (auto &node : this->nodes)
                this->execute(*node, node->handle(GossipTick{}, this->now));
        }
    }

    /// Lets the first node accept new rules, and returns the time in seconds until each node has them; -1 for
    /// a node without them after 1,000 rounds.
    std::vector<double> measurePropagation()
    {
        auto rules = std::make_shared<wire::RulesDocument>();
        rules->mutable_header()->set_cluster_id("cluster");
        rules->mutable_header()->set_version(1);
        rules->set_text("fleet test # a: b\n");
        this->nodes.front()->handle(RulesAccepted{rules}, this->now);
        const TimePoint start = this->now;
        std::vector<double> seconds(this->nodes.size(), -1);
        const auto isMissing = [](double value) { return value < 0; };
        for (int round = 0; std::any_of(seconds.begin(), seconds.end(), isMissing) && round < 1000; ++round) {
            for (size_t i = 0; i < this->nodes.size(); ++i) {
                if (seconds[i] < 0 && this->nodes[i]->rules())
                    seconds[i] = toSeconds(this->now - start);
            }
            this->run(1);
        }
        return seconds;
    }

    /// Size of the messages that were sent.
    size_t bytes = 0;

private:
    static std::string addressOf(uint32_t node) { return "10.0.0.1:" + std::to_string(10'000 + node); }

    static GossipPayload makePayload()
    {
        GossipPayload payload;
        for (uint32_t i = 0; i < AccountsPerEntry; ++i) {
            wire::Usage usage;
            usage.set_account("account-number-" + std::to_string(i));
            usage.set_requests_per_second(i + 0.5);
            usage.set_in_flight(i);
            payload.usage.push_back(usage);
        }
        return payload;
    }

    /// Serialises and parses the message, as sending it would, and adds its size to `bytes`.
    template <typename Message>
    Message transmit(const Message &message)
    {
        const std::string data = message.SerializeAsString();
        this->bytes += data.size();
        Message copy;
        copy.ParseFromString(data);
        return copy;
    }

    /// Sends the digests among the actions of a node, and the replies to them.
    void execute(GossipNode &sender, const std::vector<GossipAction> &actions)
    {
        for (const GossipAction &action : actions) {
            const auto *send = std::get_if<SendDigest>(&action);
            if (send == nullptr)
                continue;
            GossipNode &receiver = *this->byAddress.at(send->address);
            const auto replies = receiver.handle(DigestReceived{this->transmit(send->digest)}, this->now);
            for (const GossipAction &reply : replies) {
                if (const auto *delta = std::get_if<ReplyDelta>(&reply))
                    this->execute(sender,
                                  sender.handle(DeltaReceived{this->transmit(delta->delta)}, this->now));
            }
            this->execute(receiver, replies);
        }
    }

    TimePoint now{};
    Random random;
    std::vector<std::unique_ptr<GossipNode>> nodes;
    std::map<std::string, GossipNode *> byAddress;
};

GossipCost measureGossip(uint32_t nodeCount, uint64_t seed)
{
    GossipFleet fleet(nodeCount, seed);
    fleet.run(WarmUpRounds);
    fleet.bytes = 0;
    const auto start = std::chrono::steady_clock::now();
    fleet.run(MeasuredRounds);
    const Duration elapsed = std::chrono::steady_clock::now() - start;
    const double seconds = toSeconds(RoundInterval) * MeasuredRounds;
    GossipCost cost;
    cost.nodes = nodeCount;
    // Each message is counted at its sender and at its receiver.
    cost.bytesPerSecond = 2.0 * static_cast<double>(fleet.bytes) / nodeCount / seconds;
    cost.microsecondsPerSecond = toSeconds(elapsed) * 1e6 / nodeCount / seconds;
    std::vector<double> propagation = fleet.measurePropagation();
    std::sort(propagation.begin(), propagation.end());
    cost.medianPropagationSeconds = propagation[propagation.size() / 2];
    cost.worstPropagationSeconds = propagation.back();
    return cost;
}

} // namespace

int runGossip(uint64_t seed)
{
    std::printf("nodes  bytes/s per node  us/s per node  rules median s  rules worst s\n");
    for (const uint32_t nodeCount : {3U, 9U, 30U, 100U, 400U}) {
        const GossipCost cost = measureGossip(nodeCount, seed);
        std::printf("%5u  %16.0f  %13.0f  %14.1f  %13.1f\n", cost.nodes, cost.bytesPerSecond,
                    cost.microsecondsPerSecond, cost.medianPropagationSeconds, cost.worstPropagationSeconds);
    }
    return 0;
}

} // namespace eelgrasslift::bench
