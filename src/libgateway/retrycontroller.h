#pragma once

#include "libgateway/servingconfig.h"

namespace eelgrasslift {

/// Result of one send of a request to a runner.
enum class SendOutcome {
    NotConnected,    ///< No byte was sent: not run.
    RefusedByRunner, ///< The runner states that it did not run the request.
    WrongRunner,     ///< Another runner has the address now: not run.
    Failed,          ///< The runner ran the request and responded with a server error.
    Unknown,         ///< Timeout, lost connection, or a response that leaves open whether the request ran.
    Answered         ///< The runner sent a complete response.
};

/// Whether a send with this outcome cannot have run the request.
constexpr bool isCertainlyNotRun(SendOutcome outcome)
{
    return outcome == SendOutcome::NotConnected || outcome == SendOutcome::RefusedByRunner ||
           outcome == SendOutcome::WrongRunner;
}

/// What a gateway does with a request after a send ended.
enum class NextStep {
    Deliver,      ///< Forward the runner's response to the caller.
    Retry,        ///< Send the request to another runner.
    RefuseNotRun, ///< Respond with 503 and Retry-After: the request has not run and will not run.
    FailUnknown,  ///< Respond with 502: the request may have run.
    FailTimeout   ///< Respond with 504: the deadline passed, and the request may have run.
};

/// Records the sends of one request and decides whether it is retried or how it ends. A non-idempotent
/// request is never sent again once it may have run. No request is sent more than four times, or again with
/// less than 30 ms before its deadline.
class RetryController
{
public:
    /// maxAttempts limits the sends that may have run the request; 0 counts as 1.
    RetryController(bool isIdempotent, uint32_t maxAttempts, TimePoint deadline);

    /// Records the outcome of a send; called for every send, including one that is followed by a continuation
    /// at another runner.
    void recordOutcome(SendOutcome outcome);

    /// Returns what follows the recorded send with this outcome. Calls tryAcquireRetry, which takes a retry
    /// out of the budget and returns whether there was one, only if nothing else rules out a retry.
    template <typename TryAcquireRetry>
    NextStep nextStep(SendOutcome outcome, TimePoint now, TryAcquireRetry tryAcquireRetry) const
    {
        if (outcome == SendOutcome::Answered)
            return NextStep::Deliver;
        if (this->mayRetry(outcome, now) && tryAcquireRetry())
            return NextStep::Retry;
        return this->stepWithoutRetry(outcome, now);
    }

    /// Returns how the request ends if no runner can be chosen for its next send.
    NextStep stepWithoutRunner(TimePoint now) const
    {
        return this->stepWithoutRetry(SendOutcome::NotConnected, now);
    }

    /// Whether the route allows one more runner beside the current one, whose send is not recorded yet.
    bool allowsAnotherRunner() const { return this->possibleRuns + 1 < this->maxAttempts; }
    /// Whether the route allows one more runner after those whose sends are recorded.
    bool allowsNextRunner() const { return this->possibleRuns < this->maxAttempts; }
    /// Whether any recorded send may have run the request.
    bool mayHaveRun() const { return this->possibleRuns > 0; }
    TimePoint deadline() const { return this->requestDeadline; }

private:
    bool mayRetry(SendOutcome outcome, TimePoint now) const;
    NextStep stepWithoutRetry(SendOutcome outcome, TimePoint now) const;
    bool isIdempotent;
    uint32_t maxAttempts;
    TimePoint requestDeadline;
    /// Number of sends that may have run the request.
    uint32_t possibleRuns = 0;
    uint32_t sendCount = 0;
};

} // namespace eelgrasslift
