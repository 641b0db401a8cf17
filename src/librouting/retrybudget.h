#pragma once

#include "libcore/random.h"
#include "libcore/result.h"
#include "libcore/time.h"
#include "librules/ruleset.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace eelgrasslift {

/// Refusal of a retry by RetryBudget.
struct RetryRefused
{
    enum class Reason {
        NotRepeatable, ///< The request may have run and must not run twice.
        Attempts,      ///< The rule's maximum number of attempts is reached.
        Budget,        ///< The target group's retry budget is empty.
        Deadline,      ///< The back-off would end after the deadline.
    };

    Reason reason = Reason::Budget;
};

/// Stable name for logs, metrics and error documents.
std::string_view toString(RetryRefused::Reason reason);

/// Limits the retries of one entry per target group (model or service), so that retries do not multiply the
/// load on a failing group.
///
/// Bound per group and entry: retries <= budget * requests + 3 + 0.1/s * elapsed time. The terms that do not
/// depend on the requests let a group with little traffic retry at all.
///
/// Single-threaded. The caller passes the time, which must not go backwards.
class RetryBudget
{
public:
    explicit RetryBudget(RetryRule rule = {});

    /// Replaces the rule for all groups; their balances stay.
    void setRule(const RetryRule &rule) { this->rule = rule; }

    /// Counts the first attempt of a request, which adds to the group's budget.
    void recordRequest(std::string_view group, TimePoint now);

    /// Requests a retry after `attempt` attempts (1 or more) and charges it to the budget. Returns the time
    /// to wait before the retry: exponential back-off with full jitter, which ends before the deadline.
    Result<Duration, RetryRefused> requestRetry(std::string_view group, uint32_t attempt, bool isRepeatable,
                                                TimePoint now, TimePoint deadline, Random &random);

    /// Approximate memory use in bytes.
    size_t byteSize() const;

private:
    struct Group
    {
        /// Available retries.
        double balance = 0;
        TimePoint updatedAt{};
    };

    /// Finds or creates a group and adds what it gained from the elapsed time.
    Group &groupAt(std::string_view name, TimePoint now);

    RetryRule rule;
    std::map<std::string, Group, std::less<>> groups;
};

} // namespace eelgrasslift
