#pragma once

#include "eelgrasslift/controlthread.h"
#include "libcore/core.h"
#include "libwire/wire.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace eelgrasslift {

/// Client for the Peer gRPC service of other processes (proto/peer.proto), one function for each RPC. All
/// functions must be called on the control thread, where the callbacks run too. A callback receives nothing
/// if the call failed or there was no reply within 500 ms (exchange: 1 s, readRecords: 10 s).
class PeerClient
{
public:
    template <typename Reply>
    using Callback = std::function<void(std::optional<Reply>)>;

    explicit PeerClient(ControlThread &control);

    /// Cancels the open calls and waits for them to end. Their callbacks do not run.
    ~PeerClient();

    void exchange(const std::string &address, const wire::GossipDigest &digest,
                  Callback<wire::GossipDelta> done);
    void claim(const std::string &address, const wire::ClaimRequest &request,
               Callback<wire::RecordReply> done);
    void resolve(const std::string &address, const wire::ResolveRequest &request,
                 Callback<wire::RecordReply> done);
    void lookup(const std::string &address, const wire::LookupRequest &request,
                Callback<wire::RecordReply> done);
    void readRecords(const std::string &address, const wire::ReadRecordsRequest &request,
                     Callback<wire::ReadRecordsReply> done);
    void reserve(const std::string &address, const wire::ReserveRequest &request,
                 Callback<wire::ReserveReply> done);
    void release(const std::string &address, const wire::ReleaseRequest &request,
                 Callback<wire::ReleaseReply> done);
    void mark(const std::string &address, const wire::MarkRequest &request, Callback<wire::MarkReply> done);

private:
    struct Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace eelgrasslift
