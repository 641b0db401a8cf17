#include "libserving/crashquarantine.h"

namespace eelgrasslift {

namespace {

WallTime addDuration(WallTime time, Duration duration)
{
    return time + std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

} // namespace

Sha256 requestFingerprint(std::string_view account, std::string_view modelOrService, std::string_view body)
{
    std::string text;
    for (const std::string_view part : {account, modelOrService, body})
        text.append(std::to_string(part.size())).append(":").append(part);
    return sha256(text);
}

CrashQuarantine::CrashQuarantine(QuarantineSettings settings)
    : settings(settings)
{}

QuarantineVerdict CrashQuarantine::admit(const Sha256 &fingerprint, const Instant &instant)
{
    this->dropExpired(instant);
    const uint32_t deaths = this->deathsOf(fingerprint, instant);
    if (deaths >= this->effectiveDeathLimit())
        return RefuseQuarantined{this->marksByFingerprint.at(fingerprint).until};
    if (deaths > 0)
        return RunIsolated{};
    return RunNormally{};
}

bool CrashQuarantine::isTargetAvailable(std::string_view target, const Instant &instant) const
{
    return std::none_of(this->reservations.begin(), this->reservations.end(), [&](const auto &item) {
        return item.second.target == target && item.second.until > instant.now;
    });
}

void CrashQuarantine::requestStarted(uint64_t request, const Sha256 &fingerprint, std::string_view target,
                                     bool isIsolated)
{
    const auto process = this->processes.find(target);
    InFlightRequest run{fingerprint, std::string{target}, isIsolated, std::nullopt, std::nullopt, false};
    if (process != this->processes.end())
        run.incarnation = process->second.incarnation;
    this->inFlight[request] = std::move(run);
}

void CrashQuarantine::isolationLost(uint64_t request)
{
    const auto found = this->inFlight.find(request);
    if (found != this->inFlight.end())
        found->second.isIsolated = false;
}

void CrashQuarantine::requestFinished(uint64_t request, bool isComplete, const Instant &instant)
{
    const auto found = this->inFlight.find(request);
    if (found == this->inFlight.end())
        return;
    if (!isComplete && found->second.lostAt) {
        found->second.hasEnded = true;
        return;
    }
    const Sha256 fingerprint = found->second.fingerprint;
    this->inFlight.erase(found);
    if (!isComplete || !this->isSuspect(fingerprint, instant))
        return;
    QuarantineMark &mark = this->marksByFingerprint[fingerprint];
    mark.deaths = 0;
    // Expires later than the mark of the suspect, so that the cleared one wins in merge().
    mark.until = std::max(mark.until + std::chrono::milliseconds{1},
                          addDuration(instant.wall, this->settings.markLifetime));
}

std::vector<QuarantineMark> CrashQuarantine::targetDied(std::string_view target, const Instant &instant)
{
    this->processes[std::string(target)] = TargetProcess{std::nullopt, instant.now};
    return this->countDeath(target, instant);
}

std::vector<QuarantineMark> CrashQuarantine::incarnationReported(const IncarnationReport &report,
                                                                 const Instant &instant)
{
    this->dropExpired(instant);
    TargetProcess &process = this->processes[report.target];
    if (process.incarnation == report.incarnation) {
        process.knownAt = instant.now;
        this->resolveAlive(report);
        return {};
    }
    if (report.askedAt < process.knownAt)
        return {};
    const bool isRestart = process.incarnation.has_value();
    process = TargetProcess{report.incarnation, instant.now};
    return isRestart ? this->countDeath(report.target, instant) : std::vector<QuarantineMark>{};
}

ProcessFate CrashQuarantine::processFate(uint64_t request, const IncarnationReport &report) const
{
    const auto found = this->inFlight.find(request);
    if (found == this->inFlight.end())
        return ProcessFate::Died;
    const auto process = this->processes.find(report.target);
    const bool isCurrent =
            process != this->processes.end() && process->second.incarnation == report.incarnation;
    return isCurrent && found->second.incarnation == report.incarnation ? ProcessFate::Alive
                                                                        : ProcessFate::Unknown;
}

void CrashQuarantine::connectionLost(uint64_t request, const Instant &instant)
{
    const auto found = this->inFlight.find(request);
    if (found != this->inFlight.end())
        found->second.lostAt = instant.now;
}

std::vector<QuarantineMark> CrashQuarantine::suspectRun(uint64_t request, const Instant &instant)
{
    const auto found = this->inFlight.find(request);
    if (found == this->inFlight.end())
        return {};
    return {this->addDeath(found->second.fingerprint, false, instant)};
}

bool CrashQuarantine::isUnresolved(uint64_t request, const Instant &instant) const
{
    const auto found = this->inFlight.find(request);
    return found != this->inFlight.end() && found->second.lostAt && !this->hasExpired(found->second, instant);
}

std::vector<QuarantineMark> CrashQuarantine::countDeath(std::string_view target, const Instant &instant)
{
    std::vector<InFlightRequest> lostRequests;
    std::erase_if(this->inFlight, [&](const auto &item) {
        if (item.second.target != target)
            return false;
        lostRequests.push_back(item.second);
        return true;
    });
    std::vector<QuarantineMark> changed;
    for (const InFlightRequest &lostRequest : lostRequests) {
        const bool isIsolatedDeath = lostRequest.isIsolated && lostRequests.size() == 1;
        changed.push_back(this->addDeath(lostRequest.fingerprint, isIsolatedDeath, instant));
    }
    return changed;
}

const QuarantineMark &CrashQuarantine::addDeath(const Sha256 &fingerprint, bool isIsolatedDeath,
                                                const Instant &instant)
{
    const uint32_t deaths = this->deathsOf(fingerprint, instant);
    QuarantineMark &mark = this->marksByFingerprint[fingerprint];
    mark.fingerprint = fingerprint;
    mark.deaths = isIsolatedDeath ? deaths + 1 : std::max(deaths, 1U);
    mark.until = std::max(mark.until, addDuration(instant.wall, this->settings.markLifetime));
    return mark;
}

/// A report that was asked for before the connection was lost does not show that the process lives.
void CrashQuarantine::resolveAlive(const IncarnationReport &report)
{
    const auto isResolved = [&](const InFlightRequest &run) {
        return run.target == report.target && run.incarnation == report.incarnation && run.lostAt &&
               report.askedAt >= *run.lostAt;
    };
    std::erase_if(this->inFlight,
                  [&](const auto &item) { return item.second.hasEnded && isResolved(item.second); });
    for (auto &[request, run] : this->inFlight) {
        if (isResolved(run))
            run.lostAt.reset();
    }
}

IsolationReply CrashQuarantine::reserve(const IsolationRequest &request, const Instant &instant)
{
    this->dropExpired(instant);
    this->merge(request.mark, instant);
    IsolationReply reply;
    if (const auto mark = this->marksByFingerprint.find(request.fingerprint);
        mark != this->marksByFingerprint.end())
        reply.mark = mark->second;
    if (this->isQuarantined(request.fingerprint, instant)) {
        reply.verdict = IsolationVerdict::Quarantined;
        return reply;
    }
    const bool hasConflict =
            std::any_of(this->reservations.begin(), this->reservations.end(), [&](const auto &item) {
                const Reservation &reservation = item.second;
                return item.first != request.claimId && (reservation.fingerprint == request.fingerprint ||
                                                         reservation.target == request.target);
            });
    if (hasConflict)
        return reply;
    this->reservations[request.claimId] = {request.fingerprint, request.target,
                                           instant.now + this->settings.reservationLease};
    reply.verdict = this->isBusy(request) ? IsolationVerdict::Busy : IsolationVerdict::Granted;
    return reply;
}

void CrashQuarantine::release(std::string_view claimId)
{
    const auto found = this->reservations.find(claimId);
    if (found != this->reservations.end())
        this->reservations.erase(found);
}

std::vector<QuarantineMark> CrashQuarantine::marks(const Instant &instant) const
{
    std::vector<QuarantineMark> result;
    for (const auto &[fingerprint, mark] : this->marksByFingerprint) {
        if (mark.until > instant.wall)
            result.push_back(mark);
    }
    return result;
}

/// The greater count wins. A cleared mark wins against marks of a suspect that expire earlier, but not
/// against a quarantine.
void CrashQuarantine::merge(const QuarantineMark &mark, const Instant &instant)
{
    if (mark.until <= instant.wall || (this->marksByFingerprint.count(mark.fingerprint) == 0 &&
                                       this->marksByFingerprint.size() >= this->settings.maxMarks))
        return;
    QuarantineMark &stored = this->marksByFingerprint[mark.fingerprint];
    stored.fingerprint = mark.fingerprint;
    const bool isOneCleared = (mark.deaths == 0) != (stored.deaths == 0);
    const uint32_t greater = std::max(mark.deaths, stored.deaths);
    if (isOneCleared && greater < this->effectiveDeathLimit())
        stored.deaths = mark.until > stored.until ? mark.deaths : stored.deaths;
    else
        stored.deaths = greater;
    stored.until = std::max(stored.until, mark.until);
}

void CrashQuarantine::clear(const Sha256 &fingerprint)
{
    const auto found = this->marksByFingerprint.find(fingerprint);
    if (found == this->marksByFingerprint.end())
        return;
    found->second.deaths = 0;
    found->second.until += std::chrono::milliseconds{1};
}

bool CrashQuarantine::isQuarantined(const Sha256 &fingerprint, const Instant &instant) const
{
    return this->deathsOf(fingerprint, instant) >= this->effectiveDeathLimit();
}

bool CrashQuarantine::isSuspect(const Sha256 &fingerprint, const Instant &instant) const
{
    const uint32_t deaths = this->deathsOf(fingerprint, instant);
    return deaths > 0 && deaths < this->effectiveDeathLimit();
}

uint32_t CrashQuarantine::deathsOf(const Sha256 &fingerprint, const Instant &instant) const
{
    const auto found = this->marksByFingerprint.find(fingerprint);
    return found == this->marksByFingerprint.end() || found->second.until <= instant.wall
                   ? 0
                   : found->second.deaths;
}

/// Ignores the isolated run itself, which is in flight when its reservation is renewed.
bool CrashQuarantine::isBusy(const IsolationRequest &request) const
{
    return std::any_of(this->inFlight.begin(), this->inFlight.end(), [&](const auto &item) {
        const InFlightRequest &other = item.second;
        return other.target == request.target &&
               !(other.isIsolated && other.fingerprint == request.fingerprint);
    });
}

bool CrashQuarantine::hasExpired(const InFlightRequest &run, const Instant &instant) const
{
    return run.lostAt && instant.now - *run.lostAt >= this->settings.unresolvedLimit;
}

void CrashQuarantine::dropExpired(const Instant &instant)
{
    std::erase_if(this->inFlight, [&](const auto &item) {
        return item.second.hasEnded && this->hasExpired(item.second, instant);
    });
    std::erase_if(this->marksByFingerprint,
                  [&](const auto &item) { return item.second.until <= instant.wall; });
    std::erase_if(this->reservations, [&](const auto &item) { return item.second.until <= instant.now; });
}

} // namespace eelgrasslift
