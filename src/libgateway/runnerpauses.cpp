#include "libgateway/runnerpauses.h"

#include <algorithm>

namespace eelgrasslift {

namespace {

// Bounds the time between two requests of one gateway after a pause, which grows with the duration of
// generations and the number of gateways.
constexpr double MaxIntervalSeconds = 1.0;

// Pacing below this has no effect, since timers are not more precise.
constexpr Duration MinInterval = std::chrono::milliseconds{1};

// Each interval between requests after a pause is this share of the one before.
constexpr double IntervalReduction = 0.9;

// A waiting request may be woken late by a busy processor; an interval counts as unused after this time
// beyond its end.
constexpr Duration WakeUpMargin = std::chrono::milliseconds{50};

// Time until a runner without a free slot is looked at again.
constexpr Duration FullRetryDelay = std::chrono::milliseconds{10};

// Requests that a runner takes from one gateway during its pause, as specified by the users. The limit
// applies from half a second after the response that asks for the pause; a call takes the remainder of that
// time to arrive.
constexpr uint32_t MaxPauseCalls = 2;
constexpr Duration UnlimitedCallTime = std::chrono::milliseconds{250};

} // namespace

Duration ReturnRate::interval() const
{
    const double seconds = this->gatewayCount * this->requestSeconds / std::max<uint32_t>(this->slots, 1);
    return fromSeconds(std::clamp(seconds, 0.0, MaxIntervalSeconds));
}

bool RunnerPauses::Pause::isOver(TimePoint now) const
{
    return now > this->nextSendAt + this->interval + WakeUpMargin ||
           (now >= this->nextSendAt && this->interval < MinInterval);
}

RunnerPauses::Change RunnerPauses::record(const RunnerEntry &runner, Duration pause, const ReturnRate &rate,
                                          TimePoint now, Random &random)
{
    if (pause <= Duration::zero())
        return Change::None;
    const TimePoint until = now + std::min(pause, MaxRunnerPause);
    auto found = this->pauses.find(runner);
    const bool wasPaused = found != this->pauses.end() && now < found->second.until;
    if (wasPaused && until <= found->second.until)
        return Change::None;
    if (found == this->pauses.end())
        found = this->pauses.emplace(RunnerIncarnation::of(runner), Pause{}).first;
    const Duration interval = rate.interval();
    const auto offset = std::chrono::duration_cast<Duration>(interval * random.uniform());
    Pause &recorded = found->second;
    recorded.until = until;
    recorded.nextSendAt = until + offset;
    recorded.interval = interval;
    if (!wasPaused) {
        recorded.begunAt = now;
        recorded.callsLeft = std::make_shared<uint32_t>(MaxPauseCalls);
    }
    return wasPaused ? Change::Extended : Change::Begun;
}

bool RunnerPauses::isPaused(const RunnerEntry &runner, TimePoint now) const
{
    return this->pausedUntil(runner, now).has_value();
}

std::optional<TimePoint> RunnerPauses::pausedUntil(const RunnerEntry &runner, TimePoint now) const
{
    const auto found = this->pauses.find(runner);
    if (found == this->pauses.end() || now >= found->second.until)
        return std::nullopt;
    return found->second.until;
}

std::optional<PauseCalls> RunnerPauses::reserveCalls(const RunnerEntry &runner, TimePoint now)
{
    if (!this->isPaused(runner, now))
        return PauseCalls{};
    const std::shared_ptr<uint32_t> &left = this->pauses.find(runner)->second.callsLeft;
    if (*left < MaxPauseCalls)
        return std::nullopt;
    return PauseCalls(left);
}

bool RunnerPauses::useCall(const RunnerEntry &runner, PauseCalls &reserved, TimePoint now)
{
    const auto found = this->pauses.find(runner);
    if (found == this->pauses.end() || now >= found->second.until)
        return true;
    const Pause &pause = found->second;
    if (now < pause.begunAt + UnlimitedCallTime || reserved.use(pause.callsLeft))
        return true;
    if (*pause.callsLeft == 0)
        return false;
    --*pause.callsLeft;
    return true;
}

std::optional<TimePoint> RunnerPauses::nextSend(const RunnerEntry &runner, uint32_t activeRequests,
                                                TimePoint now) const
{
    const auto found = this->pauses.find(runner);
    if (found == this->pauses.end() || found->second.isOver(now))
        return std::nullopt;
    if (now < found->second.nextSendAt)
        return found->second.nextSendAt;
    if (activeRequests >= std::max<uint32_t>(runner.slots, 1))
        return now + FullRetryDelay;
    return std::nullopt;
}

void RunnerPauses::recordSend(const RunnerEntry &runner, TimePoint now)
{
    const auto found = this->pauses.find(runner);
    if (found == this->pauses.end())
        return;
    if (found->second.isOver(now)) {
        this->pauses.erase(found);
        return;
    }
    Pause &pause = found->second;
    pause.interval = std::chrono::duration_cast<Duration>(pause.interval * IntervalReduction);
    pause.nextSendAt = std::max(pause.nextSendAt, now + pause.interval);
}

std::vector<RunnerPauses::Cut> RunnerPauses::removeReplaced(
        const std::function<bool(const std::string &id, const std::string &address, int64_t startedAtMs)>
                &isReplaced,
        TimePoint now)
{
    std::vector<Cut> cuts;
    std::erase_if(this->pauses, [&](const auto &item) {
        const auto &[incarnation, pause] = item;
        if (pause.isOver(now))
            return true;
        if (!isReplaced(incarnation.id, incarnation.address, incarnation.startedAtMs))
            return false;
        if (now < pause.until)
            cuts.push_back({incarnation.id, pause.until - now});
        return true;
    });
    return cuts;
}

} // namespace eelgrasslift
