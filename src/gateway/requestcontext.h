#pragma once

#include "eelgrasslift/logging.h"
#include "gateway/gatewaystate.h"
#include "gateway/responsewriter.h"

#include <boost/beast/http/span_body.hpp>

namespace eelgrasslift {

/// A caller's request with everything that determines its handling. Fixed when the request arrives, so that a
/// later configuration does not affect it.
struct RequestContext
{
    HttpRequest request;
    RequestMetadata metadata;
    /// The configuration that the request keeps; owns the route.
    RouteTablePointer table;
    const Route *route = nullptr;
    /// The chosen service of the route.
    std::string service;
    /// Name of the client account; empty if the route needs none.
    std::string account;
    std::optional<uint32_t> accountPriority;
    TimePoint arrived{};
    TimePoint deadline{};

    /// Traits of the service's model engine; nullptr for a plain service.
    const EngineTraits *engine() const
    {
        const Service *found = this->table->service(this->service);
        return found != nullptr && found->engine ? &*found->engine : nullptr;
    }
};

/// Base of the sessions that handle one request each: prepares requests to runners, sends error responses,
/// and logs the end of the request.
class RequestSession
{
public:
    RequestSession(GatewayState &gateway, ResponseWriter &writer, RequestContext context)
        : gateway(gateway)
        , writer(writer)
        , context(std::move(context))
    {}
    virtual ~RequestSession() = default;

    /// Handles the request until its response is complete or it is abandoned. Call it once.
    virtual boost::asio::awaitable<void> run() = 0;

    /// Stops the request after the caller has disconnected: closes the connection to the runner, which ends
    /// run().
    void abandon();

    /// Lets the request fail now as at its deadline: closes the connection to the runner, and the caller gets
    /// an error response if none has begun.
    void expire();

    /// The request that is handled.
    const RequestContext &requestContext() const { return this->context; }

protected:
    /// A request whose body is that of the caller's request.
    using RunnerRequest = boost::beast::http::request<boost::beast::http::span_body<const char>>;

    /// The caller's request with the header for an attempt at the runner. extra holds fields beyond the
    /// remaining time, the runner and the account. The session must outlive the result.
    RunnerRequest makeRunnerRequest(const RunnerPool::Runner &runner, const AttemptHeaders &extra) const;
    /// Time until the deadline; negative after it.
    Duration remainingTime() const;

    /// Sends an error response that the gateway generates, and logs the end of the request.
    boost::asio::awaitable<void> sendError(unsigned status, std::string_view cause);
    /// Sends the error response with the status for a final step.
    boost::asio::awaitable<void> sendErrorFor(NextStep step, std::string_view cause);
    /// The cause to report for a request that failed: the end of the grace period if expire() ended it.
    std::string_view failureCause(std::string_view cause) const;
    /// Time after which the caller of a refused request should try again: the earliest end of the runners'
    /// pauses if all runners of the service pause, or the end of its quarantine.
    double retryAfterSeconds() const;
    /// Whether the response is a late one to an earlier request on the connection. One without an id counts
    /// as such if the runner has named the requests of earlier responses.
    bool isStray(const ResponseMetadata &metadata, const RunnerConnection &connection,
                 const RunnerPool::Runner &runner) const
    {
        if (metadata.requestId.empty())
            return connection.isReused && runner.namesRequests && !this->context.metadata.id.empty();
        return metadata.requestId != this->context.metadata.id;
    }
    /// Whether a refusal on the connection says that this request was not run. One without an id on a reused
    /// connection may be a late one to another request.
    bool isOwnRefusal(const ResponseMetadata &metadata, const RunnerConnection &connection) const
    {
        return !connection.isReused || !metadata.requestId.empty() || this->context.metadata.id.empty();
    }
    /// Returns the connection to the pool after the complete response to this request. A late copy of a
    /// response without an id would look like that to the next request, so that the connection is closed
    /// after one, unless the runner names no requests at all.
    void releaseConnection(const RunnerConnectionPointer &connection, const ResponseMetadata &metadata,
                           const RunnerPool::Runner &runner)
    {
        if (!metadata.requestId.empty() || !runner.namesRequests)
            this->gateway.connections.release(connection, metadata);
    }
    /// Identifies requests of the same account with the same target and body, whatever their ids are.
    const Sha256 &fingerprint() const;
    /// Identify the parts of the prompt that other requests share, in their order.
    const std::vector<Sha256> &promptParts() const;
    /// Tells the gateway that the runner fell silent or broke off at the stage, so that it may have ended.
    void recordLostRun(const RunnerEntry &runner, RunStage stage, RunLoss loss = RunLoss::BrokenOff);
    /// The same for a receive that failed with the error, unless the session has closed the connection itself
    /// or the response is malformed.
    void recordFailedReceive(const RunnerEntry &runner, const boost::system::error_code &error,
                             RunStage stage);
    /// Whether the status of a runner's response is invalid, so that none of it may be used. Logs it if so,
    /// and tells the gateway that the runner may have ended.
    bool hasInvalidStatus(const ResponseHeader &header, const RunnerEntry &runner);
    /// Whether too many runners have ended under equal requests, or under a part of the prompt, so that this
    /// one must not be sent. Logs it once if so.
    bool isQuarantined();
    /// Whether the request may be sent once more after a runner has broken off. One more crash must not be
    /// risked if it would be one too many.
    bool mayRepeatAfterLoss() const;
    /// Logs and counts the end of the request. status 0: a stream that was aborted.
    void recordEnd(unsigned status, std::string_view cause);
    /// Additional fields of the line that recordEnd() logs.
    virtual std::vector<LogField> endLogFields() const { return {}; }

    GatewayState &gateway;
    ResponseWriter &writer;
    RequestContext context;
    /// Connection of the current attempt; nullptr between attempts.
    RunnerConnectionPointer activeConnection;
    bool isAbandoned = false;
    /// Attempts that were sent to a runner.
    uint32_t sendCount = 0;
    /// Runner of the last attempt.
    std::string lastRunnerId;

private:
    void disconnect();
    /// Why the request must not be sent; nothing if it may be.
    std::optional<CrashRecords::Quarantine> quarantine() const;

    bool isExpired = false;
    bool isQuarantineLogged = false;
    mutable std::optional<Sha256> knownFingerprint;
    mutable std::optional<std::vector<Sha256>> knownPromptParts;
};

} // namespace eelgrasslift
