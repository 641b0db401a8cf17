#include "libserving/servicecall.h"

#include "libcore/result.h"
#include "libcore/uuid.h"

#include <utility>

namespace eelgrasslift {

namespace {

/// Time after the deadline in which the owner can still report that an attempt was dropped before its first
/// byte. The outcome is then "not run" instead of unknown.
constexpr Duration NotSentGrace = std::chrono::milliseconds{100};

} // namespace

ServiceCall::ServiceCall(ServiceCallSettings settings, std::optional<ServiceClaim> claim)
    : settings(settings)
    , claimRequest(std::move(claim))
{}

std::vector<ServiceAction> ServiceCall::start(const Instant &instant)
{
    if (this->state != State::Idle)
        return {};
    this->deadline = instant.now + this->settings.timeout;
    if (!this->claimRequest || this->settings.isIdempotent) {
        this->send(Duration{0}, instant);
        return this->takeActions();
    }
    if (this->refuseInvalidKeyTime(instant))
        return this->takeActions();
    this->state = State::Claiming;
    this->claim.emplace(this->claimRequest->request, this->claimRequest->groups, this->settings.claim);
    this->performClaimActions(this->claim->start(instant), instant);
    return this->takeActions();
}

std::vector<ServiceAction> ServiceCall::handle(const ServiceCallEvent &event, const Instant &instant)
{
    if (this->state != State::Idle && this->state != State::Finished)
        std::visit([&](const auto &alternative) { this->on(alternative, instant); }, event);
    return this->takeActions();
}

std::optional<TimePoint> ServiceCall::nextTick() const
{
    if (this->state == State::Sending)
        return this->isSendStarted ? this->deadline : this->deadline + NotSentGrace;
    return this->claim && !this->isFinished() ? this->claim->nextTick() : std::nullopt;
}

void ServiceCall::on(const ReplicaReplied &event, const Instant &instant)
{
    if (this->claim)
        this->performClaimActions(this->claim->handle(event, instant), instant);
}

void ServiceCall::on(const SendStarted &event, const Instant & /*instant*/)
{
    this->isSendStarted = this->isSendStarted || this->isCurrent(event.attempt);
}

void ServiceCall::on(const RequestNotSent &event, const Instant &instant)
{
    if (!this->isCurrent(event.attempt))
        return;
    if (this->isSendStarted)
        this->attemptFailed(true, ServiceCause::ConnectionLost, event.retry, instant);
    else
        this->attemptFailed(false, ServiceCause::Unreachable, event.retry, instant);
}

void ServiceCall::on(const SendInterrupted &event, const Instant &instant)
{
    if (this->isCurrent(event.attempt))
        this->attemptFailed(true, ServiceCause::ConnectionLost, event.retry, instant);
}

void ServiceCall::on(const TargetRefused &event, const Instant &instant)
{
    if (this->isCurrent(event.attempt))
        this->attemptFailed(false, ServiceCause::TargetRefused, event.retry, instant);
}

void ServiceCall::on(const ResponseReceived &event, const Instant &instant)
{
    if (!this->isCurrent(event.attempt))
        return;
    this->reply(ServiceOutcome::Ran, ServiceCause::Responded, event.response);
    this->resolve(RecordState::Ran, event.response, instant);
}

void ServiceCall::on(const ServiceTick & /*event*/, const Instant &instant)
{
    if (this->claim)
        this->performClaimActions(this->claim->tick(instant), instant);
    if (this->state != State::Sending || instant.now < *this->nextTick())
        return;
    // The send may have started without SendStarted having arrived yet, so it counts as started.
    this->actions.emplace_back(AbortSend{this->attempt});
    this->mayHaveRun = true;
    this->reply(ServiceOutcome::Unknown, ServiceCause::Timeout);
    this->resolve(RecordState::Unknown, {}, instant);
}

void ServiceCall::on(const ServiceCallerDisconnected & /*event*/, const Instant & /*instant*/)
{
    this->isCallerDisconnected = true;
    if (!this->settings.isIdempotent)
        return;
    this->actions.emplace_back(AbortSend{this->attempt});
    this->state = State::Finished;
    this->actions.emplace_back(ServiceFinished{});
}

/// Refuses a key whose time lies in the future or before the retention. Returns whether the call has ended.
///
/// An entry whose clock is ahead may have accepted a key that is in the future by this clock. The request has
/// certainly not run only if no clock within MaxClockSkew of this one accepts its key.
bool ServiceCall::refuseInvalidKeyTime(const Instant &instant)
{
    const std::optional<WallTime> time = uuidV7Time(this->claimRequest->request.key.key);
    if (!time)
        return false;
    if (*time > instant.wall + 2 * MaxClockSkew)
        this->reply(ServiceOutcome::NotRun, ServiceCause::KeyInFuture);
    else if (*time > instant.wall + MaxClockSkew)
        this->reply(ServiceOutcome::Unknown, ServiceCause::KeyInFuture);
    else if (instant.wall > *time + this->settings.keyRetention)
        this->reply(ServiceOutcome::Unknown, ServiceCause::KeyExpired);
    return this->isFinished();
}

bool ServiceCall::isCurrent(uint32_t number) const
{
    return this->state == State::Sending && number == this->attempt;
}

void ServiceCall::performClaimActions(std::vector<ClaimAction> claimActions, const Instant &instant)
{
    for (ClaimAction &action : claimActions) {
        match(
                std::move(action), [&](SendClaim &&send) { this->actions.emplace_back(std::move(send)); },
                [&](SendLookup &&send) { this->actions.emplace_back(std::move(send)); },
                [&](SendResolve &&send) { this->actions.emplace_back(std::move(send)); },
                [&](ClaimGranted &&) {
                    this->deadline = instant.now + this->settings.timeout;
                    this->send(Duration{0}, instant);
                },
                [&](ClaimRefused &&refusal) { this->claimRefused(refusal); },
                [&](ClaimFinished &&) {
                    this->state = State::Finished;
                    this->actions.emplace_back(ServiceFinished{});
                });
    }
}

void ServiceCall::claimRefused(const ClaimRefused &refusal)
{
    this->state = State::Resolving;
    switch (refusal.reason) {
    case ClaimRefusal::NotRun:
        return this->reply(ServiceOutcome::NotRun, ServiceCause::NoMajority);
    case ClaimRefusal::Unknown:
        return this->reply(ServiceOutcome::Unknown, ServiceCause::EarlierOutcomeUnknown);
    case ClaimRefusal::RecordsUnreachable:
        return this->reply(ServiceOutcome::Unknown, ServiceCause::RecordsUnreachable);
    case ClaimRefusal::BodyMismatch:
        return this->reply(ServiceOutcome::NotRun, ServiceCause::KeyReused);
    case ClaimRefusal::Ran:
        break;
    }
    const Record &record = *refusal.record;
    this->reply(ServiceOutcome::Ran,
                record.isResponseTruncated ? ServiceCause::ReplayTooLarge : ServiceCause::Replayed,
                {record.status, record.contentType, record.response});
}

void ServiceCall::send(Duration delay, const Instant & /*instant*/)
{
    this->state = State::Sending;
    this->isSendStarted = false;
    ++this->attempt;
    this->actions.emplace_back(SendRequest{this->attempt, delay, this->deadline});
}

/// A request that is not idempotent is attempted again only if no byte of this attempt was sent.
void ServiceCall::attemptFailed(bool mayHaveRun, ServiceCause cause, const RetryPermit &retry,
                                const Instant &instant)
{
    this->mayHaveRun = this->mayHaveRun || mayHaveRun;
    const bool isRepeatable = this->settings.isIdempotent || cause == ServiceCause::Unreachable;
    const bool isInTime = instant.now + retry.delay < this->deadline;
    if (isRepeatable && retry.isGranted && isInTime && this->attempt < this->settings.maxAttempts)
        return this->send(retry.delay, instant);
    this->reply(this->mayHaveRun ? ServiceOutcome::Unknown : ServiceOutcome::NotRun, cause);
    this->resolve(this->mayHaveRun ? RecordState::Unknown : RecordState::NotRun, {}, instant);
}

void ServiceCall::reply(ServiceOutcome outcome, ServiceCause cause, ServiceResponse response)
{
    if (!this->isReplied && !this->isCallerDisconnected)
        this->actions.emplace_back(ReplyToCaller{outcome, cause, std::move(response)});
    this->isReplied = true;
    if (!this->claim) {
        this->state = State::Finished;
        this->actions.emplace_back(ServiceFinished{});
    }
}

void ServiceCall::resolve(RecordState outcome, const ServiceResponse &response, const Instant &instant)
{
    if (!this->claim)
        return;
    this->state = State::Resolving;
    this->performClaimActions(
            this->claim->resolve(outcome, response.status, response.contentType, response.body, instant),
            instant);
}

std::vector<ServiceAction> ServiceCall::takeActions()
{
    return std::exchange(this->actions, {});
}

} // namespace eelgrasslift
