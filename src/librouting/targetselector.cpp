#include "librouting/targetselector.h"

#include <algorithm>
#include <cmath>

namespace eelgrasslift {

namespace {

constexpr Duration SlowStartTime = std::chrono::seconds{10};
// A new target takes a tenth of its share at once: enough to find out whether it works.
constexpr double SlowStartFloor = 0.1;
// A cached prefix does not justify a target that is busier than this multiple of the mean.
constexpr double AffinityLoadBound = 1.25;
// Share of the memory that the forecast peak may take, for stall-weight 0 and 100.
constexpr double LeastMemoryLimit = 0.70;
constexpr double MostMemoryLimit = 1.10;
// What a request that is about to miss its deadline may take in addition.
constexpr double UrgencyAllowance = 0.10;
// Weights of the score beside the forecast peak (weight 1).
constexpr double CountWeight = 0.5;
constexpr double AffinityWeight = 0.3;
constexpr double PenaltyWeight = 1.0;
constexpr double PreemptionWeight = 0.1;
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
{}

void TargetSelector::setOptions(SelectorOptions next)
{
    const bool isMoved = next.ownDomain != this->options.ownDomain;
    this->options = std::move(next);
    if (isMoved)
        this->rebuildGroups();
}

TargetSelector::Target *TargetSelector::find(std::string_view id)
{
    const auto entry = this->targetsById.find(id);
    return entry == this->targetsById.end() ? nullptr : &this->targets[entry->second];
}

void TargetSelector::upsertTarget(const TargetSettings &settings, TimePoint now)
{
    if (Target *known = this->find(settings.id)) {
        known->settings = settings;
        this->rebuildGroups();
        return;
    }
    // A removed target's place is reused once its last run has ended.
    auto place = std::find_if(this->targets.begin(), this->targets.end(), [](const Target &target) {
        return !target.isPresent && target.load.ownInFlight() == 0;
    });
    if (place == this->targets.end())
        place = this->targets.insert(this->targets.end(), Target{});
    const auto index = static_cast<uint32_t>(place - this->targets.begin());
    for (size_t i = 0; i < this->ownTotal.size(); ++i)
        this->ownTotal[i] -= place->counted[i];
    *place = Target{};
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
    this->modelGroups.clear();
    this->serviceGroups.clear();
    for (const auto &entry : this->targetsById) {
        const uint32_t index = entry.second;
        const Target &target = this->targets[index];
        const auto add = [&](Group &group) {
            ++group.listed;
            if (target.isLeaving)
                return;
            const bool isOwn = target.settings.domain == this->options.ownDomain;
            (isOwn ? group.own : group.other).push_back(index);
        };
        for (const std::string &model : target.settings.models)
            add(this->modelGroups[model]);
        if (!target.settings.service.empty())
            add(this->serviceGroups[target.settings.service]);
    }
}

void TargetSelector::markLeaving(std::string_view id)
{
    Target *target = this->find(id);
    if (!target || target->isLeaving)
        return;
    target->isLeaving = true;
    this->rebuildGroups();
}

void TargetSelector::reinstateTarget(std::string_view id, TimePoint now)
{
    Target *target = this->find(id);
    if (!target || !target->isLeaving)
        return;
    target->isLeaving = false;
    target->since = now;
    target->load.reset();
    this->rebuildGroups();
}

void TargetSelector::applyReport(std::string_view id, const LoadReport &report, TimePoint now)
{
    if (Target *target = this->find(id))
        target->load.applyReport(report, now);
}

void TargetSelector::applyCacheEvent(std::string_view id, const CacheEvent &event)
{
    Target *target = this->find(id);
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

void TargetSelector::applyPeerUse(std::string_view peer, std::span<const TargetUse> use, TimePoint now)
{
    const auto next = static_cast<uint32_t>(this->peerIds.size());
    const uint32_t peerId = this->peerIds.emplace(std::string(peer), next).first->second;
    for (Target &target : this->targets)
        target.load.removePeerUse(peerId);
    for (const TargetUse &entry : use) {
        if (Target *target = this->find(entry.targetId))
            target->load.applyPeerUse(peerId, entry, now);
    }
}

std::vector<TargetUse> TargetSelector::ownUse(TimePoint now) const
{
    std::vector<TargetUse> list;
    for (const auto &[id, index] : this->targetsById) {
        const Target &target = this->targets[index];
        const bool isReserved =
                target.load.aloneCount() > 0 || (target.reservedUntil && now < *target.reservedUntil);
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

const TargetSelector::Group *TargetSelector::groupOf(const SelectRequest &request) const
{
    const auto &groups = request.model.empty() ? this->serviceGroups : this->modelGroups;
    const auto entry = groups.find(request.model.empty() ? request.service : request.model);
    return entry == groups.end() ? nullptr : &entry->second;
}

bool TargetSelector::isUsable(uint32_t index, const SelectRequest &request, TimePoint now) const
{
    const Target &target = this->targets[index];
    const std::string &id = target.settings.id;
    if (isExcluded(id, request))
        return false;
    const auto state = this->outliers.state(id, now);
    if (state == OutlierDetector::State::Ejected || state == OutlierDetector::State::Probing)
        return false;
    if (request.runAlone)
        return true;
    return target.load.aloneCount() == 0 && !(target.reservedUntil && now < *target.reservedUntil) &&
           !target.load.isReservedByPeer(now);
}

double TargetSelector::ramp(const Target &target, TimePoint now) const
{
    const double share = toSeconds(now - target.since) / toSeconds(SlowStartTime);
    return std::clamp(share, SlowStartFloor, 1.0);
}

double TargetSelector::countLoad(const Target &target, TimePoint now) const
{
    const TargetLoad &load = target.load;
    const double slots = std::max(1.0, target.settings.slots * this->ramp(target, now));
    return (load.ownInFlight() + load.otherInFlight(now)) / slots;
}

double TargetSelector::growthOfOthers(size_t horizon) const
{
    return this->ownTotal[0] > 0 ? this->ownTotal[horizon] / this->ownTotal[0] : 1.0;
}

double TargetSelector::memoryPeak(Target &target, const TargetLoad::Forecast &request, TimePoint now)
{
    const TargetLoad::Forecast &own = target.load.ownForecast(now);
    for (size_t i = 0; i < own.size(); ++i) {
        this->ownTotal[i] += own[i] - target.counted[i];
        target.counted[i] = own[i];
    }
    const double others = target.load.otherMemory(now);
    double peak = 0;
    for (size_t i = 0; i < own.size(); ++i)
        peak = std::max(peak, own[i] + request[i] + others * this->growthOfOthers(i));
    return peak / (target.settings.memory * this->ramp(target, now));
}

double TargetSelector::headroomLimit(const SelectRequest &request) const
{
    const double weight = std::min(this->options.stallWeight, 100U) / 100.0;
    return LeastMemoryLimit + (MostMemoryLimit - LeastMemoryLimit) * weight +
           UrgencyAllowance * std::clamp(request.urgency, 0.0, 1.0);
}

TargetSelector::Candidate TargetSelector::evaluate(uint32_t index, const SelectRequest &request,
                                                   const TargetLoad::Forecast &forecast, TimePoint now)
{
    Target &target = this->targets[index];
    const bool isEngine = target.settings.kind == TargetKind::Engine;
    Candidate candidate;
    candidate.target = index;
    candidate.load = this->countLoad(target, now);
    const double peak = isEngine ? this->memoryPeak(target, forecast, now) : 0;
    candidate.cachedShare =
            request.prefixHashes.empty() ? 0 : this->prefixes.matchedShare(index, request.prefixHashes);
    candidate.score = peak + CountWeight * candidate.load +
                      PenaltyWeight * this->outliers.penalty(target.settings.id, now) +
                      PreemptionWeight * target.load.preemptionLevel(now);
    // An idle target takes any request: otherwise one that is larger than the limit would never run.
    const bool isIdle = target.load.ownInFlight() == 0 && candidate.load == 0;
    const double slots = target.settings.slots * this->ramp(target, now);
    candidate.hasHeadroom =
            isIdle || (candidate.load * slots + 1 <= slots && peak <= this->headroomLimit(request));
    return candidate;
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

void TargetSelector::addHolders(std::vector<Candidate> &candidates, const std::vector<uint32_t> &list,
                                const SelectRequest &request, const TargetLoad::Forecast &forecast,
                                TimePoint now)
{
    const std::span<const PrefixIndex::Holder> holders = this->prefixes.holders(request.prefixHashes);
    for (const PrefixIndex::Holder &holder : holders.first(std::min(holders.size(), MaxHolders))) {
        const bool isListed = std::find(list.begin(), list.end(), holder.target) != list.end();
        const bool isKnown =
                std::any_of(candidates.begin(), candidates.end(),
                            [&](const Candidate &candidate) { return candidate.target == holder.target; });
        if (isListed && !isKnown && this->isUsable(holder.target, request, now))
            candidates.push_back(this->evaluate(holder.target, request, forecast, now));
    }
}

std::optional<TargetSelector::Candidate> TargetSelector::bestOf(const std::vector<uint32_t> &list,
                                                                const SelectRequest &request,
                                                                const TargetLoad::Forecast &forecast,
                                                                TimePoint now, Random &random)
{
    std::vector<Candidate> candidates;
    double loadSum = 0;
    for (const uint32_t index : this->sample(list, request, now, random)) {
        candidates.push_back(this->evaluate(index, request, forecast, now));
        loadSum += candidates.back().load;
    }
    if (candidates.empty())
        return this->firstWithHeadroom(list, request, forecast, now, random);
    const size_t sampled = candidates.size();
    if (!request.prefixHashes.empty()) {
        this->addHolders(candidates, list, request, forecast, now);
        const double bound = AffinityLoadBound * loadSum / static_cast<double>(sampled);
        for (Candidate &candidate : candidates)
            candidate.score -= candidate.load <= bound ? AffinityWeight * candidate.cachedShare : 0;
    }
    std::optional<Candidate> best;
    for (size_t i = 0; i < candidates.size(); ++i) {
        const Candidate &candidate = candidates[i];
        const bool isAllowed = i < sampled || candidate.cachedShare > 0;
        if (isAllowed && candidate.hasHeadroom && (!best || candidate.score < best->score))
            best = candidate;
    }
    return best ? best : this->firstWithHeadroom(list, request, forecast, now, random);
}

std::optional<TargetSelector::Candidate>
TargetSelector::firstWithHeadroom(const std::vector<uint32_t> &list, const SelectRequest &request,
                                  const TargetLoad::Forecast &forecast, TimePoint now, Random &random)
{
    if (list.empty())
        return std::nullopt;
    const size_t offset = random.below(list.size());
    for (size_t i = 0; i < std::min(list.size(), MaxScan); ++i) {
        const uint32_t index = list[(offset + i) % list.size()];
        if (!this->isUsable(index, request, now))
            continue;
        const Candidate candidate = this->evaluate(index, request, forecast, now);
        if (candidate.hasHeadroom)
            return candidate;
    }
    return std::nullopt;
}

Choice TargetSelector::toChoice(const Candidate &candidate, const SelectRequest &request) const
{
    const TargetSettings &settings = this->targets[candidate.target].settings;
    return {settings.id, settings.domain == this->options.ownDomain, candidate.score,
            static_cast<uint32_t>(candidate.cachedShare * request.promptTokens)};
}

Result<Choice, NoTarget> TargetSelector::select(const SelectRequest &request, TimePoint now, Random &random)
{
    const Group *group = this->groupOf(request);
    if (!group)
        return NoTarget{NoTarget::Reason::UnknownModel, Duration{0}};
    if (request.runAlone)
        return this->selectAlone(*group, request, now);
    const LengthProfile &profile = this->lengths.profile(request.account, request.className);
    const TargetLoad::Forecast forecast = TargetLoad::requestForecast(profile, request);
    if (const auto own = this->bestOf(group->own, request, forecast, now, random))
        return this->toChoice(*own, request);
    if (const auto other = this->bestOf(group->other, request, forecast, now, random))
        return this->toChoice(*other, request);
    return this->explain(*group, request, now);
}

Result<Choice, NoTarget> TargetSelector::selectAlone(const Group &group, const SelectRequest &request,
                                                     TimePoint now)
{
    std::optional<uint32_t> leastBusy;
    double leastLoad = 0;
    for (const auto *list : {&group.own, &group.other}) {
        for (const uint32_t index : *list) {
            if (!this->isUsable(index, request, now) || this->targets[index].load.aloneCount() > 0)
                continue;
            Target &target = this->targets[index];
            // Decayed reports leave fractions; less than half a request counts as none.
            const double busy = target.load.ownInFlight() + target.load.otherInFlight(now);
            const bool isKept = target.reservedUntil && now < *target.reservedUntil;
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

NoTarget TargetSelector::explain(const Group &group, const SelectRequest &request, TimePoint now) const
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
    return {request.runAlone ? NoTarget::Reason::NoIdleTarget : NoTarget::Reason::NoHeadroom, HeadroomRetry};
}

RunId TargetSelector::start(std::string_view id, const SelectRequest &request, TimePoint now)
{
    const RunId run = this->nextRun++;
    Target *target = this->find(id);
    if (!target)
        return run;
    const LengthProfile &profile = this->lengths.profile(request.account, request.className);
    const uint32_t slot = target->load.start(profile, request, now);
    const auto index = static_cast<uint32_t>(target - this->targets.data());
    const bool isProbe = this->outliers.beginProbe(id, now);
    this->runs.emplace(run, Run{index, slot, request.runAlone, isProbe});
    if (!request.prefixHashes.empty())
        this->prefixes.add(index, request.prefixHashes);
    return run;
}

void TargetSelector::progress(RunId run, uint32_t tokens, TimePoint now)
{
    const auto entry = this->runs.find(run);
    if (entry == this->runs.end())
        return;
    Target &target = this->targets[entry->second.target];
    target.load.progress(entry->second.slot, tokens);
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
    Target &target = this->targets[entry->second.target];
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
    for (const Target &target : this->targets)
        bytes += sizeof(Target) - sizeof(TargetLoad) + target.load.byteSize() + target.settings.id.size() +
                 sizeof(std::string) + NodeBytes + 2 * sizeof(uint32_t);
    return bytes + this->runs.size() * (sizeof(Run) + sizeof(RunId) + NodeBytes);
}

} // namespace eelgrasslift
