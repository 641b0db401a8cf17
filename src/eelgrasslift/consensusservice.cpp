#include "eelgrasslift/consensusservice.h"

#include "eelgrasslift/consensuscodec.h"

namespace eelgrasslift {

namespace {

// Limit of messages queued for the thread of the executor. A cluster of seven members queues far fewer while
// that thread keeps up.
constexpr size_t MaxQueuedEnvelopes = 1024;

} // namespace

ConsensusService::ConsensusService(std::shared_ptr<ClosableExecutor> closableExecutor,
                                   Receiver envelopeReceiver)
    : executor(std::move(closableExecutor))
    , receiver(std::make_shared<const Receiver>(std::move(envelopeReceiver)))
{}

grpc::ServerUnaryReactor *ConsensusService::Deliver(grpc::CallbackServerContext *context,
                                                    const wire::ConsensusEnvelope *request,
                                                    google::protobuf::Empty *)
{
    grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
    std::optional<raft::Envelope> envelope = fromWire(*request);
    if (!envelope) {
        reactor->Finish(grpc::Status{grpc::StatusCode::INVALID_ARGUMENT, "malformed consensus envelope"});
        return reactor;
    }
    if (this->queuedEnvelopes->fetch_add(1) >= MaxQueuedEnvelopes) {
        this->queuedEnvelopes->fetch_sub(1);
        reactor->Finish(grpc::Status{grpc::StatusCode::RESOURCE_EXHAUSTED, "too many waiting envelopes"});
        return reactor;
    }
    const bool isPosted =
            this->executor->post([receiveEnvelope = this->receiver, queueLength = this->queuedEnvelopes,
                                  message = std::move(*envelope)] {
                queueLength->fetch_sub(1);
                (*receiveEnvelope)(message);
            });
    reactor->Finish(isPosted ? grpc::Status::OK
                             : grpc::Status{grpc::StatusCode::UNAVAILABLE, "the member is stopping"});
    return reactor;
}

} // namespace eelgrasslift
