#include "libgateway/callplan.h"

namespace eelgrasslift {

namespace {

// A repeat needs this much time to be worth its send: a connection and the shortest work of a plain service.
constexpr Duration MinimumTimeForRepeat = std::chrono::milliseconds{30};

// Bounds sends that no runner accepted, so that one request cannot visit a whole fleet.
constexpr uint32_t MaxSends = 4;

} // namespace

CallPlan::CallPlan(bool idempotent, uint32_t attempts, TimePoint deadline)
    : isIdempotent(idempotent)
    , maxAttempts(std::max<uint32_t>(attempts, 1))
    , end(deadline)
{}

void CallPlan::noteSend(SendOutcome outcome)
{
    ++this->sends;
    if (!isCertainlyNotRun(outcome))
        ++this->possibleRuns;
}

bool CallPlan::mayRepeat(SendOutcome outcome, TimePoint now) const
{
    if (now + MinimumTimeForRepeat > this->end || this->sends >= MaxSends)
        return false;
    if (this->possibleRuns >= this->maxAttempts)
        return false;
    return isCertainlyNotRun(outcome) ? this->possibleRuns == 0 || this->isIdempotent : this->isIdempotent;
}

NextStep CallPlan::giveUp(SendOutcome outcome, TimePoint now) const
{
    if (outcome == SendOutcome::Failed)
        return NextStep::Deliver;
    if (this->possibleRuns == 0)
        return NextStep::RefuseNotRun;
    return now >= this->end ? NextStep::FailTimeout : NextStep::FailUnknown;
}

} // namespace eelgrasslift
