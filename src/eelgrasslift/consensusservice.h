#pragma once

#include "eelgrasslift/closableexecutor.h"
#include "libconsensus/consensus.h"

#include "consensus.grpc.pb.h"

#include <atomic>
#include <functional>
#include <memory>

namespace eelgrasslift {

/// Server of the Consensus service: posts every received message to the thread of an executor.
class ConsensusService : public wire::Consensus::CallbackService
{
public:
    /// Handles one received message.
    using Receiver = std::function<void(raft::Envelope)>;

    /// receiver is called on the thread of executor.
    ConsensusService(std::shared_ptr<ClosableExecutor> executor, Receiver receiver);

    /// Called by gRPC on its own threads. Fails for malformed messages, when the queue is full, and after
    /// executor has been closed.
    grpc::ServerUnaryReactor *Deliver( // NOLINT(readability-identifier-naming): overrides generated code
            grpc::CallbackServerContext *context, const wire::ConsensusEnvelope *request,
            google::protobuf::Empty *reply) override;

private:
    std::shared_ptr<ClosableExecutor> executor;
    std::shared_ptr<const Receiver> receiver;
    std::shared_ptr<std::atomic<size_t>> queuedEnvelopes = std::make_shared<std::atomic<size_t>>(0);
};

} // namespace eelgrasslift
