#include "libgateway/crashblame.h"

#include <algorithm>
#include <tuple>

namespace eelgrasslift {

namespace {

/// Whether requests that were lost at the runner had both parts.
bool wereInSameRequests(const SuspectPromptPart &left, const SuspectPromptPart &right,
                        const RunnerIncarnation &runner)
{
    const auto leftRequests = left.requestsByRunner.find(runner);
    const auto rightRequests = right.requestsByRunner.find(runner);
    if (leftRequests == left.requestsByRunner.end() || rightRequests == right.requestsByRunner.end())
        return true;
    return std::ranges::any_of(leftRequests->second,
                               [&](uint64_t request) { return rightRequests->second.contains(request); });
}

bool explainsCrashesOf(const SuspectPromptPart &candidate, const SuspectPromptPart &part)
{
    const auto others = std::ranges::count_if(part.runners, [&](const RunnerIncarnation &runner) {
        return !candidate.runners.contains(runner) || !wereInSameRequests(candidate, part, runner);
    });
    return static_cast<size_t>(others) <= MaxCrashDifference;
}

} // namespace

bool CrashBlame::suspects(const Sha256 &part) const
{
    return std::ranges::any_of(this->groups,
                               [&](const std::set<Sha256> &group) { return group.contains(part); });
}

bool CrashBlame::refuses(std::span<const Sha256> parts) const
{
    return std::ranges::any_of(this->groups, [&](const std::set<Sha256> &group) {
        return std::ranges::all_of(group, [&](const Sha256 &suspect) {
            return std::ranges::find(parts, suspect) != parts.end();
        });
    });
}

CrashBlame attributeCrashes(std::vector<SuspectPromptPart> suspects)
{
    std::ranges::sort(suspects, [](const SuspectPromptPart &left, const SuspectPromptPart &right) {
        const auto rank = [](const SuspectPromptPart &part) {
            return std::tuple(part.completedAt.value_or(TimePoint::min()),
                              -static_cast<int64_t>(part.runners.size()), -int64_t{part.position},
                              part.fingerprint);
        };
        return rank(left) < rank(right);
    });
    CrashBlame blame;
    for (const SuspectPromptPart &part : suspects) {
        const auto unexplained = std::ranges::count_if(part.runners, [&](const RunnerIncarnation &runner) {
            return !blame.runners.contains(runner);
        });
        if (!part.isRefusable || static_cast<size_t>(unexplained) < PromptPartCrashLimit ||
            part.requestCount < MinCrashingRequests)
            continue;
        std::set<Sha256> group;
        for (const SuspectPromptPart &candidate : suspects) {
            if (explainsCrashesOf(candidate, part))
                group.insert(candidate.fingerprint);
        }
        blame.groups.push_back(std::move(group));
        blame.runners.insert(part.runners.begin(), part.runners.end());
    }
    return blame;
}

} // namespace eelgrasslift
