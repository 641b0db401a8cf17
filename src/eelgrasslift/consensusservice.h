#pragma once

#include "eelgrasslift/controlgate.h"
#include "libconsensus/consensus.h"

#include "consensus.grpc.pb.h"

#include <atomic>
#include <functional>
#include <memory>

namespace eelgrasslift {

/// Server side of the Consensus service: hands every envelope to the control-state thread.
class ConsensusService : public wire::Consensus::CallbackService
{
public:
    using Receiver = std::function<void(raft::Envelope)>;

    /// receiver runs on the thread behind the gate.
    ConsensusService(std::shared_ptr<ControlGate> gate, Receiver receiver);

    grpc::ServerUnaryReactor *Deliver( // NOLINT(readability-identifier-naming): overrides generated code
            grpc::CallbackServerContext *context, const wire::ConsensusEnvelope *request,
            google::protobuf::Empty *reply) override;

private:
    std::shared_ptr<ControlGate> gate;
    std::shared_ptr<const Receiver> receiver;
    std::shared_ptr<std::atomic<size_t>> waiting = std::make_shared<std::atomic<size_t>>(0);
};

} // namespace eelgrasslift
