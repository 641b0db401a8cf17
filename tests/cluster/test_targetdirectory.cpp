#include "libcluster/cluster.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;

namespace {

struct Case
{
    const char *name;
    std::vector<DirectoryEvent> events;
    std::optional<TargetAvailability> expected; // std::nullopt: not in the directory
};

VmListReceived list(uint64_t version, bool isLeaving)
{
    return VmListReceived{version, {ListedVm{"runner-1", "127.0.0.1:9001", "trakiya", isLeaving}}};
}

std::optional<TargetAvailability> finalState(const Case &testCase)
{
    TargetDirectory directory;
    for (const DirectoryEvent &event : testCase.events)
        directory.handle(event);
    const auto entry = directory.targets().find("runner-1");
    if (entry == directory.targets().end())
        return std::nullopt;
    return entry->second.state;
}

} // namespace

// Guards against new work for a leaving target when the VM list lags, returns to an older version or omits
// the target.
TEST_CASE("The first sign that a target is leaving overrides a lagging VM list")
{
    const std::string target = "runner-1";
    const auto testCase = GENERATE_COPY(values<Case>({
            {"listed as live", {list(1, false)}, TargetAvailability::Live},
            {"listed as leaving", {list(1, false), list(2, true)}, TargetAvailability::Leaving},
            {"older list after a newer one", {list(2, true), list(1, false)}, TargetAvailability::Leaving},
            {"same list again after a refusal",
             {list(1, false), NewWorkRefused{target}, list(1, false)},
             TargetAvailability::Leaving},
            {"same list and a probe after a refusal",
             {list(1, false), NewWorkRefused{target}, list(1, false), ProbeSucceeded{target}},
             TargetAvailability::Leaving},
            {"newer list without a probe",
             {list(1, false), NewWorkRefused{target}, list(2, false)},
             TargetAvailability::Leaving},
            {"newer list and a probe",
             {list(1, false), NewWorkRefused{target}, list(2, false), ProbeSucceeded{target}},
             TargetAvailability::Live},
            {"report of another entry",
             {list(1, false), LeavingReported{target, 1}},
             TargetAvailability::Leaving},
            {"old report again after reinstatement",
             {list(1, false), LeavingReported{target, 1}, list(2, false), ProbeSucceeded{target},
              LeavingReported{target, 1}},
             TargetAvailability::Live},
            {"connection failure",
             {list(1, false), ConnectionFailed{target}},
             TargetAvailability::Unreachable},
            {"connection failure, then a probe",
             {list(1, false), ConnectionFailed{target}, ProbeSucceeded{target}},
             TargetAvailability::Live},
            {"no longer listed", {list(1, false), VmListReceived{2, {}}}, std::nullopt},
    }));
    INFO(testCase.name);
    CHECK(finalState(testCase) == testCase.expected);
}
