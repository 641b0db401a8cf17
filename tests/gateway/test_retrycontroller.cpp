#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{};

struct Case
{
    std::string name;
    bool isIdempotent = false;
    uint32_t maxAttempts = 1;
    bool isRetryAvailable = true;
    std::vector<SendOutcome> sends;
    NextStep expected = NextStep::RefuseNotRun;
};

const std::vector<Case> Cases{
        {"a request that its runner refused is retried",
         false,
         1,
         true,
         {SendOutcome::RefusedByRunner},
         NextStep::Retry},
        {"a request that has not run is refused without a retry budget",
         false,
         1,
         false,
         {SendOutcome::NotConnected},
         NextStep::RefuseNotRun},
        {"a non-idempotent request that may have run is never sent again",
         false,
         3,
         true,
         {SendOutcome::Unknown},
         NextStep::FailUnknown},
        {"an idempotent request is retried", true, 2, true, {SendOutcome::Unknown}, NextStep::Retry},
        {"an idempotent request fails after its last attempt",
         true,
         1,
         true,
         {SendOutcome::Unknown},
         NextStep::FailUnknown},
        {"an error answer of the runner is forwarded",
         false,
         1,
         true,
         {SendOutcome::Failed},
         NextStep::Deliver},
        // Guards against a second run: the first one was interrupted, and the runner with the copy of its
        // memory refused to continue it.
        {"a request is not retried after a refused continuation",
         false,
         2,
         true,
         {SendOutcome::Unknown, SendOutcome::RefusedByRunner},
         NextStep::FailUnknown},
        // Guards against a 503, which states that a request has not run, for one that may have run.
        {"a request that may have run is not answered as not run",
         false,
         1,
         true,
         {SendOutcome::Unknown, SendOutcome::NotConnected},
         NextStep::FailUnknown},
};

} // namespace

TEST_CASE("A request that may have run is retried only if it is idempotent", "[retrycontroller]")
{
    const Case &row = GENERATE(from_range(Cases));
    INFO(row.name);
    RetryController controller(row.isIdempotent, row.maxAttempts, Start + 1s);
    for (const SendOutcome outcome : row.sends)
        controller.recordOutcome(outcome);
    const NextStep step =
            controller.nextStep(row.sends.back(), Start + 10ms, [&] { return row.isRetryAvailable; });
    CHECK(step == row.expected);
}

TEST_CASE("A request is not retried shortly before its deadline", "[retrycontroller]")
{
    RetryController controller(true, 3, Start + 100ms);
    controller.recordOutcome(SendOutcome::Unknown);
    const auto always = [] { return true; };
    CHECK(controller.nextStep(SendOutcome::Unknown, Start + 90ms, always) == NextStep::FailUnknown);
    CHECK(controller.nextStep(SendOutcome::Unknown, Start + 101ms, always) == NextStep::FailTimeout);
}
