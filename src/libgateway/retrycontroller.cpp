#include "libgateway/retrycontroller.h"

namespace eelgrasslift {

namespace {

// A retry with less time before the deadline would time out: it needs a connection and the shortest call of a
// plain service.
constexpr Duration MinRetryTime = std::chrono::milliseconds{30};

// Maximum number of sends of one request, so that a request that all runners refuse is not sent to the whole
// fleet.
constexpr uint32_t MaxSends = 4;

} // namespace

RetryController::RetryController(bool idempotent, uint32_t attempts, TimePoint deadline)
    : isIdempotent(idempotent)
    , maxAttempts(std::max<uint32_t>(attempts, 1))
    , requestDeadline(deadline)
{}

void RetryController::recordOutcome(SendOutcome outcome)
{
    ++this->sendCount;
    if (!isCertainlyNotRun(outcome))
        ++this->possibleRuns;
}

bool RetryController::mayRetry(SendOutcome outcome, TimePoint now) const
{
    if (now + MinRetryTime > this->requestDeadline || this->sendCount >= MaxSends)
        return false;
    if (this->possibleRuns >= this->maxAttempts)
        return false;
    return isCertainlyNotRun(outcome) ? this->possibleRuns == 0 || this->isIdempotent : this->isIdempotent;
}

NextStep RetryController::stepWithoutRetry(SendOutcome outcome, TimePoint now) const
{
    if (outcome == SendOutcome::Failed)
        return NextStep::Deliver;
    if (this->possibleRuns == 0)
        return NextStep::RefuseNotRun;
    return now >= this->requestDeadline ? NextStep::FailTimeout : NextStep::FailUnknown;
}

} // namespace eelgrasslift
