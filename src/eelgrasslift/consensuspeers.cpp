#include "eelgrasslift/consensuspeers.h"

#include "eelgrasslift/consensuscodec.h"

#include "consensus.grpc.pb.h"

#include <grpcpp/grpcpp.h>

namespace eelgrasslift {

namespace {

// A stalled TCP connection can stay open for minutes after its VM has disappeared. gRPC would continue to use
// it, so the channel is replaced after this many consecutive failed calls.
constexpr int FailuresBeforeNewChannel = 5;

// gRPC's default back-off grows to two minutes; a restarted member must be reachable within one election.
constexpr int ReconnectBackoffMinMs = 50;
constexpr int ReconnectBackoffMaxMs = 500;

std::shared_ptr<grpc::Channel> openChannel(const std::string &address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, ReconnectBackoffMinMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, ReconnectBackoffMinMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, ReconnectBackoffMaxMs);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    const std::string scheme = address.starts_with('[') ? "ipv6:" : "ipv4:";
    return grpc::CreateCustomChannel(scheme + address, grpc::InsecureChannelCredentials(), arguments);
}

} // namespace

struct ConsensusPeers::Peer
{
    std::unique_ptr<wire::Consensus::Stub> stub;
    size_t openCalls = 0;
    int consecutiveFailures = 0;
};

struct ConsensusPeers::Call
{
    grpc::ClientContext context;
    wire::ConsensusEnvelope request;
    google::protobuf::Empty reply;
};

ConsensusPeers::ConsensusPeers(std::shared_ptr<ClosableExecutor> closableExecutor, Duration callDeadline,
                               size_t maxOpenCalls)
    : executor(std::move(closableExecutor))
    , deadline(callDeadline)
    , maxCallsPerPeer(maxOpenCalls)
{}

ConsensusPeers::~ConsensusPeers() = default;

void ConsensusPeers::send(const std::string &address, const raft::Envelope &envelope)
{
    std::shared_ptr<Peer> &peer = this->peers[address];
    if (!peer) {
        peer = std::make_shared<Peer>();
        peer->stub = wire::Consensus::NewStub(openChannel(address));
    }
    if (peer->openCalls >= this->maxCallsPerPeer) {
        ++this->droppedEnvelopes;
        return;
    }
    ++peer->openCalls;
    auto call = std::make_shared<Call>();
    call->request = toWire(envelope);
    call->context.set_deadline(
            std::chrono::system_clock::now() +
            std::chrono::duration_cast<std::chrono::system_clock::duration>(this->deadline));
    peer->stub->async()->Deliver(&call->context, &call->request, &call->reply,
                                 [call, peer = peer, address, executor = this->executor,
                                  self = this->weak_from_this()](const grpc::Status &status) {
                                     executor->post([peer, address, self, isDelivered = status.ok()] {
                                         if (const auto owner = self.lock())
                                             owner->handleCallFinished(address, peer, isDelivered);
                                     });
                                 });
}

void ConsensusPeers::handleCallFinished(const std::string &address, const std::shared_ptr<Peer> &peer,
                                        bool isDelivered)
{
    --peer->openCalls;
    peer->consecutiveFailures = isDelivered ? 0 : peer->consecutiveFailures + 1;
    const auto found = this->peers.find(address);
    if (peer->consecutiveFailures >= FailuresBeforeNewChannel && found != this->peers.end() &&
        found->second == peer)
        this->peers.erase(found);
}

void ConsensusPeers::keepOnly(const std::set<std::string> &addresses)
{
    std::erase_if(this->peers, [&](const auto &entry) { return !addresses.contains(entry.first); });
}

} // namespace eelgrasslift
