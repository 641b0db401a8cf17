#include "librouting/retrybudget.h"

#include <algorithm>

namespace eelgrasslift {

namespace {

// Terms of the bound in the class comment that do not depend on requests, in retries and retries per second.
constexpr double MinRetries = 3;
constexpr double MinRetryRate = 0.1;
// Unused budget accumulates over at most this many requests, so that a long time without failures does not
// allow a retry storm.
constexpr double MaxAccumulatedRequests = 200;

} // namespace

std::string_view toString(RetryRefused::Reason reason)
{
    switch (reason) {
    case RetryRefused::Reason::NotRepeatable:
        return "not-repeatable";
    case RetryRefused::Reason::Attempts:
        return "attempts";
    case RetryRefused::Reason::Budget:
        return "budget";
    case RetryRefused::Reason::Deadline:
        return "deadline";
    }
    return "unknown";
}

RetryBudget::RetryBudget(RetryRule rule)
    : rule(std::move(rule))
{}

RetryBudget::Group &RetryBudget::groupAt(std::string_view name, TimePoint now)
{
    auto entry = this->groups.find(name);
    if (entry == this->groups.end())
        entry = this->groups.emplace(std::string(name), Group{MinRetries, now}).first;
    Group &group = entry->second;
    if (group.balance < MinRetries) {
        const double gained = toSeconds(now - group.updatedAt) * MinRetryRate;
        group.balance = std::min(MinRetries, group.balance + gained);
    }
    group.updatedAt = now;
    return group;
}

void RetryBudget::recordRequest(std::string_view group, TimePoint now)
{
    Group &entry = this->groupAt(group, now);
    const double maxBalance = MinRetries + this->rule.budget * MaxAccumulatedRequests;
    entry.balance = std::min(maxBalance, entry.balance + this->rule.budget);
}

Result<Duration, RetryRefused> RetryBudget::requestRetry(std::string_view group, uint32_t attempt,
                                                         bool isRepeatable, TimePoint now, TimePoint deadline,
                                                         Random &random)
{
    if (!isRepeatable)
        return RetryRefused{RetryRefused::Reason::NotRepeatable};
    if (attempt >= this->rule.attempts)
        return RetryRefused{RetryRefused::Reason::Attempts};
    const uint32_t doublings = std::min(attempt > 0 ? attempt - 1 : 0, 20U);
    const Duration maxWait =
            std::min(this->rule.backoffMin * (int64_t{1} << doublings), this->rule.backoffMax);
    const Duration wait = fromSeconds(toSeconds(maxWait) * random.uniform());
    if (now + wait >= deadline)
        return RetryRefused{RetryRefused::Reason::Deadline};
    Group &entry = this->groupAt(group, now);
    if (entry.balance < 1)
        return RetryRefused{RetryRefused::Reason::Budget};
    entry.balance -= 1;
    return wait;
}

size_t RetryBudget::byteSize() const
{
    return sizeof(*this) + this->groups.size() * (sizeof(Group) + sizeof(std::string) + 4 * sizeof(void *));
}

} // namespace eelgrasslift
