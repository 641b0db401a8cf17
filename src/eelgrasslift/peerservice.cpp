#include "eelgrasslift/peerservice.h"

#include "peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

namespace eelgrasslift {

namespace {

class PeerService final : public wire::Peer::CallbackService
{
public:
    PeerService(ControlThread &controlThread, PeerHandler &peerHandler)
        : control(controlThread)
        , handler(peerHandler)
    {}

    grpc::ServerUnaryReactor *Exchange(grpc::CallbackServerContext *context,
                                       const wire::GossipDigest *request, wire::GossipDelta *reply) override
    {
        return this->serve(context, request, reply, &PeerHandler::exchange);
    }

    grpc::ServerUnaryReactor *Claim(grpc::CallbackServerContext *context, const wire::ClaimRequest *request,
                                    wire::RecordReply *reply) override
    {
        return this->serve(context, request, reply, &PeerHandler::claim);
    }

    grpc::ServerUnaryReactor *Resolve(grpc::CallbackServerContext *context,
                                      const wire::ResolveRequest *request, wire::RecordReply *reply) override
    {
        return this->serve(context, request, reply, &PeerHandler::resolve);
    }

    grpc::ServerUnaryReactor *Lookup(grpc::CallbackServerContext *context, const wire::LookupRequest *request,
                                     wire::RecordReply *reply) override
    {
        return this->serve(context, request, reply, &PeerHandler::lookup);
    }

    grpc::ServerUnaryReactor *ReadRecords(grpc::CallbackServerContext *context,
                                          const wire::ReadRecordsRequest *request,
                                          wire::ReadRecordsReply *reply) override
    {
        return this->serve(context, request, reply, &PeerHandler::readRecords);
    }

    grpc::ServerUnaryReactor *Reserve(grpc::CallbackServerContext *context,
                                      const wire::ReserveRequest *request, wire::ReserveReply *reply) override
    {
        return this->serve(context, request, reply, &PeerHandler::reserve);
    }

    grpc::ServerUnaryReactor *Release(grpc::CallbackServerContext *context,
                                      const wire::ReleaseRequest *request, wire::ReleaseReply *reply) override
    {
        return this->serve(context, request, reply, &PeerHandler::release);
    }

    grpc::ServerUnaryReactor *Mark(grpc::CallbackServerContext *context, const wire::MarkRequest *request,
                                   wire::MarkReply *reply) override
    {
        return this->serve(context, request, reply, &PeerHandler::mark);
    }

private:
    template <typename Request, typename Reply>
    grpc::ServerUnaryReactor *serve(grpc::CallbackServerContext *context, const Request *request,
                                    Reply *reply, Reply (PeerHandler::*method)(const Request &))
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        this->control.post([this, reactor, request, reply, method] {
            *reply = (this->handler.*method)(*request);
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

    ControlThread &control;
    PeerHandler &handler;
};

} // namespace

wire::RecordReply PeerHandler::claim(const wire::ClaimRequest & /*request*/)
{
    return {};
}

wire::RecordReply PeerHandler::resolve(const wire::ResolveRequest & /*request*/)
{
    return {};
}

wire::RecordReply PeerHandler::lookup(const wire::LookupRequest & /*request*/)
{
    return {};
}

wire::ReadRecordsReply PeerHandler::readRecords(const wire::ReadRecordsRequest & /*request*/)
{
    return {};
}

wire::ReserveReply PeerHandler::reserve(const wire::ReserveRequest & /*request*/)
{
    return {};
}

wire::ReleaseReply PeerHandler::release(const wire::ReleaseRequest & /*request*/)
{
    return {};
}

wire::MarkReply PeerHandler::mark(const wire::MarkRequest & /*request*/)
{
    return {};
}

std::unique_ptr<grpc::Service> makePeerService(ControlThread &control, PeerHandler &handler)
{
    return std::make_unique<PeerService>(control, handler);
}

} // namespace eelgrasslift
