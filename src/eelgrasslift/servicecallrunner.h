#pragma once

#include "eelgrasslift/entrycontext.h"
#include "libserving/serving.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace eelgrasslift {

/// A validated request to a plain service.
struct ServiceRequest
{
    std::string requestId;
    std::string account;
    std::string service;
    std::string method;
    /// HTTP request target: path and query, without the prefix of the service.
    std::string target;
    std::string contentType;
    std::string body;
    /// Value of the header Idempotency-Key; empty if there is none.
    std::string idempotencyKey;
};

/// Performs the actions of one ServiceCall: sends messages to the replicas of the idempotency records and
/// requests to targets, and runs timers. All public functions must be called on the control thread; the
/// requests are sent on the traffic threads. The call continues after its caller has disconnected, until the
/// record is resolved.
class ServiceCallRunner : public std::enable_shared_from_this<ServiceCallRunner>
{
public:
    using ReplyCallback = std::function<void(ReplyToCaller)>;

    /// reply is called at most once, on the control thread.
    ServiceCallRunner(EntryContext &context, ServiceRequest request, ServiceCallSettings settings,
                      std::optional<ServiceClaim> claim, ReplyCallback reply);

    /// Starts the call. The runner then keeps itself alive until the call is finished.
    void start();
    /// Informs the call that its caller has disconnected.
    void callerDisconnected();

private:
    struct Attempt
    {
        uint32_t number = 0;
        Placed placed;
    };

    void handle(const ServiceCallEvent &event);
    void execute(const std::vector<ServiceAction> &actions);
    /// Sets the timer for the next tick of the call.
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

    /// Chooses a target and starts to send the attempt to it.
    void place(uint32_t attempt, TimePoint sendBy);
    boost::asio::awaitable<void> send(Attempt attempt, TimePoint sendBy);
    /// Connects to the target, sends the request and reads the response. Returns the resulting event.
    boost::asio::awaitable<ServiceCallEvent> exchangeOnce(const Attempt &attempt, TimePoint sendBy);
    /// Returns whether the attempt may still be sent, and if so, reports SendStarted to the call.
    bool beginSend(uint32_t attempt, TimePoint sendBy);
    void attemptEnded(const Attempt &attempt, ServiceCallEvent event);
    RetryPermit requestRetry();

    EntryContext &context;
    ServiceRequest request;
    ServiceCall call;
    ReplyCallback reply;
    Duration timeout;
    bool isIdempotent;
    /// 0 before the first attempt and after an attempt was aborted.
    uint32_t currentAttempt = 0;
    std::vector<std::string> excludedTargets;
    /// Keeps this object alive until the call is finished.
    std::shared_ptr<ServiceCallRunner> selfReference;
    TimerService::Subscription timer;
    TimerService::Subscription delayTimer;
};

} // namespace eelgrasslift
