#pragma once

#include "libgateway/servingconfig.h"

namespace eelgrasslift {

/// How one send to a runner ended.
enum class SendOutcome {
    NotConnected,    ///< No byte has left: certainly not run.
    RefusedByRunner, ///< The runner states that it has not run the request.
    WrongRunner,     ///< Another runner has the address; not run.
    Failed,          ///< The runner answered with a failure of its own after it ran the request.
    Unknown,         ///< Broken, silent or unreadable after the send: it may have run.
    Answered         ///< A complete answer of the runner.
};

constexpr bool isCertainlyNotRun(SendOutcome outcome)
{
    return outcome == SendOutcome::NotConnected || outcome == SendOutcome::RefusedByRunner ||
           outcome == SendOutcome::WrongRunner;
}

/// What to do after a send ended.
enum class NextStep {
    Deliver,      ///< Pass the runner's answer on.
    Retry,        ///< To another runner.
    RefuseNotRun, ///< 503 with Retry-After: the request has not run and never will.
    FailUnknown,  ///< 502: nothing is promised.
    FailTimeout   ///< 504: nothing is promised.
};

/// The sends of one request. It never lets a non-idempotent request out again once it may have run.
class RetryController
{
public:
    RetryController(bool isIdempotent, uint32_t maxAttempts, TimePoint deadline);

    /// To be called for every send, also for one that is followed by a continuation elsewhere.
    void recordOutcome(SendOutcome outcome);

    /// Decides after the last noted send. takeRepeat is asked only if a repeat is possible otherwise.
    template <typename TakeRepeat>
    NextStep nextStep(SendOutcome outcome, TimePoint now, TakeRepeat tryAcquireRetry) const
    {
        if (outcome == SendOutcome::Answered)
            return NextStep::Deliver;
        if (this->mayRepeat(outcome, now) && tryAcquireRetry())
            return NextStep::Retry;
        return this->giveUp(outcome, now);
    }

    /// The answer if no runner can be chosen now.
    NextStep stepWithoutRunner(TimePoint now) const { return this->giveUp(SendOutcome::NotConnected, now); }

    bool mayHaveRun() const { return this->possibleRuns > 0; }
    TimePoint deadline() const { return this->end; }

private:
    bool mayRepeat(SendOutcome outcome, TimePoint now) const;
    NextStep giveUp(SendOutcome outcome, TimePoint now) const;

    bool isIdempotent;
    uint32_t maxAttempts;
    TimePoint end;
    /// Sends that may have run.
    uint32_t possibleRuns = 0;
    uint32_t sends = 0;
};

} // namespace eelgrasslift
