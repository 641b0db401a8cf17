#pragma once

#include "libserving/idempotencyclaim.h"

namespace eelgrasslift {

/// Decision of the retry budget on one failed attempt. The owner obtains it before it passes the failure to
/// ServiceCall::handle().
struct RetryPermit
{
    bool isGranted = false;
    /// Back-off before the next attempt.
    Duration delay{0};
};

// Events. attempt is the number from the SendRequest action; events of earlier attempts are ignored.

/// The first byte of the request may have been sent.
struct SendStarted
{
    uint32_t attempt = 0;
};

/// No byte of the request was sent and none will be: there is no target or no connection, or the attempt was
/// dropped before the write.
struct RequestNotSent
{
    uint32_t attempt = 0;
    RetryPermit retry;
};

/// The connection was lost after bytes of the request may have been sent.
struct SendInterrupted
{
    uint32_t attempt = 0;
    RetryPermit retry;
};

/// The target replied that it did not run the request.
struct TargetRefused
{
    uint32_t attempt = 0;
    RetryPermit retry;
};

/// HTTP response of a plain service.
struct ServiceResponse
{
    uint32_t status = 0;
    std::string contentType;
    std::string body;
};

/// The target has sent its complete response.
struct ResponseReceived
{
    uint32_t attempt = 0;
    ServiceResponse response;
};

/// The time that ServiceCall::nextTick() returned is reached.
struct ServiceTick
{};

/// The caller closed its connection. A non-idempotent call continues nevertheless, so that the outcome is
/// stored in its record; an idempotent one is aborted.
struct ServiceCallerDisconnected
{};

using ServiceCallEvent =
        std::variant<ReplicaReplied, SendStarted, RequestNotSent, SendInterrupted, TargetRefused,
                     ResponseReceived, ServiceTick, ServiceCallerDisconnected>;

// Actions.

/// Choose a target and send it the request after the delay.
struct SendRequest
{
    uint32_t attempt = 0;
    Duration delay{0};
    /// Latest time at which the write may begin. After it, report RequestNotSent instead.
    TimePoint sendBy;
};

/// Close the connection of the attempt. Its later events are ignored.
struct AbortSend
{
    uint32_t attempt = 0;
};

/// Whether the request ran at a target. Unknown: it may have run.
enum class ServiceOutcome { Ran, NotRun, Unknown };

/// Reason of a ServiceOutcome.
enum class ServiceCause {
    /// The target responded.
    Responded,
    /// An earlier request with the same key ran; the response is the stored one.
    Replayed,
    /// An earlier request with the same key ran, but its response was too large to store.
    ReplayTooLarge,
    /// The target replied that it did not run the request.
    TargetRefused,
    /// The request could not be sent to any target.
    Unreachable,
    /// No response arrived within the service timeout.
    Timeout,
    /// The connection was lost while the request was sent or running.
    ConnectionLost,
    /// No majority of the replicas granted the claim; no request with this key has run.
    NoMajority,
    /// This request was not sent, and another one with the same key may have run.
    EarlierOutcomeUnknown,
    /// This request was not sent, and too few replicas replied to decide whether an earlier one with this key
    /// ran.
    RecordsUnreachable,
    /// The key was used with another request before.
    KeyReused,
    /// The time in the key is in the future.
    KeyInFuture,
    /// The time in the key lies further back than the retention.
    KeyExpired
};

/// Send the outcome to the caller; at most once per call.
struct ReplyToCaller
{
    ServiceOutcome outcome = ServiceOutcome::Unknown;
    ServiceCause cause = ServiceCause::Timeout;
    ServiceResponse response;
};

/// The call sends no further messages and may be destroyed.
struct ServiceFinished
{};

using ServiceAction = std::variant<SendClaim, SendLookup, SendResolve, SendRequest, AbortSend, ReplyToCaller,
                                   ServiceFinished>;

struct ServiceCallSettings
{
    /// Whether the request may run more than once, so that it needs no claim and may be sent again.
    bool isIdempotent = false;
    /// Maximum time for all attempts and the response, from the grant of the claim or, without one, from the
    /// start.
    Duration timeout = std::chrono::seconds{5};
    /// Retention of the service's idempotency records. Older UUIDv7 keys are rejected.
    Duration keyRetention = std::chrono::hours{24};
    /// Maximum number of attempts. A request that is not idempotent is only attempted again if no byte was
    /// sent.
    uint32_t maxAttempts = 3;
    ClaimSettings claim;
};

/// Claim and owner groups of a non-idempotent request with an Idempotency-Key.
struct ServiceClaim
{
    ClaimRequest request;
    std::vector<OwnerGroup> groups;
};

/// One request to a plain service, from its admission to the response and the storage of its outcome.
///
/// Claims the idempotency key, if there is one, sends the request, retries it where that is safe, and replies
/// to the caller with an outcome that is never wrong, though it may be unknown. Performs no I/O: the
/// functions return the actions that the owner has to perform, in order.
class ServiceCall
{
public:
    /// claim: empty for idempotent requests and for requests without an Idempotency-Key.
    ServiceCall(ServiceCallSettings settings, std::optional<ServiceClaim> claim);

    /// Begins the call. Further calls have no effect.
    std::vector<ServiceAction> start(const Instant &instant);
    /// Handles an event; ignored before start() and after ServiceFinished.
    std::vector<ServiceAction> handle(const ServiceCallEvent &event, const Instant &instant);
    /// Time at which the next ServiceTick is due, if any.
    std::optional<TimePoint> nextTick() const;
    /// Whether ServiceFinished was returned.
    bool isFinished() const { return this->state == State::Finished; }

private:
    enum class State { Idle, Claiming, Sending, Resolving, Finished };

    void on(const ReplicaReplied &event, const Instant &instant);
    void on(const SendStarted &event, const Instant &instant);
    void on(const RequestNotSent &event, const Instant &instant);
    void on(const SendInterrupted &event, const Instant &instant);
    void on(const TargetRefused &event, const Instant &instant);
    void on(const ResponseReceived &event, const Instant &instant);
    void on(const ServiceTick &event, const Instant &instant);
    void on(const ServiceCallerDisconnected &event, const Instant &instant);

    bool refuseInvalidKeyTime(const Instant &instant);
    bool isCurrent(uint32_t number) const;
    void performClaimActions(std::vector<ClaimAction> claimActions, const Instant &instant);
    void claimRefused(const ClaimRefused &refusal);
    void send(Duration delay, const Instant &instant);
    void attemptFailed(bool mayHaveRun, ServiceCause cause, const RetryPermit &retry, const Instant &instant);
    void reply(ServiceOutcome outcome, ServiceCause cause, ServiceResponse response = {});
    void resolve(RecordState outcome, const ServiceResponse &response, const Instant &instant);
    std::vector<ServiceAction> takeActions();

    ServiceCallSettings settings;
    std::optional<ServiceClaim> claimRequest;
    std::optional<IdempotencyClaim> claim;
    State state = State::Idle;
    uint32_t attempt = 0;
    bool isSendStarted = false;
    bool mayHaveRun = false;
    bool isReplied = false;
    bool isCallerDisconnected = false;
    TimePoint deadline;
    std::vector<ServiceAction> actions;
};

} // namespace eelgrasslift
