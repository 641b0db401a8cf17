#pragma once

#include "eelgrasslift/logging.h"
#include "gateway/gatewaystate.h"
#include "gateway/responsewriter.h"

namespace eelgrasslift {

/// One request of a caller with all that decides its way, fixed when it arrives.
struct RequestContext
{
    HttpRequest request;
    RequestMetadata caller;
    RouteTablePointer table;
    const Route *route = nullptr;
    std::string service;
    std::string account;
    std::optional<uint32_t> accountPriority;
    TimePoint arrived{};
    TimePoint deadline{};

    const EngineTraits *engine() const
    {
        const Service *found = this->table->service(this->service);
        return found != nullptr && found->engine ? &*found->engine : nullptr;
    }
};

/// Base of the sessions of plain calls and streams: sends to runners, and the end when the caller leaves.
class RequestSession
{
public:
    RequestSession(GatewayState &gateway, ResponseWriter &caller, RequestContext context)
        : gateway(gateway)
        , caller(caller)
        , context(std::move(context))
    {}
    virtual ~RequestSession() = default;

    virtual boost::asio::awaitable<void> run() = 0;

    /// The caller is gone: ends what runs for it.
    void abandon();

    const RequestContext &details() const { return this->context; }

protected:
    /// The caller's request for a runner.
    HttpRequest requestFor(const RunnerPool::Runner &runner, const AttemptHeaders &extra) const;
    Duration remainingTime() const;

    /// Answers with a status of the gateway's own.
    boost::asio::awaitable<void> refuse(unsigned status, std::string_view cause);
    boost::asio::awaitable<void> finish(NextStep step, std::string_view cause);
    void logEnd(unsigned status, std::string_view cause);
    /// Further fields of the line that logEnd() writes.
    virtual std::vector<LogField> endDetails() const { return {}; }

    GatewayState &gateway;
    ResponseWriter &caller;
    RequestContext context;
    RunnerConnectionPointer active;
    bool isAbandoned = false;
    uint32_t sends = 0;
    std::string lastRunner;
};

} // namespace eelgrasslift
