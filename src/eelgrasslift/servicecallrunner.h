#pragma once

#include "eelgrasslift/entrycontext.h"
#include "libserving/serving.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace eelgrasslift {

/// A request to a plain service as it is sent to a target.
struct ServiceRequest
{
    std::string requestId;
    std::string account;
    std::string service;
    std::string method;
    /// Path and query.
    std::string target;
    std::string contentType;
    std::string body;
    std::string idempotencyKey;
};

/// Drives one ServiceCall: messages to the record holders, sends to targets, timers. Lives on the control thread and
/// goes on after the caller has left, until the record is resolved.
class ServiceCallRunner : public std::enable_shared_from_this<ServiceCallRunner>
{
public:
    using ReplyCallback = std::function<void(ReplyToCaller)>;

    ServiceCallRunner(EntryContext &context, ServiceRequest request, ServiceCallSettings settings,
                      std::optional<ServiceClaim> claim, ReplyCallback reply);

    void start();
    void callerGone();

private:
    struct Attempt
    {
        uint32_t number = 0;
        Placed placed;
    };

    void handle(const ServiceCallEvent &event);
    void execute(const std::vector<ServiceAction> &actions);
    void schedule();

    void on(const SendClaim &action) { this->sendRecordMessage(action); }
    void on(const SendLookup &action) { this->sendRecordMessage(action); }
    void on(const SendResolve &action) { this->sendRecordMessage(action); }
    void on(const SendRequest &action);
    void on(const AbortSend &action);
    void on(const ReplyToCaller &action);
    void on(const ServiceFinished &action);

    template <typename Message>
    void sendRecordMessage(const Message &message);

    void place(uint32_t attempt, TimePoint sendBy);
    boost::asio::awaitable<void> send(Attempt attempt, TimePoint sendBy);
    boost::asio::awaitable<ServiceCallEvent> exchangeOnce(const Attempt &attempt, TimePoint sendBy);
    bool beginSend(uint32_t attempt, TimePoint sendBy);
    void attemptEnded(const Attempt &attempt, ServiceCallEvent event);
    RetryPermit requestRetry();

    EntryContext &context;
    ServiceRequest request;
    ServiceCall call;
    ReplyCallback reply;
    Duration timeout;
    bool isIdempotent;
    uint32_t currentAttempt = 0;
    std::vector<std::string> excludedTargets;
    /// Keeps the call alive until its record is resolved.
    std::shared_ptr<ServiceCallRunner> keepAlive;
    TimerService::Subscription timer;
    TimerService::Subscription delayTimer;
};

} // namespace eelgrasslift
