#include "runnernotices.h"

#include "gateway/clock.h"

#include <sstream>

namespace eelgrasslift::soak {

namespace {

// The platform allows two requests, and any number of those that are on their way for half a second.
constexpr Duration PauseReactionTime = std::chrono::milliseconds{500};
constexpr uint32_t MaxArrivalsInPause = 2;

std::string elapsedText(TimePoint from, TimePoint until)
{
    return std::to_string(toMilliseconds(until - from)) + " ms";
}

} // namespace

void RunnerNotices::recordLeaving(const std::string &runner, const Gateway &gateway)
{
    if (this->leavingSince.try_emplace({runner, gateway}, steadyNow()).second)
        this->journal.count("leaving passed on");
}

void RunnerNotices::recordPause(const std::string &runner, const Gateway &gateway, Duration duration)
{
    const TimePoint now = steadyNow();
    this->journal.count("pauses asked for");
    std::erase_if(this->pauses, [now](const Pause &pause) { return pause.until < now; });
    this->pauses.push_back({runner, gateway, now, now + duration});
}

void RunnerNotices::checkArrival(const std::string &requestId, const std::string &runner,
                                 const Gateway &gateway, TimePoint sentAt)
{
    this->checkLeaving(requestId, runner, gateway, sentAt);
    this->checkPauses(requestId, runner, gateway);
}

void RunnerNotices::checkLeaving(const std::string &requestId, const std::string &runner,
                                 const Gateway &gateway, TimePoint sentAt)
{
    const auto found = this->leavingSince.find({runner, gateway});
    const TimePoint now = steadyNow();
    // A generation that began before may return to the runner.
    if (found == this->leavingSince.end() || sentAt <= found->second + DrainTime ||
        gateway->wasFrozenWithin(found->second, now))
        return;
    std::ostringstream text;
    text << "reached " << runner << " " << elapsedText(found->second, now) << " after " << gateway->name
         << " had passed on that it is leaving";
    this->journal.recordBreach(requestId, text.str());
}

void RunnerNotices::checkPauses(const std::string &requestId, const std::string &runner,
                                const Gateway &gateway)
{
    const TimePoint now = steadyNow();
    for (Pause &pause : this->pauses) {
        const bool isConcerned = pause.runner == runner && pause.gateway == gateway;
        const bool isBinding = now >= pause.answeredAt + PauseReactionTime && now <= pause.until;
        if (!isConcerned || !isBinding || gateway->wasFrozenWithin(pause.answeredAt, now))
            continue;
        if (++pause.arrivals != MaxArrivalsInPause + 1)
            continue;
        std::ostringstream text;
        text << "request too many at " << runner << ", " << elapsedText(pause.answeredAt, now)
             << " after it had asked " << gateway->name << " for a pause of "
             << elapsedText(pause.answeredAt, pause.until);
        this->journal.recordBreach(requestId, text.str());
    }
}

} // namespace eelgrasslift::soak
