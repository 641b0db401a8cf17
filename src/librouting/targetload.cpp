#include "librouting/targetload.h"

#include <algorithm>
#include <cmath>

namespace eelgrasslift {

namespace {

constexpr double ReportHalfLifeSeconds = 2;
constexpr Duration PeerUsageTimeout = std::chrono::seconds{5};
// Two report intervals of an engine.
constexpr Duration WaitingReportLifetime = std::chrono::seconds{1};
constexpr Duration ForecastInterval = std::chrono::milliseconds{100};

double decayed(double value, Duration age)
{
    return value * std::exp2(-std::max(toSeconds(age), 0.0) / ReportHalfLifeSeconds);
}

} // namespace

uint32_t TargetLoad::start(const LengthDistribution &distribution, const SelectRequest &request,
                           TimePoint now)
{
    const auto freeSlot =
            std::find_if(this->runs.begin(), this->runs.end(), [](const OwnRun &run) { return !run.isUsed; });
    const auto slot = static_cast<uint32_t>(freeSlot - this->runs.begin());
    if (freeSlot == this->runs.end())
        this->runs.emplace_back();
    OwnRun &run = this->runs[slot];
    run.distribution = &distribution;
    run.promptTokens = static_cast<float>(request.promptTokens);
    run.generatedTokens = 0;
    run.maxTokens = static_cast<float>(request.maxTokens);
    run.memoryPerToken = static_cast<float>(request.memoryPerToken);
    run.isUsed = true;
    run.isIsolated = request.requiresIsolation;
    run.startedAt = now;
    ++this->ownRunCount;
    this->isolatedRuns += request.requiresIsolation ? 1 : 0;
    this->ownRunMemory += run.promptTokens * run.memoryPerToken;
    this->isForecastStale = true;
    return slot;
}

void TargetLoad::recordProgress(uint32_t slot, uint32_t tokens)
{
    OwnRun &run = this->runs[slot];
    this->ownRunMemory += (static_cast<float>(tokens) - run.generatedTokens) * run.memoryPerToken;
    run.generatedTokens = static_cast<float>(tokens);
}

void TargetLoad::finish(uint32_t slot)
{
    OwnRun &run = this->runs[slot];
    this->ownRunMemory -= (run.promptTokens + run.generatedTokens) * run.memoryPerToken;
    run.isUsed = false;
    --this->ownRunCount;
    this->isolatedRuns -= run.isIsolated ? 1 : 0;
    // Otherwise the rounding errors of many additions would remain on an idle target.
    if (this->ownRunCount == 0)
        this->ownRunMemory = 0;
    this->isForecastStale = true;
}

bool TargetLoad::applyReport(const LoadReport &next, TimePoint now)
{
    const bool isRestart = this->receivedAt && next.incarnation != this->report.incarnation;
    if (this->receivedAt && !isRestart && next.reportedAtMs <= this->report.reportedAtMs)
        return false;
    const int64_t delay = toMilliseconds(now.time_since_epoch()) - next.reportedAtMs;
    if (!this->receivedAt || isRestart)
        this->minDelayMs = delay;
    this->minDelayMs = std::min(this->minDelayMs, delay);
    if (this->receivedAt && !isRestart && next.preemptions > this->report.preemptions) {
        const auto added = static_cast<double>(next.preemptions - this->report.preemptions);
        this->preemptions = decayed(this->preemptions, now - this->preemptionsAt) + added;
        this->preemptionsAt = now;
    }
    this->report = next;
    this->receivedAt = now;
    this->reportTime = now - std::chrono::milliseconds{delay - this->minDelayMs};

    double ownRunsAtReport = 0;
    double ownMemoryAtReport = 0;
    for (const OwnRun &run : this->runs) {
        if (!run.isUsed || run.startedAt > this->reportTime)
            continue;
        ++ownRunsAtReport;
        ownMemoryAtReport += (run.promptTokens + run.generatedTokens) * run.memoryPerToken;
    }
    this->otherRequestsAtReport = std::max(0.0, next.running + next.waiting - ownRunsAtReport);
    this->otherMemoryAtReport = std::max(0.0, next.memoryUsed - ownMemoryAtReport);
    return true;
}

void TargetLoad::setPeerUsage(uint32_t peer, const TargetUsage &usage, TimePoint now)
{
    const PeerUsage next{peer, usage.inFlight, static_cast<float>(usage.memory), usage.isReserved, now};
    const auto existing = std::find_if(this->peers.begin(), this->peers.end(),
                                       [peer](const PeerUsage &item) { return item.peer == peer; });
    if (existing == this->peers.end())
        this->peers.push_back(next);
    else
        *existing = next;
}

void TargetLoad::removePeerUsage(uint32_t peer)
{
    std::erase_if(this->peers, [peer](const PeerUsage &item) { return item.peer == peer; });
}

void TargetLoad::reset()
{
    this->peers.clear();
    this->receivedAt.reset();
    this->otherRequestsAtReport = 0;
    this->otherMemoryAtReport = 0;
    this->preemptions = 0;
}

double TargetLoad::otherInFlight(TimePoint now) const
{
    double gossiped = 0;
    for (const PeerUsage &peer : this->peers)
        gossiped += now - peer.updatedAt < PeerUsageTimeout ? peer.inFlight : 0;
    if (!this->receivedAt)
        return gossiped;
    return gossiped + decayed(this->otherRequestsAtReport - gossiped, now - this->reportTime);
}

double TargetLoad::otherMemory(TimePoint now) const
{
    double gossiped = 0;
    for (const PeerUsage &peer : this->peers)
        gossiped += now - peer.updatedAt < PeerUsageTimeout ? peer.memory : 0;
    if (!this->receivedAt)
        return gossiped;
    const double blended = gossiped + decayed(this->otherMemoryAtReport - gossiped, now - this->reportTime);
    return std::max(gossiped, blended);
}

double TargetLoad::memoryTotal(double configured) const
{
    const bool isReported = this->receivedAt && this->report.memoryTotal > 0;
    return isReported ? std::min(configured, this->report.memoryTotal) : configured;
}

bool TargetLoad::isQueueing(TimePoint now) const
{
    return this->receivedAt && this->report.waiting > 0 && now - this->reportTime < WaitingReportLifetime;
}

bool TargetLoad::isReservedByPeer(TimePoint now) const
{
    return std::any_of(this->peers.begin(), this->peers.end(), [now](const PeerUsage &peer) {
        return peer.isReserved && now - peer.updatedAt < PeerUsageTimeout;
    });
}

void TargetLoad::addForecast(Forecast &forecast, const OwnRun &run)
{
    for (size_t i = 0; i < Horizons.size(); ++i) {
        const double length = run.generatedTokens + Horizons[i];
        if (i > 0 && length >= run.maxTokens)
            return;
        const double probability = i == 0 ? 1.0 : run.distribution->survival(run.generatedTokens, length);
        forecast[i] += probability * (run.promptTokens + length) * run.memoryPerToken;
    }
}

TargetLoad::Forecast TargetLoad::requestForecast(const LengthDistribution &distribution,
                                                 const SelectRequest &request)
{
    OwnRun run;
    run.distribution = &distribution;
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
    return decayed(this->preemptions, now - this->preemptionsAt);
}

size_t TargetLoad::byteSize() const
{
    return sizeof(*this) + this->runs.capacity() * sizeof(OwnRun) +
           this->peers.capacity() * sizeof(PeerUsage);
}

} // namespace eelgrasslift
