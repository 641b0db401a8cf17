#include "eelgrasslift/peerclient.h"

#include "peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>

namespace eelgrasslift {

namespace {

constexpr Duration ExchangeDeadline = std::chrono::seconds{1};
constexpr Duration RecordDeadline = std::chrono::milliseconds{500};
constexpr Duration ReadRecordsDeadline = std::chrono::seconds{10};
constexpr int MinReconnectMilliseconds = 100;
// After a network partition, a peer must be reachable again within one or two gossip rounds.
constexpr int MaxReconnectMilliseconds = 1000;
// ReadRecords returns all records of a replica in one message.
constexpr int MaxMessageBytes = 256 * 1024 * 1024;

} // namespace

struct PeerClient::Implementation : std::enable_shared_from_this<Implementation>
{
    explicit Implementation(ControlThread &controlThread)
        : control(controlThread)
    {}

    wire::Peer::Stub &stubOf(const std::string &address)
    {
        std::unique_ptr<wire::Peer::Stub> &stub = this->stubs[address];
        if (stub)
            return *stub;
        grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, MinReconnectMilliseconds);
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, MaxReconnectMilliseconds);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MaxReconnectMilliseconds);
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        arguments.SetMaxReceiveMessageSize(MaxMessageBytes);
        stub = wire::Peer::NewStub(
                grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
        return *stub;
    }

    template <typename Request, typename Reply, typename Start>
    void call(const Request &request, Duration deadline, Callback<Reply> done, Start start)
    {
        struct Call
        {
            grpc::ClientContext context;
            Request request;
            Reply reply;
        };
        auto call = std::make_shared<Call>();
        call->request = request;
        call->context.set_deadline(std::chrono::system_clock::now() + deadline);
        this->addCall(&call->context);
        start(&call->context, &call->request, &call->reply,
              [self = this->shared_from_this(), call, done = std::move(done)](const grpc::Status &status) {
                  if (!self->removeCall(&call->context))
                      return;
                  self->control.post([call, done, isOk = status.ok()] {
                      done(isOk ? std::optional<Reply>(std::move(call->reply)) : std::nullopt);
                  });
              });
    }

    void addCall(grpc::ClientContext *context)
    {
        const std::lock_guard lock(this->mutex);
        this->openCalls.insert(context);
    }

    /// Returns false if the client is being destroyed.
    bool removeCall(grpc::ClientContext *context)
    {
        const std::lock_guard lock(this->mutex);
        this->openCalls.erase(context);
        this->idleCondition.notify_all();
        return !this->isClosing;
    }

    void close()
    {
        std::unique_lock lock(this->mutex);
        this->isClosing = true;
        for (grpc::ClientContext *context : this->openCalls)
            context->TryCancel();
        this->idleCondition.wait(lock, [this] { return this->openCalls.empty(); });
    }

    ControlThread &control;
    std::map<std::string, std::unique_ptr<wire::Peer::Stub>, std::less<>> stubs;
    std::mutex mutex;
    std::condition_variable idleCondition;
    std::set<grpc::ClientContext *> openCalls;
    bool isClosing = false;
};

PeerClient::PeerClient(ControlThread &control)
    : implementation(std::make_shared<Implementation>(control))
{}

PeerClient::~PeerClient()
{
    this->implementation->close();
}

void PeerClient::exchange(const std::string &address, const wire::GossipDigest &digest,
                          Callback<wire::GossipDelta> done)
{
    wire::Peer::Stub &stub = this->implementation->stubOf(address);
    this->implementation->call(digest, ExchangeDeadline, std::move(done), [&stub](auto... arguments) {
        stub.async()->Exchange(std::move(arguments)...);
    });
}

void PeerClient::claim(const std::string &address, const wire::ClaimRequest &request,
                       Callback<wire::RecordReply> done)
{
    wire::Peer::Stub &stub = this->implementation->stubOf(address);
    this->implementation->call(request, RecordDeadline, std::move(done),
                               [&stub](auto... arguments) { stub.async()->Claim(std::move(arguments)...); });
}

void PeerClient::resolve(const std::string &address, const wire::ResolveRequest &request,
                         Callback<wire::RecordReply> done)
{
    wire::Peer::Stub &stub = this->implementation->stubOf(address);
    this->implementation->call(request, RecordDeadline, std::move(done), [&stub](auto... arguments) {
        stub.async()->Resolve(std::move(arguments)...);
    });
}

void PeerClient::lookup(const std::string &address, const wire::LookupRequest &request,
                        Callback<wire::RecordReply> done)
{
    wire::Peer::Stub &stub = this->implementation->stubOf(address);
    this->implementation->call(request, RecordDeadline, std::move(done),
                               [&stub](auto... arguments) { stub.async()->Lookup(std::move(arguments)...); });
}

void PeerClient::readRecords(const std::string &address, const wire::ReadRecordsRequest &request,
                             Callback<wire::ReadRecordsReply> done)
{
    wire::Peer::Stub &stub = this->implementation->stubOf(address);
    this->implementation->call(request, ReadRecordsDeadline, std::move(done), [&stub](auto... arguments) {
        stub.async()->ReadRecords(std::move(arguments)...);
    });
}

void PeerClient::reserve(const std::string &address, const wire::ReserveRequest &request,
                         Callback<wire::ReserveReply> done)
{
    wire::Peer::Stub &stub = this->implementation->stubOf(address);
    this->implementation->call(request, RecordDeadline, std::move(done), [&stub](auto... arguments) {
        stub.async()->Reserve(std::move(arguments)...);
    });
}

void PeerClient::release(const std::string &address, const wire::ReleaseRequest &request,
                         Callback<wire::ReleaseReply> done)
{
    wire::Peer::Stub &stub = this->implementation->stubOf(address);
    this->implementation->call(request, RecordDeadline, std::move(done), [&stub](auto... arguments) {
        stub.async()->Release(std::move(arguments)...);
    });
}

void PeerClient::mark(const std::string &address, const wire::MarkRequest &request,
                      Callback<wire::MarkReply> done)
{
    wire::Peer::Stub &stub = this->implementation->stubOf(address);
    this->implementation->call(request, RecordDeadline, std::move(done),
                               [&stub](auto... arguments) { stub.async()->Mark(std::move(arguments)...); });
}

} // namespace eelgrasslift
