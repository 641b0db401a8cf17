#include "librouting/outlierdetector.h"

#include <algorithm>
#include <cmath>

namespace eelgrasslift {

namespace {

constexpr double PenaltyHalfLifeSeconds = 10;
// Three failures within the half-life bring the penalty close to 1.
constexpr double PenaltyPerFailure = 0.35;

double decayed(double level, Duration age)
{
    return level * std::exp2(-toSeconds(age) / PenaltyHalfLifeSeconds);
}

} // namespace

OutlierDetector::OutlierDetector(OutlierOptions options)
    : options(options)
{}

void OutlierDetector::recordSuccess(std::string_view target, TimePoint now)
{
    const auto entry = this->records.find(target);
    if (entry == this->records.end())
        return;
    Record &record = entry->second;
    // A run that began before the ejection is no evidence that the target has recovered.
    if (record.isEjected && !record.probeStarted)
        return;
    record.isEjected = false;
    record.probeStarted.reset();
    record.consecutiveFailures = 0;
    if (decayed(record.failureLevel, now - record.failureLevelAt) < 0.05)
        this->records.erase(entry);
}

void OutlierDetector::recordFailure(std::string_view target, TimePoint now)
{
    Record &record = this->records.try_emplace(std::string(target)).first->second;
    this->raisePenalty(record, now);
    ++record.consecutiveFailures;
    if (record.isEjected && !record.probeStarted)
        return;
    if (record.probeStarted || record.consecutiveFailures >= this->options.failureThreshold)
        this->eject(record, now);
}

void OutlierDetector::recordStall(std::string_view target, TimePoint now)
{
    Record &record = this->records.try_emplace(std::string(target)).first->second;
    this->raisePenalty(record, now);
    if (!record.isEjected || record.probeStarted)
        this->eject(record, now);
}

void OutlierDetector::raisePenalty(Record &record, TimePoint now) const
{
    record.failureLevel =
            std::min(1.0, decayed(record.failureLevel, now - record.failureLevelAt) + PenaltyPerFailure);
    record.failureLevelAt = now;
}

void OutlierDetector::eject(Record &record, TimePoint now) const
{
    const uint32_t doublings = std::min(record.ejectionCount, 16U);
    const Duration ejectionTime = std::min(this->options.initialEjectionTime * (int64_t{1} << doublings),
                                           this->options.maxEjectionTime);
    ++record.ejectionCount;
    record.isEjected = true;
    record.probeStarted.reset();
    record.consecutiveFailures = 0;
    record.ejectedUntil = now + ejectionTime;
}

bool OutlierDetector::beginProbe(std::string_view target, TimePoint now)
{
    if (this->state(target, now) != State::ProbeDue)
        return false;
    this->records.find(target)->second.probeStarted = now;
    return true;
}

void OutlierDetector::cancelProbe(std::string_view target)
{
    const auto entry = this->records.find(target);
    if (entry != this->records.end())
        entry->second.probeStarted.reset();
}

OutlierDetector::State OutlierDetector::state(std::string_view target, TimePoint now) const
{
    if (this->records.empty())
        return State::Available;
    const auto entry = this->records.find(target);
    if (entry == this->records.end() || !entry->second.isEjected)
        return State::Available;
    const Record &record = entry->second;
    if (record.probeStarted && now - *record.probeStarted < this->options.probeTimeout)
        return State::Probing;
    return now < record.ejectedUntil ? State::Ejected : State::ProbeDue;
}

std::optional<TimePoint> OutlierDetector::ejectedUntil(std::string_view target) const
{
    const auto entry = this->records.find(target);
    if (entry == this->records.end() || !entry->second.isEjected)
        return std::nullopt;
    return entry->second.ejectedUntil;
}

double OutlierDetector::penalty(std::string_view target, TimePoint now) const
{
    if (this->records.empty())
        return 0;
    const auto entry = this->records.find(target);
    if (entry == this->records.end())
        return 0;
    return decayed(entry->second.failureLevel, now - entry->second.failureLevelAt);
}

void OutlierDetector::remove(std::string_view target)
{
    const auto entry = this->records.find(target);
    if (entry != this->records.end())
        this->records.erase(entry);
}

} // namespace eelgrasslift
