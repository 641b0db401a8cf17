#pragma once

#include "libserving/idempotencyclaim.h"

namespace eelgrasslift {

/// The retry budget's answer for one failed attempt, asked by the owner before it feeds the failure.
struct RetryPermit
{
    bool isGranted = false;
    Duration delay{0};
};

// Events. attempt is the number from the SendRequest action; events of other attempts are ignored.

/// The first byte may have left.
struct SendStarted
{
    uint32_t attempt = 0;
};

/// No byte was written and none will be: no target, no connection, or the attempt was dropped in time.
struct RequestNotSent
{
    uint32_t attempt = 0;
    RetryPermit retry;
};

/// The connection broke after bytes may have been written.
struct SendInterrupted
{
    uint32_t attempt = 0;
    RetryPermit retry;
};

/// The target said that it did not run the request.
struct TargetRefused
{
    uint32_t attempt = 0;
    RetryPermit retry;
};

struct ServiceResponse
{
    uint32_t status = 0;
    std::string contentType;
    std::string body;
};

struct ResponseReceived
{
    uint32_t attempt = 0;
    ServiceResponse response;
};

struct ServiceTick
{};

/// The caller closed its connection. The call goes on and its record is resolved.
struct ServiceCallerDisconnected
{};

using ServiceCallEvent =
        std::variant<ReplicaReplied, SendStarted, RequestNotSent, SendInterrupted, TargetRefused,
                     ResponseReceived, ServiceTick, ServiceCallerDisconnected>;

// Actions.

struct SendRequest
{
    uint32_t attempt = 0;
    Duration delay{0};
    /// The write must not start later; if it would, the owner feeds SendRefused instead.
    TimePoint sendBy;
};

/// Close the attempt's connection; its later events are ignored.
struct AbortSend
{
    uint32_t attempt = 0;
};

enum class ServiceOutcome { Ran, NotRun, Unknown };

enum class ServiceCause {
    Responded,
    /// Answer of an earlier request with the same key.
    Replayed,
    /// An earlier request with the same key ran, but its answer was too large to keep.
    ReplayTooLarge,
    TargetRefused,
    Unreachable,
    Timeout,
    ConnectionLost,
    /// No majority of the records could be claimed; no request with this key has run.
    NoMajority,
    /// Another request with the same key may have run.
    EarlierOutcomeUnknown,
    /// Nothing was sent, but an earlier request with this key may have run: its records cannot be read.
    RecordsUnreachable,
    KeyReused,
    KeyInFuture,
    KeyExpired
};

struct ReplyToCaller
{
    ServiceOutcome outcome = ServiceOutcome::Unknown;
    ServiceCause cause = ServiceCause::Timeout;
    ServiceResponse response;
};

/// The object is done and may be destroyed.
struct ServiceFinished
{};

using ServiceAction = std::variant<SendClaim, SendLookup, SendResolve, SendRequest, AbortSend, ReplyToCaller,
                                   ServiceFinished>;

struct ServiceCallSettings
{
    bool isIdempotent = false;
    /// Service timeout, counted from the send (or from the start, while claiming and retrying).
    Duration timeout = std::chrono::seconds{5};
    Duration keyRetention = std::chrono::hours{24};
    /// Most sends of an idempotent request, and most tries of another request that was never sent.
    uint32_t maxAttempts = 3;
    ClaimSettings claim;
};

/// Claim of a non-idempotent request; nothing without an Idempotency-Key or for idempotent requests.
struct ServiceClaim
{
    ClaimRequest request;
    std::vector<OwnerGroup> groups;
};

/// One request to a plain service, from its admission to the answer and the resolution of its record.
class ServiceCall
{
public:
    ServiceCall(ServiceCallSettings settings, std::optional<ServiceClaim> claim);

    std::vector<ServiceAction> start(const Instant &instant);
    std::vector<ServiceAction> handle(const ServiceCallEvent &event, const Instant &instant);
    std::optional<TimePoint> nextTick() const;
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

    bool refuseByKeyTime(const Instant &instant);
    bool isCurrent(uint32_t number) const;
    void execute(std::vector<ClaimAction> claimActions, const Instant &instant);
    void refused(const ClaimRefused &refusal);
    void send(Duration delay, const Instant &instant);
    void attemptFailed(bool mayHaveRun, ServiceCause cause, const RetryPermit &retry, const Instant &instant);
    void reply(ServiceOutcome outcome, ServiceCause cause, ServiceResponse answer = {});
    void resolve(RecordState outcome, const ServiceResponse &answer, const Instant &instant);
    std::vector<ServiceAction> takeActions();

    ServiceCallSettings settings;
    std::optional<ServiceClaim> claimRequest;
    std::optional<IdempotencyClaim> claim;
    State state = State::Idle;
    uint32_t attempt = 0;
    bool isStarted = false;
    bool mayHaveRun = false;
    bool isReplied = false;
    bool isCallerGone = false;
    TimePoint deadline;
    std::vector<ServiceAction> actions;
};

} // namespace eelgrasslift
