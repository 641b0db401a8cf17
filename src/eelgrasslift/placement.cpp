#include "eelgrasslift/placement.h"

#include <algorithm>

namespace eelgrasslift {

namespace {

constexpr Duration NoTargetRetryAfter = std::chrono::seconds{2};

PlacementFailure toFailure(QueueRefused::Reason reason)
{
    switch (reason) {
    case QueueRefused::Reason::QueueFull:
        return PlacementFailure::QueueFull;
    case QueueRefused::Reason::AccountShare:
        return PlacementFailure::AccountShare;
    case QueueRefused::Reason::DeadlineWouldPass:
        return PlacementFailure::DeadlineWouldPass;
    case QueueRefused::Reason::DeadlinePassed:
        return PlacementFailure::DeadlinePassed;
    case QueueRefused::Reason::Shed:
        return PlacementFailure::Shed;
    case QueueRefused::Reason::UnknownClass:
        return PlacementFailure::NoTarget;
    }
    return PlacementFailure::NoTarget;
}

} // namespace

std::string_view toString(PlacementFailure failure)
{
    switch (failure) {
    case PlacementFailure::NoTarget:
        return "no-target";
    case PlacementFailure::QueueFull:
        return "queue-full";
    case PlacementFailure::AccountShare:
        return "account-share";
    case PlacementFailure::DeadlineWouldPass:
        return "queue-deadline-would-pass";
    case PlacementFailure::DeadlinePassed:
        return "queue-deadline-passed";
    case PlacementFailure::Shed:
        return "shed";
    case PlacementFailure::SuspectBusy:
        return "suspect-busy";
    case PlacementFailure::Quarantined:
        return "request-quarantined";
    }
    return "no-target";
}

Placement::Placement(SelectorOptions selectorOptions, Random &generator,
                     const TargetDirectory &targetDirectory, CrashQuarantine &crashQuarantine)
    : random(generator)
    , directory(targetDirectory)
    , quarantine(crashQuarantine)
    , options(std::move(selectorOptions))
    , targets(this->options, this->lengths)
{}

void Placement::setRules(const RuleSet &newRules, TimePoint now)
{
    this->rules = newRules;
    this->options.stallWeight = newRules.fleet.stallWeight;
    this->targets.setOptions(this->options);
    for (const auto &[name, rule] : newRules.classes)
        this->queue.setClass(name, QueueClass{rule.priority, rule.deadline, rule.queue});
    for (const auto &[name, rule] : newRules.accounts)
        this->queue.setShare(name, rule.share);
    std::vector<DirectoryAction> actions;
    for (const auto &[id, entry] : this->directory.targets()) {
        if (entry.state == TargetAvailability::Live)
            actions.emplace_back(TargetBecameLive{id});
    }
    this->handle(actions, now);
}

void Placement::handle(const std::vector<DirectoryAction> &actions, TimePoint now)
{
    for (const DirectoryAction &action : actions) {
        if (const auto *stopped = std::get_if<TargetStopsNewWork>(&action)) {
            this->targets.markLeaving(stopped->target);
            continue;
        }
        const std::string &id = std::get<TargetBecameLive>(action).target;
        const auto entry = this->directory.targets().find(id);
        const TargetsRule *rule = this->rules.targetsFor(id);
        if (entry == this->directory.targets().end() || rule == nullptr)
            continue;
        this->targets.upsertTarget(TargetSettings{id, entry->second.vm.domain, rule->kind, rule->models,
                                                  rule->service, rule->slots, rule->memory},
                                   now);
        this->targets.reinstateTarget(id, now);
    }
}

uint64_t Placement::place(PlacementRequest request, const Instant &instant, PlacementCallback callback)
{
    const uint64_t ticket = this->nextTicket++;
    const QuarantineVerdict verdict = this->quarantine.admit(request.fingerprint, instant);
    if (const auto *refused = std::get_if<RefuseQuarantined>(&verdict)) {
        callback(PlacementRefused{PlacementFailure::Quarantined, refused->until - instant.wall});
        return ticket;
    }
    const double expectedTokens =
            this->lengths.expectedRemaining(request.account, request.className, 0, request.maxTokens);
    WaitingRequest waiting;
    waiting.id = ticket;
    waiting.account = request.account;
    waiting.className = request.className;
    waiting.cost = request.promptTokens + expectedTokens;
    waiting.requiresIsolation = std::holds_alternative<RunIsolated>(verdict);
    this->pending.emplace(ticket,
                          Pending{std::move(request), std::move(callback), waiting.requiresIsolation});

    auto result = this->queue.push(std::move(waiting), instant.now);
    if (const auto *refused = std::get_if<QueueRefused>(&result)) {
        this->refuse(*refused);
        return ticket;
    }
    for (const QueueRefused &displaced : std::get<Queued>(result).displaced)
        this->refuse(displaced);
    this->dispatch(instant);
    return ticket;
}

void Placement::cancel(uint64_t ticket)
{
    this->queue.remove(ticket);
    this->pending.erase(ticket);
}

void Placement::complete(uint64_t ticket, PlacementResult result)
{
    auto node = this->pending.extract(ticket);
    if (!node.empty())
        node.mapped().callback(std::move(result));
}

void Placement::refuse(const QueueRefused &refused)
{
    this->complete(refused.id, PlacementRefused{toFailure(refused.reason), refused.retryAfter});
}

void Placement::dispatch(const Instant &instant)
{
    for (const QueueRefused &refused : this->queue.expire(instant.now))
        this->refuse(refused);
    const auto tryPlaceOne = [&](const WaitingRequest &waiting) { return this->tryPlace(waiting, instant); };
    while (this->queue.dispatch(instant.now, tryPlaceOne)) {
    }
}

SelectRequest Placement::toSelectRequest(const Pending &waiting, double urgency) const
{
    SelectRequest select;
    select.model = waiting.request.model;
    select.account = waiting.request.account;
    select.className = waiting.request.className;
    select.promptTokens = waiting.request.promptTokens;
    select.maxTokens = waiting.request.maxTokens;
    select.memoryPerToken = waiting.request.memoryPerToken;
    select.prefixHashes = waiting.request.prefixHashes;
    select.excludedTargets = waiting.request.excludedTargets;
    select.requiresIsolation = waiting.requiresIsolation;
    select.urgency = urgency;
    return select;
}

/// Selects a target that is not reserved for the isolated run of another request.
Result<TargetChoice, NoTarget> Placement::selectAvailable(SelectRequest request, const Instant &instant)
{
    std::vector<std::string> excluded(request.excludedTargets.begin(), request.excludedTargets.end());
    while (true) {
        request.excludedTargets = excluded;
        auto result = this->targets.select(request, instant.now, this->random);
        const auto *choice = std::get_if<TargetChoice>(&result);
        if (choice == nullptr || this->quarantine.isTargetAvailable(choice->targetId, instant))
            return result;
        excluded.push_back(choice->targetId);
    }
}

bool Placement::tryPlace(const WaitingRequest &waiting, const Instant &instant)
{
    const auto entry = this->pending.find(waiting.id);
    if (entry == this->pending.end())
        return true;
    const SelectRequest select = this->toSelectRequest(entry->second, waiting.urgency(instant.now));
    const auto result = this->selectAvailable(select, instant);
    if (const auto *choice = std::get_if<TargetChoice>(&result)) {
        this->startRun(waiting.id, *choice, select, instant);
        return true;
    }
    const NoTarget &none = std::get<NoTarget>(result);
    // When all targets have failed for this request, the next attempt may use any of them.
    if (none.reason == NoTarget::Reason::AllExcluded)
        entry->second.request.excludedTargets.clear();
    return false;
}

Endpoint Placement::endpointOf(const std::string &target) const
{
    const auto entry = this->directory.targets().find(target);
    if (entry == this->directory.targets().end())
        return {};
    return parseEndpoint(entry->second.vm.address).value_or(Endpoint{});
}

void Placement::startRun(uint64_t ticket, const TargetChoice &choice, const SelectRequest &select,
                         const Instant &instant)
{
    const Pending &waiting = this->pending.at(ticket);
    const RunId run = this->targets.start(choice.targetId, select, instant.now);
    const Sha256 fingerprint = waiting.request.fingerprint;
    const bool isIsolated = waiting.requiresIsolation;
    this->runs.emplace(run, RunInfo{waiting.request.account, waiting.request.className});
    const Placed placed{choice.targetId, this->endpointOf(choice.targetId), run};
    if (!isIsolated || !this->isolateRun) {
        this->quarantine.requestStarted(run, fingerprint, choice.targetId, isIsolated);
        this->complete(ticket, placed);
        return;
    }
    this->isolateRun(fingerprint, choice.targetId, run,
                     [this, ticket, placed, fingerprint, instant](auto result) {
                         const bool isGranted = std::holds_alternative<Placed>(result);
                         if (!isGranted || !this->pending.contains(ticket)) {
                             this->finishRun(placed.run, RunOutcome::Cancelled, 0, instant);
                             this->complete(ticket, std::move(result));
                             return;
                         }
                         this->quarantine.requestStarted(placed.run, fingerprint, placed.target, true);
                         this->complete(ticket, placed);
                     });
}

void Placement::finishRun(RunId run, RunOutcome outcome, uint32_t tokens, const Instant &instant)
{
    const auto info = this->runs.extract(run);
    if (!info.empty() && outcome == RunOutcome::Completed && !info.mapped().className.empty())
        this->lengths.record(info.mapped().account, info.mapped().className, tokens);
    this->targets.finish(run, outcome, instant.now);
    if (this->runEnded)
        this->runEnded(run);
    this->quarantine.requestFinished(run, outcome == RunOutcome::Completed, instant);
    this->dispatch(instant);
}

std::variant<Placed, PlacementRefused> Placement::placeService(const std::string &service,
                                                               const std::string &account,
                                                               const std::vector<std::string> &excluded,
                                                               const Instant &instant)
{
    SelectRequest select;
    select.service = service;
    select.account = account;
    select.excludedTargets = excluded;
    auto result = this->selectAvailable(select, instant);
    const auto *none = std::get_if<NoTarget>(&result);
    if (none != nullptr && none->reason == NoTarget::Reason::AllExcluded) {
        select.excludedTargets = {};
        result = this->selectAvailable(select, instant);
    }
    if (const auto *choice = std::get_if<TargetChoice>(&result)) {
        const RunId run = this->targets.start(choice->targetId, select, instant.now);
        this->runs.emplace(run, RunInfo{account, {}});
        return Placed{choice->targetId, this->endpointOf(choice->targetId), run};
    }
    const Duration retryAfter = std::get<NoTarget>(result).retryAfter;
    return PlacementRefused{PlacementFailure::NoTarget, std::max(retryAfter, Duration{NoTargetRetryAfter})};
}

} // namespace eelgrasslift
