#pragma once

#include "eelgrasslift/controlthread.h"
#include "libwire/wire.h"

#include <grpcpp/impl/service_type.h>

#include <memory>

namespace eelgrasslift {

/// Answers the calls of other processes. All functions run on the control thread.
class PeerHandler
{
public:
    virtual ~PeerHandler() = default;

    virtual wire::GossipDelta exchange(const wire::GossipDigest &digest) = 0;

    // Idempotency records and reservations; only entries keep them.
    virtual wire::RecordReply claim(const wire::ClaimRequest &request);
    virtual wire::RecordReply resolve(const wire::ResolveRequest &request);
    virtual wire::RecordReply lookup(const wire::LookupRequest &request);
    virtual wire::ReadRecordsReply readRecords(const wire::ReadRecordsRequest &request);
    virtual wire::ReserveReply reserve(const wire::ReserveRequest &request);
    virtual wire::ReleaseReply release(const wire::ReleaseRequest &request);
    virtual wire::MarkReply mark(const wire::MarkRequest &request);
};

/// The gRPC service Peer. handler and control must outlive the server that the service is registered with.
std::unique_ptr<grpc::Service> makePeerService(ControlThread &control, PeerHandler &handler);

} // namespace eelgrasslift
