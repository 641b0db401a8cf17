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
    bool hasBudget = true;
    std::vector<SendOutcome> sends;
    NextStep expected = NextStep::RefuseNotRun;
};

const std::vector<Case> Cases{
        {"a refusal by the runner is repeated",
         false,
         1,
         true,
         {SendOutcome::RefusedByRunner},
         NextStep::Retry},
        {"no budget, not run", false, 1, false, {SendOutcome::NotConnected}, NextStep::RefuseNotRun},
        {"a non-idempotent request that may have run is never sent again",
         false,
         3,
         true,
         {SendOutcome::Unknown},
         NextStep::FailUnknown},
        {"an idempotent request is sent again", true, 2, true, {SendOutcome::Unknown}, NextStep::Retry},
        {"its attempts are used up", true, 1, true, {SendOutcome::Unknown}, NextStep::FailUnknown},
        {"the runner's own failure is delivered", false, 1, true, {SendOutcome::Failed}, NextStep::Deliver},
        // Guards against a second run: a run broke off, the copy of its memory was refused elsewhere.
        {"a refused continuation does not make the request new",
         false,
         2,
         true,
         {SendOutcome::Unknown, SendOutcome::RefusedByRunner},
         NextStep::FailUnknown},
        // Guards against a 503 for a request that has run.
        {"no promise after a possible run",
         false,
         1,
         true,
         {SendOutcome::Unknown, SendOutcome::NotConnected},
         NextStep::FailUnknown},
};

} // namespace

TEST_CASE("A call plan never repeats what may have run twice", "[callplan]")
{
    const Case &row = GENERATE(from_range(Cases));
    INFO(row.name);
    RetryController plan(row.isIdempotent, row.maxAttempts, Start + 1s);
    for (const SendOutcome outcome : row.sends)
        plan.recordOutcome(outcome);
    const NextStep step = plan.nextStep(row.sends.back(), Start + 10ms, [&] { return row.hasBudget; });
    CHECK(step == row.expected);
}

TEST_CASE("A call plan ends with its deadline", "[callplan]")
{
    RetryController plan(true, 3, Start + 100ms);
    plan.recordOutcome(SendOutcome::Unknown);
    const auto always = [] { return true; };
    CHECK(plan.nextStep(SendOutcome::Unknown, Start + 90ms, always) == NextStep::FailUnknown);
    CHECK(plan.nextStep(SendOutcome::Unknown, Start + 101ms, always) == NextStep::FailTimeout);
}
