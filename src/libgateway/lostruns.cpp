#include "libgateway/lostruns.h"

#include <algorithm>
#include <set>

namespace eelgrasslift {

std::string_view toString(RunStage stage)
{
    switch (stage) {
    case RunStage::Unanswered:
        return "unanswered";
    case RunStage::Beginning:
        return "beginning";
    case RunStage::Running:
        return "running";
    }
    return "unknown";
}

std::string_view toString(RunLoss loss)
{
    switch (loss) {
    case RunLoss::BrokenOff:
        return "broken-off";
    case RunLoss::Silent:
        return "silent";
    case RunLoss::EndedUnframed:
        return "ended-unframed";
    }
    return "unknown";
}

void LostRuns::add(LostRun run)
{
    this->dropExpired(run.lostAt);
    if (this->runs.size() >= MaxRuns)
        this->runs.erase(this->runs.begin());
    this->runs.push_back(std::move(run));
}

std::vector<LostRun> LostRuns::takeEnded(const RunnerIncarnation &runner, TimePoint lostUntil)
{
    return this->takeIf([&](const LostRun &run) { return run.lostAt <= lostUntil && run.runner == runner; });
}

std::vector<LostRun> LostRuns::takeEnded(const std::function<bool(const RunnerIncarnation &)> &hasEnded)
{
    return this->takeIf(
            [&](const LostRun &run) { return run.loss != RunLoss::EndedUnframed && hasEnded(run.runner); });
}

std::vector<LostRun> LostRuns::takeCompleted(const RunnerIncarnation &runner)
{
    return this->takeIf(
            [&](const LostRun &run) { return run.loss == RunLoss::EndedUnframed && run.runner == runner; });
}

void LostRuns::dropExpired(TimePoint now)
{
    std::erase_if(this->runs, [now](const LostRun &run) { return now - run.lostAt > MaxAge; });
}

size_t LostRuns::runnerCount(const Sha256 &fingerprint) const
{
    std::set<RunnerIncarnation> runners;
    for (const LostRun &run : this->runs) {
        if (run.fingerprint == fingerprint && run.loss != RunLoss::EndedUnframed)
            runners.insert(run.runner);
    }
    return runners.size();
}

std::vector<LostRun> LostRuns::takeIf(const std::function<bool(const LostRun &)> &condition)
{
    const auto first = std::stable_partition(this->runs.begin(), this->runs.end(),
                                             [&](const LostRun &run) { return !condition(run); });
    std::vector<LostRun> taken(std::make_move_iterator(first), std::make_move_iterator(this->runs.end()));
    this->runs.erase(first, this->runs.end());
    return taken;
}

} // namespace eelgrasslift
