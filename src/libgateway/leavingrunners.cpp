#include "libgateway/leavingrunners.h"

#include <algorithm>

namespace eelgrasslift {

bool LeavingRunners::add(const RunnerIncarnation &runner)
{
    if (!this->sequenceByRunner.emplace(runner, this->nextSequence).second)
        return false;
    ++this->nextSequence;
    if (this->sequenceByRunner.size() > MaxRunners) {
        this->sequenceByRunner.erase(std::ranges::min_element(this->sequenceByRunner, {},
                                                              [](const auto &item) { return item.second; }));
    }
    return true;
}

std::vector<RunnerIncarnation> LeavingRunners::addSender(const RunnerIncarnation &expected,
                                                         AnswerSender sender,
                                                         std::span<const RunnerEntry> listed)
{
    std::vector<RunnerIncarnation> added;
    if (this->add(expected))
        added.push_back(expected);
    if (sender == AnswerSender::Expected)
        return added;
    for (const RunnerEntry &entry : listed) {
        const RunnerIncarnation runner = RunnerIncarnation::of(entry);
        if (runner.address == expected.address && this->add(runner))
            added.push_back(runner);
    }
    return added;
}

bool LeavingRunners::contains(const RunnerEntry &entry) const
{
    return this->sequenceByRunner.contains(RunnerIncarnation::of(entry));
}

} // namespace eelgrasslift
