#include "librouting/targetselector.h"

#include <algorithm>
#include <cmath>

namespace eelgrasslift {

namespace {

// A cached prefix does not justify a target that is busier than this multiple of the mean.
constexpr double AffinityLoadBound = 1.25;
// Worth of a fully cached prompt in the score.
constexpr double AffinityWeight = 0.3;
// Up to this score the own failure domain is used without a look at others: its targets are about half full.
constexpr double OwnDomainBound = 0.6;
// How much better a target of another failure domain must be above that.
constexpr double OwnDomainAdvantage = 0.1;
// Attempts of random sampling before a scan, per choice.
constexpr size_t SampleAttempts = 4;
// Targets examined when both sampled ones are full; bounds the cost in a large full fleet.
constexpr size_t MaxScan = 16;
// Targets examined because they hold the request's prefix.
constexpr size_t MaxHolders = 4;
// When own runs and reports change nothing, a full fleet is tried again after this time.
constexpr Duration HeadroomRetry = std::chrono::milliseconds{200};
// A target that is kept free for a suspect returns to service when the suspect has not come by then.
constexpr Duration ReservationTime = std::chrono::seconds{10};

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
    const bool isMoved = next.ownDomain != this->options.ownDomain;
    this->options = std::move(next);
    this->scorer.setStallWeight(this->options.stallWeight);
    if (isMoved)
        this->rebuildGroups();
}

TargetState *TargetSelector::find(std::string_view id)
{
    const auto entry = this->targetsById.find(id);
    return entry == this->targetsById.end() ? nullptr : &this->targets[entry->second];
}

void TargetSelector::upsertTarget(const TargetSettings &settings, TimePoint now)
{
    if (TargetState *known = this->find(settings.id)) {
        known->settings = settings;
        this->rebuildGroups();
        return;
    }
    // A removed target's place is reused once its last run has ended.
    auto place = std::find_if(this->targets.begin(), this->targets.end(), [](const TargetState &target) {
        return !target.isPresent && target.load.ownInFlight() == 0;
    });
    if (place == this->targets.end())
        place = this->targets.insert(this->targets.end(), TargetState{});
    const auto index = static_cast<uint32_t>(place - this->targets.begin());
    this->scorer.forget(*place);
    *place = TargetState{};
    place->settings = settings;
    place->isPresent = true;
    place->since = now;
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
    target->since = now;
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

void TargetSelector::applyPeerTargetUsage(std::string_view peer, std::span<const TargetUsage> use,
                                          TimePoint now)
{
    const auto next = static_cast<uint32_t>(this->peerIds.size());
    const uint32_t peerId = this->peerIds.emplace(std::string(peer), next).first->second;
    for (TargetState &target : this->targets)
        target.load.removePeerUse(peerId);
    for (const TargetUsage &entry : use) {
        if (TargetState *target = this->find(entry.targetId))
            target->load.setPeerUsage(peerId, entry, now);
    }
}

std::vector<TargetUsage> TargetSelector::ownUsage(TimePoint now) const
{
    std::vector<TargetUsage> list;
    for (const auto &[id, index] : this->targetsById) {
        const TargetState &target = this->targets[index];
        const bool isReserved = target.load.aloneCount() > 0 || target.isReserved(now);
        if (target.load.ownInFlight() > 0 || isReserved)
            list.push_back({id, target.load.ownInFlight(), target.load.ownMemory(), isReserved});
    }
    return list;
}

size_t TargetSelector::inFlight(std::string_view id) const
{
    const auto entry = this->targetsById.find(id);
    return entry == this->targetsById.end() ? 0 : this->targets[entry->second].load.ownInFlight();
}

bool TargetSelector::isUsable(uint32_t index, const SelectRequest &request, TimePoint now) const
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
    return !target.isTakenBySuspect(now);
}

std::vector<uint32_t> TargetSelector::sample(const std::vector<uint32_t> &list, const SelectRequest &request,
                                             TimePoint now, Random &random) const
{
    std::vector<uint32_t> chosen;
    for (size_t attempt = 0; attempt < 2 * SampleAttempts && chosen.size() < 2 && !list.empty(); ++attempt) {
        const uint32_t index = list[random.below(list.size())];
        const bool isTaken = !chosen.empty() && chosen.front() == index;
        if (!isTaken && this->isUsable(index, request, now))
            chosen.push_back(index);
    }
    return chosen;
}

void TargetSelector::addHolders(std::vector<TargetScorer::Candidate> &candidates,
                                const std::vector<uint32_t> &list, const SelectRequest &request,
                                const TargetLoad::Forecast &forecast, TimePoint now)
{
    const std::span<const PrefixIndex::Holder> holders = this->prefixes.holders(request.prefixHashes);
    for (const PrefixIndex::Holder &holder : holders.first(std::min(holders.size(), MaxHolders))) {
        const bool isListed = std::find(list.begin(), list.end(), holder.target) != list.end();
        const bool isKnown = std::any_of(
                candidates.begin(), candidates.end(),
                [&](const TargetScorer::Candidate &candidate) { return candidate.target == holder.target; });
        if (isListed && !isKnown && this->isUsable(holder.target, request, now))
            candidates.push_back(this->scorer.evaluate(holder.target, this->targets[holder.target], request,
                                                       forecast, now));
    }
}

std::optional<TargetScorer::Candidate> TargetSelector::bestOf(const std::vector<uint32_t> &list,
                                                              const SelectRequest &request,
                                                              const TargetLoad::Forecast &forecast,
                                                              TimePoint now, Random &random)
{
    std::vector<TargetScorer::Candidate> candidates;
    double loadSum = 0;
    for (const uint32_t index : this->sample(list, request, now, random)) {
        candidates.push_back(this->scorer.evaluate(index, this->targets[index], request, forecast, now));
        loadSum += candidates.back().load;
    }
    if (candidates.empty())
        return this->firstWithHeadroom(list, request, forecast, now, random);
    const size_t sampled = candidates.size();
    if (!request.prefixHashes.empty()) {
        this->addHolders(candidates, list, request, forecast, now);
        const double bound = AffinityLoadBound * loadSum / static_cast<double>(sampled);
        for (TargetScorer::Candidate &candidate : candidates)
            candidate.score -= candidate.load <= bound ? AffinityWeight * candidate.cachedShare : 0;
    }
    std::optional<TargetScorer::Candidate> best;
    for (size_t i = 0; i < candidates.size(); ++i) {
        const TargetScorer::Candidate &candidate = candidates[i];
        const bool isAllowed = i < sampled || candidate.cachedShare > 0;
        if (isAllowed && candidate.hasHeadroom && (!best || candidate.score < best->score))
            best = candidate;
    }
    return best ? best : this->firstWithHeadroom(list, request, forecast, now, random);
}

std::optional<TargetScorer::Candidate> TargetSelector::firstWithHeadroom(const std::vector<uint32_t> &list,
                                                                         const SelectRequest &request,
                                                                         const TargetLoad::Forecast &forecast,
                                                                         TimePoint now, Random &random)
{
    if (list.empty())
        return std::nullopt;
    const size_t offset = random.below(list.size());
    for (size_t i = 0; i < std::min(list.size(), MaxScan); ++i) {
        const uint32_t index = list[(offset + i) % list.size()];
        if (!this->isUsable(index, request, now))
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
            static_cast<uint32_t>(candidate.cachedShare * request.promptTokens)};
}

Result<TargetChoice, NoTarget> TargetSelector::select(const SelectRequest &request, TimePoint now,
                                                      Random &random)
{
    const TargetGroups::Group *group = this->groups.find(request);
    if (!group)
        return NoTarget{NoTarget::Reason::UnknownModel, Duration{0}};
    if (request.requiresIsolation)
        return this->selectAlone(*group, request, now);
    const LengthProfile &profile = this->lengths.profile(request.account, request.className);
    const TargetLoad::Forecast forecast = TargetLoad::requestForecast(profile, request);
    const auto own = this->bestOf(group->own, request, forecast, now, random);
    if (own && own->score <= OwnDomainBound)
        return this->toChoice(*own, request);
    const auto other = this->bestOf(group->other, request, forecast, now, random);
    if (own && (!other || own->score <= other->score + OwnDomainAdvantage))
        return this->toChoice(*own, request);
    if (other)
        return this->toChoice(*other, request);
    return this->explain(*group, request, now);
}

Result<TargetChoice, NoTarget> TargetSelector::selectAlone(const TargetGroups::Group &group,
                                                           const SelectRequest &request, TimePoint now)
{
    std::optional<uint32_t> leastBusy;
    double leastLoad = 0;
    for (const auto *list : {&group.own, &group.other}) {
        for (const uint32_t index : *list) {
            if (!this->isUsable(index, request, now) || this->targets[index].load.aloneCount() > 0)
                continue;
            TargetState &target = this->targets[index];
            // Decayed reports leave fractions; less than half a request counts as none.
            const double busy = target.load.ownInFlight() + target.load.otherInFlight(now);
            const bool isKept = target.isReserved(now);
            if (busy < 0.5) {
                target.reservedUntil.reset();
                return this->toChoice({.target = index}, request);
            }
            if (!leastBusy || isKept || busy < leastLoad) {
                leastBusy = index;
                leastLoad = isKept ? -1 : busy;
            }
        }
    }
    if (!leastBusy)
        return this->explain(group, request, now);
    this->targets[*leastBusy].reservedUntil = now + ReservationTime;
    return NoTarget{NoTarget::Reason::NoIdleTarget, std::chrono::seconds{1}};
}

NoTarget TargetSelector::explain(const TargetGroups::Group &group, const SelectRequest &request,
                                 TimePoint now) const
{
    if (group.own.empty() && group.other.empty())
        return {NoTarget::Reason::AllLeaving, std::chrono::seconds{1}};
    bool isAllExcluded = true;
    bool isAllEjected = true;
    Duration untilProbe = std::chrono::seconds{60};
    for (const auto *list : {&group.own, &group.other}) {
        for (const uint32_t index : *list) {
            const std::string &id = this->targets[index].settings.id;
            if (isExcluded(id, request))
                continue;
            isAllExcluded = false;
            const auto state = this->outliers.state(id, now);
            if (state == OutlierDetector::State::Ejected)
                untilProbe = std::min<Duration>(untilProbe, *this->outliers.ejectedUntil(id) - now);
            else if (state == OutlierDetector::State::Probing)
                untilProbe = std::min<Duration>(untilProbe, HeadroomRetry);
            else
                isAllEjected = false;
        }
    }
    if (isAllExcluded)
        return {NoTarget::Reason::AllExcluded, std::chrono::seconds{1}};
    if (isAllEjected)
        return {NoTarget::Reason::AllEjected, untilProbe};
    return {request.requiresIsolation ? NoTarget::Reason::NoIdleTarget : NoTarget::Reason::NoHeadroom,
            HeadroomRetry};
}

RunId TargetSelector::start(std::string_view id, const SelectRequest &request, TimePoint now)
{
    const RunId run = this->nextRun++;
    TargetState *target = this->find(id);
    if (!target)
        return run;
    const LengthProfile &profile = this->lengths.profile(request.account, request.className);
    const uint32_t slot = target->load.start(profile, request, now);
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
