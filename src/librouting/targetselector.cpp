#include "librouting/targetselector.h"

#include <algorithm>
#include <cmath>

namespace eelgrasslift {

namespace {

// Cached prefixes count only on targets whose load is at most this multiple of the sampled targets' mean.
constexpr double AffinityLoadBound = 1.25;
// Reduction of the score for a fully cached prompt.
constexpr double AffinityWeight = 0.3;
// Up to this score, at which a target is about half full, other failure domains are not considered.
constexpr double LocalScoreLimit = 0.6;
// Above that score, a target of another failure domain must be better by this much.
constexpr double LocalPreference = 0.1;
// Random draws per sampled target before selection falls back to a scan.
constexpr size_t SampleAttempts = 4;
// Targets examined when the sampled ones are full; bounds the cost of a selection in a large full fleet.
constexpr size_t MaxScan = 16;
// Targets examined because they have cached the request's prefix.
constexpr size_t MaxPrefixHolders = 4;
// Retry interval while the fleet is full and no run ends or report arrives.
constexpr Duration HeadroomRetryDelay = std::chrono::milliseconds{200};
// A target that is reserved for a suspect takes other requests again if the suspect has not started by then.
constexpr Duration ReservationTimeout = std::chrono::seconds{10};

bool isExcluded(const std::string &id, const SelectRequest &request)
{
    return std::find(request.excludedTargets.begin(), request.excludedTargets.end(), id) !=
           request.excludedTargets.end();
}

} // namespace

TargetSelector::TargetSelector(SelectorOptions options, const LengthEstimator &lengths)
    : options(std::move(options))
    , lengths(lengths)
    , outliers(this->options.outliers)
    , scorer(this->options.stallWeight, this->outliers, this->prefixes)
{}

void TargetSelector::setOptions(SelectorOptions next)
{
    const bool isDomainChanged = next.ownDomain != this->options.ownDomain;
    this->options = std::move(next);
    this->scorer.setStallWeight(this->options.stallWeight);
    if (isDomainChanged)
        this->rebuildGroups();
}

TargetState *TargetSelector::find(std::string_view id)
{
    const auto entry = this->targetsById.find(id);
    return entry == this->targetsById.end() ? nullptr : &this->targets[entry->second];
}

void TargetSelector::upsertTarget(const TargetSettings &settings, TimePoint now)
{
    if (TargetState *existing = this->find(settings.id)) {
        existing->settings = settings;
        this->rebuildGroups();
        return;
    }
    // The slot of a removed target is reused once its last run has ended.
    auto position = std::find_if(this->targets.begin(), this->targets.end(), [](const TargetState &target) {
        return !target.isPresent && target.load.ownInFlight() == 0;
    });
    if (position == this->targets.end())
        position = this->targets.insert(this->targets.end(), TargetState{});
    const auto index = static_cast<uint32_t>(position - this->targets.begin());
    this->scorer.removeFromForecast(*position);
    *position = TargetState{};
    position->settings = settings;
    position->isPresent = true;
    position->slowStartBegin = now;
    this->prefixes.clear(index);
    this->targetsById.emplace(settings.id, index);
    this->rebuildGroups();
}

void TargetSelector::removeTarget(std::string_view id)
{
    const auto entry = this->targetsById.find(id);
    if (entry == this->targetsById.end())
        return;
    this->targets[entry->second].isPresent = false;
    this->prefixes.clear(entry->second);
    this->targetsById.erase(entry);
    this->outliers.remove(id);
    this->rebuildGroups();
}

void TargetSelector::rebuildGroups()
{
    this->groups.clear();
    for (const auto &[id, index] : this->targetsById) {
        const TargetState &target = this->targets[index];
        const bool isOwnDomain = target.settings.domain == this->options.ownDomain;
        this->groups.add(index, target.settings, isOwnDomain, target.isLeaving);
    }
}

void TargetSelector::markLeaving(std::string_view id)
{
    TargetState *target = this->find(id);
    if (!target || target->isLeaving)
        return;
    target->isLeaving = true;
    this->rebuildGroups();
}

void TargetSelector::reinstateTarget(std::string_view id, TimePoint now)
{
    TargetState *target = this->find(id);
    if (!target || !target->isLeaving)
        return;
    target->isLeaving = false;
    target->slowStartBegin = now;
    target->load.reset();
    this->rebuildGroups();
}

void TargetSelector::applyReport(std::string_view id, const LoadReport &report, TimePoint now)
{
    if (TargetState *target = this->find(id))
        target->load.applyReport(report, now);
}

void TargetSelector::applyCacheEvent(std::string_view id, const CacheEvent &event)
{
    TargetState *target = this->find(id);
    if (!target)
        return;
    const auto index = static_cast<uint32_t>(target - this->targets.data());
    const bool isFirst = target->cacheSequence == 0;
    if (event.incarnation != target->cacheIncarnation) {
        if (!isFirst)
            this->prefixes.clear(index);
        target->cacheIncarnation = event.incarnation;
    } else if (!isFirst && event.sequence <= target->cacheSequence) {
        return;
    } else if (!isFirst && event.sequence != target->cacheSequence + 1) {
        this->prefixes.recordGap(index);
    }
    target->cacheSequence = event.sequence;
    switch (event.kind) {
    case CacheEvent::Kind::Stored:
        return this->prefixes.add(index, event.hashes);
    case CacheEvent::Kind::Evicted:
        return this->prefixes.remove(index, event.hashes);
    case CacheEvent::Kind::Cleared:
        return this->prefixes.clear(index);
    }
}

void TargetSelector::applyPeerTargetUsage(std::string_view peer, std::span<const TargetUsage> usage,
                                          TimePoint now)
{
    const auto next = static_cast<uint32_t>(this->peerIds.size());
    const uint32_t peerId = this->peerIds.emplace(std::string(peer), next).first->second;
    for (TargetState &target : this->targets)
        target.load.removePeerUsage(peerId);
    for (const TargetUsage &item : usage) {
        if (TargetState *target = this->find(item.targetId))
            target->load.setPeerUsage(peerId, item, now);
    }
}

std::vector<TargetUsage> TargetSelector::ownUsage(TimePoint now) const
{
    std::vector<TargetUsage> usage;
    for (const auto &[id, index] : this->targetsById) {
        const TargetState &target = this->targets[index];
        const bool isReserved = target.load.isolatedRunCount() > 0 || target.isReserved(now);
        if (target.load.ownInFlight() > 0 || isReserved)
            usage.push_back({id, target.load.ownInFlight(), target.load.ownMemory(), isReserved});
    }
    return usage;
}

size_t TargetSelector::inFlight(std::string_view id) const
{
    const auto entry = this->targetsById.find(id);
    return entry == this->targetsById.end() ? 0 : this->targets[entry->second].load.ownInFlight();
}

bool TargetSelector::isEligible(uint32_t index, const SelectRequest &request, TimePoint now) const
{
    const TargetState &target = this->targets[index];
    const std::string &id = target.settings.id;
    if (isExcluded(id, request))
        return false;
    const auto state = this->outliers.state(id, now);
    if (state == OutlierDetector::State::Ejected || state == OutlierDetector::State::Probing)
        return false;
    if (request.requiresIsolation)
        return true;
    return !target.isReservedForSuspect(now);
}

std::vector<uint32_t> TargetSelector::sampleTargets(const std::vector<uint32_t> &indices,
                                                    const SelectRequest &request, TimePoint now,
                                                    Random &random) const
{
    std::vector<uint32_t> chosen;
    for (size_t attempt = 0; attempt < 2 * SampleAttempts && chosen.size() < 2 && !indices.empty();
         ++attempt) {
        const uint32_t index = indices[random.below(indices.size())];
        const bool isDuplicate = !chosen.empty() && chosen.front() == index;
        if (!isDuplicate && this->isEligible(index, request, now))
            chosen.push_back(index);
    }
    return chosen;
}

void TargetSelector::addPrefixHolders(std::vector<TargetScorer::Candidate> &candidates,
                                      const std::vector<uint32_t> &indices, const SelectRequest &request,
                                      const TargetLoad::Forecast &forecast, TimePoint now)
{
    const std::span<const PrefixIndex::Holder> holders = this->prefixes.holders(request.prefixHashes);
    for (const PrefixIndex::Holder &holder : holders.first(std::min(holders.size(), MaxPrefixHolders))) {
        const bool isListed = std::find(indices.begin(), indices.end(), holder.target) != indices.end();
        const bool isCandidate = std::any_of(
                candidates.begin(), candidates.end(),
                [&](const TargetScorer::Candidate &candidate) { return candidate.target == holder.target; });
        if (isListed && !isCandidate && this->isEligible(holder.target, request, now))
            candidates.push_back(this->scorer.evaluate(holder.target, this->targets[holder.target], request,
                                                       forecast, now));
    }
}

std::optional<TargetScorer::Candidate> TargetSelector::selectBest(const std::vector<uint32_t> &indices,
                                                                  const SelectRequest &request,
                                                                  const TargetLoad::Forecast &forecast,
                                                                  TimePoint now, Random &random)
{
    std::vector<TargetScorer::Candidate> candidates;
    double loadSum = 0;
    for (const uint32_t index : this->sampleTargets(indices, request, now, random)) {
        candidates.push_back(this->scorer.evaluate(index, this->targets[index], request, forecast, now));
        loadSum += candidates.back().load;
    }
    if (candidates.empty())
        return this->firstWithHeadroom(indices, request, forecast, now, random);
    const size_t sampled = candidates.size();
    if (!request.prefixHashes.empty()) {
        this->addPrefixHolders(candidates, indices, request, forecast, now);
        const double bound = AffinityLoadBound * loadSum / static_cast<double>(sampled);
        for (TargetScorer::Candidate &candidate : candidates)
            candidate.score -= candidate.load <= bound ? AffinityWeight * candidate.cachedFraction : 0;
    }
    std::optional<TargetScorer::Candidate> best;
    for (size_t i = 0; i < candidates.size(); ++i) {
        const TargetScorer::Candidate &candidate = candidates[i];
        const bool isAllowed = i < sampled || candidate.cachedFraction > 0;
        if (isAllowed && candidate.hasHeadroom && (!best || candidate.score < best->score))
            best = candidate;
    }
    return best ? best : this->firstWithHeadroom(indices, request, forecast, now, random);
}

std::optional<TargetScorer::Candidate> TargetSelector::firstWithHeadroom(const std::vector<uint32_t> &indices,
                                                                         const SelectRequest &request,
                                                                         const TargetLoad::Forecast &forecast,
                                                                         TimePoint now, Random &random)
{
    if (indices.empty())
        return std::nullopt;
    const size_t offset = random.below(indices.size());
    for (size_t i = 0; i < std::min(indices.size(), MaxScan); ++i) {
        const uint32_t index = indices[(offset + i) % indices.size()];
        if (!this->isEligible(index, request, now))
            continue;
        const TargetScorer::Candidate candidate =
                this->scorer.evaluate(index, this->targets[index], request, forecast, now);
        if (candidate.hasHeadroom)
            return candidate;
    }
    return std::nullopt;
}

TargetChoice TargetSelector::toChoice(const TargetScorer::Candidate &candidate,
                                      const SelectRequest &request) const
{
    const TargetSettings &settings = this->targets[candidate.target].settings;
    return {settings.id, settings.domain == this->options.ownDomain, candidate.score,
            static_cast<uint32_t>(candidate.cachedFraction * request.promptTokens)};
}

Result<TargetChoice, NoTarget> TargetSelector::select(const SelectRequest &request, TimePoint now,
                                                      Random &random)
{
    const TargetGroups::Group *group = this->groups.find(request);
    if (!group)
        return NoTarget{NoTarget::Reason::UnknownModel, Duration{0}};
    if (request.requiresIsolation)
        return this->selectIsolated(*group, request, now);
    const LengthDistribution &distribution = this->lengths.distribution(request.account, request.className);
    const TargetLoad::Forecast forecast = TargetLoad::requestForecast(distribution, request);
    const auto local = this->selectBest(group->local, request, forecast, now, random);
    if (local && local->score <= LocalScoreLimit)
        return this->toChoice(*local, request);
    const auto remote = this->selectBest(group->remote, request, forecast, now, random);
    if (local && (!remote || local->score <= remote->score + LocalPreference))
        return this->toChoice(*local, request);
    if (remote)
        return this->toChoice(*remote, request);
    return this->diagnoseNoTarget(*group, request, now);
}

Result<TargetChoice, NoTarget> TargetSelector::selectIsolated(const TargetGroups::Group &group,
                                                              const SelectRequest &request, TimePoint now)
{
    std::optional<uint32_t> leastLoaded;
    double leastLoad = 0;
    for (const auto *indices : {&group.local, &group.remote}) {
        for (const uint32_t index : *indices) {
            if (!this->isEligible(index, request, now) || this->targets[index].load.isolatedRunCount() > 0)
                continue;
            TargetState &target = this->targets[index];
            // The decayed weight of a report leaves fractions, so less than half a request counts as none.
            const double requestCount = target.load.ownInFlight() + target.load.otherInFlight(now);
            const bool isAlreadyReserved = target.isReserved(now);
            if (requestCount < 0.5) {
                target.reservedUntil.reset();
                return this->toChoice({.target = index}, request);
            }
            if (!leastLoaded || isAlreadyReserved || requestCount < leastLoad) {
                leastLoaded = index;
                leastLoad = isAlreadyReserved ? -1 : requestCount;
            }
        }
    }
    if (!leastLoaded)
        return this->diagnoseNoTarget(group, request, now);
    this->targets[*leastLoaded].reservedUntil = now + ReservationTimeout;
    return NoTarget{NoTarget::Reason::NoIdleTarget, std::chrono::seconds{1}};
}

NoTarget TargetSelector::diagnoseNoTarget(const TargetGroups::Group &group, const SelectRequest &request,
                                          TimePoint now) const
{
    if (group.local.empty() && group.remote.empty())
        return {NoTarget::Reason::AllLeaving, std::chrono::seconds{1}};
    bool isAllExcluded = true;
    bool isAllEjected = true;
    Duration untilProbe = std::chrono::seconds{60};
    for (const auto *indices : {&group.local, &group.remote}) {
        for (const uint32_t index : *indices) {
            const std::string &id = this->targets[index].settings.id;
            if (isExcluded(id, request))
                continue;
            isAllExcluded = false;
            const auto state = this->outliers.state(id, now);
            if (state == OutlierDetector::State::Ejected)
                untilProbe = std::min<Duration>(untilProbe, *this->outliers.ejectedUntil(id) - now);
            else if (state == OutlierDetector::State::Probing)
                untilProbe = std::min<Duration>(untilProbe, HeadroomRetryDelay);
            else
                isAllEjected = false;
        }
    }
    if (isAllExcluded)
        return {NoTarget::Reason::AllExcluded, std::chrono::seconds{1}};
    if (isAllEjected)
        return {NoTarget::Reason::AllEjected, untilProbe};
    return {request.requiresIsolation ? NoTarget::Reason::NoIdleTarget : NoTarget::Reason::NoHeadroom,
            HeadroomRetryDelay};
}

RunId TargetSelector::start(std::string_view id, const SelectRequest &request, TimePoint now)
{
    const RunId run = this->nextRun++;
    TargetState *target = this->find(id);
    if (!target)
        return run;
    const LengthDistribution &distribution = this->lengths.distribution(request.account, request.className);
    const uint32_t slot = target->load.start(distribution, request, now);
    const auto index = static_cast<uint32_t>(target - this->targets.data());
    const bool isProbe = this->outliers.beginProbe(id, now);
    this->runs.emplace(run, Run{index, slot, request.requiresIsolation, isProbe});
    if (!request.prefixHashes.empty())
        this->prefixes.add(index, request.prefixHashes);
    return run;
}

void TargetSelector::recordProgress(RunId run, uint32_t tokens, TimePoint now)
{
    const auto entry = this->runs.find(run);
    if (entry == this->runs.end())
        return;
    TargetState &target = this->targets[entry->second.target];
    target.load.recordProgress(entry->second.slot, tokens);
    if (!entry->second.isProbe || !target.isPresent)
        return;
    entry->second.isProbe = false;
    this->outliers.recordSuccess(target.settings.id, now);
}

void TargetSelector::finish(RunId run, RunOutcome outcome, TimePoint now)
{
    const auto entry = this->runs.find(run);
    if (entry == this->runs.end())
        return;
    TargetState &target = this->targets[entry->second.target];
    const bool isProbe = entry->second.isProbe;
    target.load.finish(entry->second.slot);
    this->runs.erase(entry);
    if (!target.isPresent)
        return;
    switch (outcome) {
    case RunOutcome::Completed:
        return this->outliers.recordSuccess(target.settings.id, now);
    case RunOutcome::Refused:
    case RunOutcome::Failed:
        return this->outliers.recordFailure(target.settings.id, now);
    case RunOutcome::Stalled:
        return this->outliers.recordStall(target.settings.id, now);
    case RunOutcome::Cancelled:
        if (isProbe)
            this->outliers.cancelProbe(target.settings.id);
        return;
    }
}

size_t TargetSelector::byteSize() const
{
    constexpr size_t NodeBytes = 4 * sizeof(void *);
    size_t bytes = sizeof(*this) + this->prefixes.byteSize();
    for (const TargetState &target : this->targets)
        bytes += sizeof(TargetState) - sizeof(TargetLoad) + target.load.byteSize() +
                 target.settings.id.size() + sizeof(std::string) + NodeBytes + 2 * sizeof(uint32_t);
    return bytes + this->runs.size() * (sizeof(Run) + sizeof(RunId) + NodeBytes);
}

} // namespace eelgrasslift
