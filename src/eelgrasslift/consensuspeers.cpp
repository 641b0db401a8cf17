#include "eelgrasslift/consensuspeers.h"

#include "eelgrasslift/consensuscodec.h"

#include "consensus.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <mutex>

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
    std::string address;
    std::shared_ptr<Peer> peer;
};

/// Counts the calls that gRPC has not ended yet. Can be used by any thread.
class ConsensusPeers::CallCounter
{
public:
    void increment()
    {
        const std::lock_guard lock(this->mutex);
        ++this->count;
    }

    void decrement()
    {
        const std::lock_guard lock(this->mutex);
        --this->count;
        this->condition.notify_all();
    }

    void waitForZero()
    {
        std::unique_lock lock(this->mutex);
        this->condition.wait(lock, [this] { return this->count == 0; });
    }

private:
    std::mutex mutex;
    std::condition_variable condition;
    size_t count = 0;
};

ConsensusPeers::ConsensusPeers(std::shared_ptr<ClosableExecutor> closableExecutor, Duration callDeadline,
                               size_t maxOpenCalls)
    : executor(std::move(closableExecutor))
    , deadline(callDeadline)
    , maxCallsPerPeer(maxOpenCalls)
    , openCalls(std::make_shared<CallCounter>())
{}

ConsensusPeers::~ConsensusPeers()
{
    for (const auto &[key, call] : this->calls)
        call->context.TryCancel();
    this->openCalls->waitForZero();
}

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
    auto owned = std::make_unique<Call>();
    Call *call = owned.get();
    this->calls.emplace(call, std::move(owned));
    call->address = address;
    call->peer = peer;
    call->request = toWire(envelope);
    call->context.set_deadline(
            std::chrono::system_clock::now() +
            std::chrono::duration_cast<std::chrono::system_clock::duration>(this->deadline));
    this->openCalls->increment();
    peer->stub->async()->Deliver(&call->context, &call->request, &call->reply,
                                 [call, executor = this->executor, counter = this->openCalls,
                                  self = this->weak_from_this()](const grpc::Status &status) {
                                     executor->post([call, self, isDelivered = status.ok()] {
                                         if (const auto owner = self.lock())
                                             owner->handleCallFinished(call, isDelivered);
                                     });
                                     // The owner may be destroyed from here on.
                                     counter->decrement();
                                 });
}

void ConsensusPeers::handleCallFinished(const Call *call, bool isDelivered)
{
    const auto finished = this->calls.extract(call);
    const std::shared_ptr<Peer> &peer = call->peer;
    --peer->openCalls;
    peer->consecutiveFailures = isDelivered ? 0 : peer->consecutiveFailures + 1;
    const auto found = this->peers.find(call->address);
    if (peer->consecutiveFailures >= FailuresBeforeNewChannel && found != this->peers.end() &&
        found->second == peer)
        this->peers.erase(found);
}

void ConsensusPeers::keepOnly(const std::set<std::string> &addresses)
{
    std::erase_if(this->peers, [&](const auto &entry) { return !addresses.contains(entry.first); });
}

} // namespace eelgrasslift
