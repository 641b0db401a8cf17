#include "eelgrasslift/consensusservice.h"

#include "eelgrasslift/consensuscodec.h"

namespace eelgrasslift {

namespace {

// Envelopes that wait for the control-state thread. Seven members send far fewer while it keeps up.
constexpr size_t MaxWaiting = 1024;

} // namespace

ConsensusService::ConsensusService(std::shared_ptr<ControlGate> controlGate, Receiver envelopeReceiver)
    : gate(std::move(controlGate))
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
    if (this->waiting->fetch_add(1) >= MaxWaiting) {
        this->waiting->fetch_sub(1);
        reactor->Finish(grpc::Status{grpc::StatusCode::RESOURCE_EXHAUSTED, "too many waiting envelopes"});
        return reactor;
    }
    const bool isPosted = this->gate->post(
            [receive = this->receiver, count = this->waiting, message = std::move(*envelope)] {
                count->fetch_sub(1);
                (*receive)(message);
            });
    reactor->Finish(isPosted ? grpc::Status::OK
                             : grpc::Status{grpc::StatusCode::UNAVAILABLE, "the member is stopping"});
    return reactor;
}

} // namespace eelgrasslift
