#pragma once

#include "eelgrasslift/controlthread.h"
#include "libwire/wire.h"

#include <grpcpp/impl/service_type.h>

#include <memory>

namespace eelgrasslift {

/// Handles the RPCs of the Peer gRPC service, one function for each. All functions are called on the control
/// thread.
class PeerHandler
{
public:
    virtual ~PeerHandler() = default;

    virtual wire::GossipDelta exchange(const wire::GossipDigest &digest) = 0;

    // Idempotency records, reservations and quarantine marks, which only entries handle. The default
    // implementations return an empty reply.
    virtual wire::RecordReply claim(const wire::ClaimRequest &request);
    virtual wire::RecordReply resolve(const wire::ResolveRequest &request);
    virtual wire::RecordReply lookup(const wire::LookupRequest &request);
    virtual wire::ReadRecordsReply readRecords(const wire::ReadRecordsRequest &request);
    virtual wire::ReserveReply reserve(const wire::ReserveRequest &request);
    virtual wire::ReleaseReply release(const wire::ReleaseRequest &request);
    virtual wire::MarkReply mark(const wire::MarkRequest &request);
};

/// Creates the Peer gRPC service, which calls handler on the control thread. handler and control must outlive
/// the server that the service is registered with.
std::unique_ptr<grpc::Service> makePeerService(ControlThread &control, PeerHandler &handler);

} // namespace eelgrasslift
