#include "librouting/targetload.h"

#include <algorithm>
#include <cmath>

namespace eelgrasslift {

namespace {

constexpr double ReportHalfLifeSeconds = 2;
constexpr Duration PeerUseLifetime = std::chrono::seconds{5};
// Two report intervals of the engines.
constexpr Duration QueueingLifetime = std::chrono::seconds{1};
constexpr Duration ForecastInterval = std::chrono::milliseconds{100};

double faded(double value, Duration age)
{
    return value * std::exp2(-std::max(toSeconds(age), 0.0) / ReportHalfLifeSeconds);
}

} // namespace

uint32_t TargetLoad::start(const LengthProfile &profile, const SelectRequest &request, TimePoint now)
{
    const auto free =
            std::find_if(this->runs.begin(), this->runs.end(), [](const OwnRun &run) { return !run.isUsed; });
    const auto slot = static_cast<uint32_t>(free - this->runs.begin());
    if (free == this->runs.end())
        this->runs.emplace_back();
    OwnRun &run = this->runs[slot];
    run.profile = &profile;
    run.promptTokens = static_cast<float>(request.promptTokens);
    run.produced = 0;
    run.maxTokens = static_cast<float>(request.maxTokens);
    run.memoryPerToken = static_cast<float>(request.memoryPerToken);
    run.isUsed = true;
    run.isAlone = request.requiresIsolation;
    run.startedAt = now;
    ++this->ownCount;
    this->alone += request.requiresIsolation ? 1 : 0;
    this->memoryOfOwn += run.promptTokens * run.memoryPerToken;
    this->isForecastStale = true;
    return slot;
}

void TargetLoad::recordProgress(uint32_t slot, uint32_t tokens)
{
    OwnRun &run = this->runs[slot];
    this->memoryOfOwn += (static_cast<float>(tokens) - run.produced) * run.memoryPerToken;
    run.produced = static_cast<float>(tokens);
}

void TargetLoad::finish(uint32_t slot)
{
    OwnRun &run = this->runs[slot];
    this->memoryOfOwn -= (run.promptTokens + run.produced) * run.memoryPerToken;
    run.isUsed = false;
    --this->ownCount;
    this->alone -= run.isAlone ? 1 : 0;
    // Rounding errors of many additions would otherwise stay on an idle target.
    if (this->ownCount == 0)
        this->memoryOfOwn = 0;
    this->isForecastStale = true;
}

bool TargetLoad::applyReport(const LoadReport &next, TimePoint now)
{
    const bool isRestart = this->receivedAt && next.incarnation != this->report.incarnation;
    if (this->receivedAt && !isRestart && next.reportedAtMs <= this->report.reportedAtMs)
        return false;
    const int64_t delay = toMilliseconds(now.time_since_epoch()) - next.reportedAtMs;
    if (!this->receivedAt || isRestart)
        this->smallestDelayMs = delay;
    this->smallestDelayMs = std::min(this->smallestDelayMs, delay);
    if (this->receivedAt && !isRestart && next.preemptions > this->report.preemptions) {
        const auto added = static_cast<double>(next.preemptions - this->report.preemptions);
        this->preemptions = faded(this->preemptions, now - this->preemptionsAt) + added;
        this->preemptionsAt = now;
    }
    this->report = next;
    this->receivedAt = now;
    this->reportTime = now - std::chrono::milliseconds{delay - this->smallestDelayMs};

    double ownCountThen = 0;
    double ownMemoryThen = 0;
    for (const OwnRun &run : this->runs) {
        if (!run.isUsed || run.startedAt > this->reportTime)
            continue;
        ++ownCountThen;
        ownMemoryThen += (run.promptTokens + run.produced) * run.memoryPerToken;
    }
    this->othersAtReport = std::max(0.0, next.running + next.waiting - ownCountThen);
    this->otherMemoryAtReport = std::max(0.0, next.memoryUsed - ownMemoryThen);
    return true;
}

void TargetLoad::setPeerUsage(uint32_t peer, const TargetUsage &use, TimePoint now)
{
    const PeerUse next{peer, use.inFlight, static_cast<float>(use.memory), use.isReserved, now};
    const auto known = std::find_if(this->peers.begin(), this->peers.end(),
                                    [peer](const PeerUse &entry) { return entry.peer == peer; });
    if (known == this->peers.end())
        this->peers.push_back(next);
    else
        *known = next;
}

void TargetLoad::removePeerUse(uint32_t peer)
{
    std::erase_if(this->peers, [peer](const PeerUse &entry) { return entry.peer == peer; });
}

void TargetLoad::reset()
{
    this->peers.clear();
    this->receivedAt.reset();
    this->othersAtReport = 0;
    this->otherMemoryAtReport = 0;
    this->preemptions = 0;
}

double TargetLoad::otherInFlight(TimePoint now) const
{
    double gossiped = 0;
    for (const PeerUse &peer : this->peers)
        gossiped += now - peer.heardAt < PeerUseLifetime ? peer.inFlight : 0;
    if (!this->receivedAt)
        return gossiped;
    return gossiped + faded(this->othersAtReport - gossiped, now - this->reportTime);
}

double TargetLoad::otherMemory(TimePoint now) const
{
    double gossiped = 0;
    for (const PeerUse &peer : this->peers)
        gossiped += now - peer.heardAt < PeerUseLifetime ? peer.memory : 0;
    if (!this->receivedAt)
        return gossiped;
    const double blended = gossiped + faded(this->otherMemoryAtReport - gossiped, now - this->reportTime);
    return std::max(gossiped, blended);
}

double TargetLoad::memoryTotal(double configured) const
{
    const bool isReported = this->receivedAt && this->report.memoryTotal > 0;
    return isReported ? std::min(configured, this->report.memoryTotal) : configured;
}

bool TargetLoad::isQueueing(TimePoint now) const
{
    return this->receivedAt && this->report.waiting > 0 && now - this->reportTime < QueueingLifetime;
}

bool TargetLoad::isReservedByPeer(TimePoint now) const
{
    return std::any_of(this->peers.begin(), this->peers.end(), [now](const PeerUse &peer) {
        return peer.isReserved && now - peer.heardAt < PeerUseLifetime;
    });
}

void TargetLoad::addForecast(Forecast &forecast, const OwnRun &run)
{
    for (size_t i = 0; i < Horizons.size(); ++i) {
        const double length = run.produced + Horizons[i];
        if (i > 0 && length >= run.maxTokens)
            return;
        const double alive = i == 0 ? 1.0 : run.profile->survival(run.produced, length);
        forecast[i] += alive * (run.promptTokens + length) * run.memoryPerToken;
    }
}

TargetLoad::Forecast TargetLoad::requestForecast(const LengthProfile &profile, const SelectRequest &request)
{
    OwnRun run;
    run.profile = &profile;
    run.promptTokens = static_cast<float>(request.promptTokens);
    run.maxTokens = static_cast<float>(request.maxTokens);
    run.memoryPerToken = static_cast<float>(request.memoryPerToken);
    Forecast forecast{};
    addForecast(forecast, run);
    return forecast;
}

const TargetLoad::Forecast &TargetLoad::ownForecast(TimePoint now)
{
    if (!this->isForecastStale && now - this->forecastAt < ForecastInterval)
        return this->forecast;
    this->forecast = {};
    for (const OwnRun &run : this->runs) {
        if (run.isUsed)
            addForecast(this->forecast, run);
    }
    this->isForecastStale = false;
    this->forecastAt = now;
    return this->forecast;
}

double TargetLoad::preemptionLevel(TimePoint now) const
{
    return faded(this->preemptions, now - this->preemptionsAt);
}

size_t TargetLoad::byteSize() const
{
    return sizeof(*this) + this->runs.capacity() * sizeof(OwnRun) + this->peers.capacity() * sizeof(PeerUse);
}

} // namespace eelgrasslift
