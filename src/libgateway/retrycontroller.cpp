#include "libgateway/retrycontroller.h"

namespace eelgrasslift {

namespace {

// A repeat needs this much time to be worth its send: a connection and the shortest work of a plain service.
constexpr Duration MinimumTimeForRepeat = std::chrono::milliseconds{30};

// Bounds sends that no runner accepted, so that one request cannot visit a whole fleet.
constexpr uint32_t MaxSends = 4;

} // namespace

RetryController::RetryController(bool idempotent, uint32_t attempts, TimePoint deadline)
    : isIdempotent(idempotent)
    , maxAttempts(std::max<uint32_t>(attempts, 1))
    , end(deadline)
{}

void RetryController::recordOutcome(SendOutcome outcome)
{
    ++this->sends;
    if (!isCertainlyNotRun(outcome))
        ++this->possibleRuns;
}

bool RetryController::mayRepeat(SendOutcome outcome, TimePoint now) const
{
    if (now + MinimumTimeForRepeat > this->end || this->sends >= MaxSends)
        return false;
    if (this->possibleRuns >= this->maxAttempts)
        return false;
    return isCertainlyNotRun(outcome) ? this->possibleRuns == 0 || this->isIdempotent : this->isIdempotent;
}

NextStep RetryController::giveUp(SendOutcome outcome, TimePoint now) const
{
    if (outcome == SendOutcome::Failed)
        return NextStep::Deliver;
    if (this->possibleRuns == 0)
        return NextStep::RefuseNotRun;
    return now >= this->end ? NextStep::FailTimeout : NextStep::FailUnknown;
}

} // namespace eelgrasslift
