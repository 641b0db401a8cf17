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

struct RetryRefused
{
    enum class Reason {
        NotRepeatable, ///< The request may have run and must not run twice.
        Attempts,      ///< The rule's number of attempts is used up.
        Budget,        ///< The target group's retry budget is empty.
        Deadline,      ///< The back-off would end after the deadline.
    };

    Reason reason = Reason::Budget;
};

std::string_view toString(RetryRefused::Reason reason);

/// Limits retries per target group (model or service), so that a failing group is not hit by a multiple of
/// its normal load.
///
/// Bound per group and entry: retries <= budget * requests + 3 + 0.1/s * elapsed time. The constant part
/// lets a group with little traffic retry at all.
class RetryBudget
{
public:
    explicit RetryBudget(RetryRule rule = {});

    void setRule(const RetryRule &rule) { this->rule = rule; }

    /// Counts a first attempt.
    void recordRequest(std::string_view group, TimePoint now);

    /// Asks for a retry after `attempt` attempts (1 or more). Returns the time to wait before the send:
    /// exponential back-off with full jitter, never past the deadline.
    Result<Duration, RetryRefused> requestRetry(std::string_view group, uint32_t attempt, bool isRepeatable,
                                                TimePoint now, TimePoint deadline, Random &random);

    size_t byteSize() const;

private:
    struct Group
    {
        double balance = 0;
        TimePoint updatedAt{};
    };

    Group &groupAt(std::string_view name, TimePoint now);

    RetryRule rule;
    std::map<std::string, Group, std::less<>> groups;
};

} // namespace eelgrasslift
