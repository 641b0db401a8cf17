#include "servicefleet.h"

#include "libcore/core.h"

#include <algorithm>
#include <array>
#include <utility>

namespace eelgrasslift {

using namespace std::chrono_literals;

namespace {

constexpr size_t SlotsPerDomain = 3;
constexpr int MaxRequests = 100;
constexpr int KeylessRequestBase = 1000;

std::shared_ptr<const AcceptedRules> makeRules(ServiceFleet::Topology topology, bool isMoving)
{
    auto accepted = std::make_shared<AcceptedRules>();
    accepted->version = isMoving ? 2 : 1;
    RuleSet &rules = accepted->rules;
    rules.domains["a"].name = "a";
    if (topology != ServiceFleet::Topology::Domain)
        rules.domains["b"].name = "b";
    ServiceRule &service = rules.services["stock"];
    service.name = "stock";
    service.timeout = 1s;
    service.keep = 1h;
    if (topology == ServiceFleet::Topology::Fleet)
        service.records = RecordScope::Fleet;
    AccountRule &account = rules.accounts["kiosk"];
    account.name = "kiosk";
    account.domain = isMoving ? "b" : "a";
    account.previousDomain = isMoving ? "a" : "";
    return accepted;
}

} // namespace

const char *name(Step step)
{
    static constexpr std::array<const char *, StepCount> Names{
            "before-claim", "claim-sent",        "partly-granted", "granted",
            "send-started", "response-received", "resolving",      "resolved"};
    return Names[static_cast<size_t>(step)];
}

const char *name(Fault fault)
{
    static constexpr std::array<const char *, FaultCount> Names{"entry-death",
                                                                "entry-replaced",
                                                                "replica-death",
                                                                "replica-replaced",
                                                                "target-death",
                                                                "partition-out",
                                                                "partition-in",
                                                                "partition-both",
                                                                "lost-replies",
                                                                "duplicates",
                                                                "reordering",
                                                                "delays",
                                                                "entry-paused",
                                                                "entry-paused-replaced",
                                                                "replica-paused-replaced",
                                                                "second-caller",
                                                                "retry-elsewhere",
                                                                "clock-skew",
                                                                "target-refuses",
                                                                "response-lost"};
    return Names[static_cast<size_t>(fault)];
}

ServiceFleet::ServiceFleet(Options options)
    : options(options)
    , generator(options.seed)
    , rules(makeRules(options.topology, options.topology == Topology::Move))
    , previousRules(makeRules(options.topology, false))
{
    const size_t domains = options.topology == Topology::Domain ? 1 : 2;
    this->currentProcesses.resize(domains * SlotsPerDomain);
    for (size_t slot = 0; slot < this->currentProcesses.size(); ++slot)
        this->startProcess(slot);
    this->run(2s);
    this->now += this->options.isRecovered ? 48h : 10s;
    for (const ProcessPtr &process : this->currentProcesses) {
        for (const RecordScope scope : {RecordScope::Domain, RecordScope::Fleet})
            process->replica->recoveryRequest(scope, this->instant(*process));
    }
}

std::shared_ptr<const AcceptedRules> ServiceFleet::rulesOf(size_t slot) const
{
    return this->options.topology == Topology::Move && slot == 0 ? this->previousRules : this->rules;
}

Instant ServiceFleet::instant(const Process &process) const
{
    const Duration elapsed = this->now.time_since_epoch() + process.skew;
    return {this->now, this->startWall + std::chrono::duration_cast<std::chrono::milliseconds>(elapsed)};
}

SlotId ServiceFleet::slotName(size_t slot) const
{
    return std::string{slot < SlotsPerDomain ? "a/" : "b/"} + std::to_string(slot);
}

void ServiceFleet::startProcess(size_t slot)
{
    auto process = std::make_shared<Process>();
    process->slot = slot;
    ReplicaSettings settings;
    settings.identity = {this->slotName(slot), this->allProcesses.size() + 1};
    settings.domain = this->slotName(slot).substr(0, 1);
    settings.entriesPerDomain = SlotsPerDomain;
    process->replica = std::make_unique<IdempotencyReplica>(settings);
    process->replica->setRules(this->rulesOf(slot));
    this->currentProcesses[slot] = process;
    this->allProcesses.push_back(process);
    this->schedule(0ms, [this, process] { this->recover(process, 20); });
}

void ServiceFleet::replaceProcess(size_t slot, Duration delay)
{
    this->schedule(delay, [this, slot] { this->startProcess(slot); });
}

void ServiceFleet::recover(const ProcessPtr &process, int rounds)
{
    if (!process->isAlive || rounds == 0)
        return;
    const RecordScope scope =
            this->options.topology == Topology::Fleet ? RecordScope::Fleet : RecordScope::Domain;
    const auto request = process->replica->recoveryRequest(scope, this->instant(*process));
    if (!request)
        return;
    for (size_t slot = 0; slot < this->currentProcesses.size(); ++slot) {
        const bool isMember =
                scope == RecordScope::Fleet || this->slotName(slot)[0] == this->slotName(process->slot)[0];
        if (slot == process->slot || !isMember)
            continue;
        const ProcessPtr other = this->currentProcesses[slot];
        this->transmit(process->slot, slot, false, [=, this] {
            this->runWhenNotPaused(other, [=, this] {
                const ReadRecordsReply reply = other->replica->readRecords(*request, this->instant(*other));
                this->transmit(slot, process->slot, true, [=, this] {
                    this->runWhenNotPaused(process, [=, this] {
                        process->replica->handleReadReply(reply, this->instant(*process));
                    });
                });
            });
        });
    }
    this->schedule(50ms, [=, this] {
        this->runWhenNotPaused(process, [=, this] { this->recover(process, rounds - 1); });
    });
}

void ServiceFleet::runWhenNotPaused(const ProcessPtr &process, std::function<void()> callback)
{
    if (!process->isAlive)
        return;
    if (this->now >= process->pausedUntil)
        return callback();
    this->schedule(process->pausedUntil - this->now,
                   [=, this, callback = std::move(callback)] { this->runWhenNotPaused(process, callback); });
}

void ServiceFleet::transmit(size_t from, size_t to, bool isReply, std::function<void()> callback)
{
    if (this->blocked.count({from, to}) > 0)
        return;
    if (isReply && this->repliesToLose > 0) {
        --this->repliesToLose;
        return;
    }
    Duration latency = 1ms + std::chrono::microseconds{this->generator.below(500)};
    if (this->now < this->reorderUntil)
        latency += std::chrono::milliseconds{this->generator.below(30)};
    if (this->now < this->delayUntil && this->generator.chance(0.5))
        latency += std::chrono::milliseconds{5 + this->generator.below(400)};
    this->schedule(latency, callback);
    if (this->now < this->duplicateUntil)
        this->schedule(latency + std::chrono::milliseconds{this->generator.below(60)}, callback);
}

void ServiceFleet::arm(Fault fault, Step step, bool isAfterPrevious)
{
    this->armedFaults.push_back({fault, step, isAfterPrevious});
}

void ServiceFleet::reachStep(Step step, size_t entry)
{
    std::vector<Fault> dueFaults;
    for (size_t i = 0; i < this->armedFaults.size();) {
        if (this->armedFaults[i].step != step ||
            (this->armedFaults[i].waitsForPrevious && (i > 0 || !dueFaults.empty()))) {
            ++i;
            continue;
        }
        dueFaults.push_back(this->armedFaults[i].fault);
        this->armedFaults.erase(this->armedFaults.begin() + static_cast<std::ptrdiff_t>(i));
    }
    for (const Fault fault : dueFaults)
        this->injectFault(fault, entry);
}

void ServiceFleet::kill(size_t slot)
{
    const ProcessPtr process = this->currentProcesses[slot];
    process->isAlive = false;
    for (auto &[request, call] : process->calls) {
        if (!call.isReplied && !call.isCallerDisconnected)
            this->retryLater(20ms, call.key, slot + 1, call.remainingAttempts - 1);
        call.isCallerDisconnected = true;
    }
}

void ServiceFleet::partitionEntry(size_t entry, bool isOut, bool isIn)
{
    for (size_t other = 0; other < this->currentProcesses.size(); ++other) {
        if (other == entry)
            continue;
        if (isOut)
            this->blocked.insert({entry, other});
        if (isIn)
            this->blocked.insert({other, entry});
    }
    this->schedule(std::chrono::milliseconds{200 + this->generator.below(2500)},
                   [this] { this->blocked.clear(); });
}

void ServiceFleet::injectFault(Fault fault, size_t entry)
{
    static constexpr std::array<Duration, 4> PauseTimes{50ms, 300ms, 3s, 12s};
    const size_t count = this->currentProcesses.size();
    const size_t other = (entry + 1 + this->generator.below(count - 1)) % count;
    const Duration pauseTime = PauseTimes[this->generator.below(PauseTimes.size())];
    const Duration restart = std::chrono::milliseconds{1 + this->generator.below(30)};
    switch (fault) {
    case Fault::EntryDeath:
        return this->kill(entry);
    case Fault::EntryReplaced:
        this->kill(entry);
        return this->replaceProcess(entry, restart);
    case Fault::ReplicaDeath:
        return this->kill(other);
    case Fault::ReplicaReplaced:
        this->kill(other);
        return this->replaceProcess(other, restart);
    case Fault::TargetDeath:
        ++this->targetIncarnation;
        this->isTargetDown = true;
        return this->schedule(60ms, [this] { this->isTargetDown = false; });
    case Fault::PartitionOut:
        return this->partitionEntry(entry, true, false);
    case Fault::PartitionIn:
        return this->partitionEntry(entry, false, true);
    case Fault::PartitionBoth:
        return this->partitionEntry(entry, true, true);
    case Fault::LostReplies:
        this->repliesToLose += 1 + static_cast<int>(this->generator.below(3));
        return;
    case Fault::Duplicates:
        this->duplicateUntil = this->now + 100ms;
        return;
    case Fault::Reordering:
        this->reorderUntil = this->now + 100ms;
        return;
    case Fault::Delays:
        this->delayUntil = this->now + 20ms;
        return;
    case Fault::EntryPaused:
        this->currentProcesses[entry]->pausedUntil = this->now + pauseTime;
        return;
    case Fault::EntryPausedAndReplaced:
        this->currentProcesses[entry]->pausedUntil = this->now + pauseTime;
        return this->replaceProcess(entry, restart);
    case Fault::ReplicaPausedAndReplaced:
        this->currentProcesses[other]->pausedUntil = this->now + pauseTime;
        return this->replaceProcess(other, restart);
    case Fault::SecondCaller:
        return this->submit(0, other, 2);
    case Fault::RetryElsewhere:
        for (auto &item : this->currentProcesses[entry]->calls) {
            item.second.isCallerDisconnected = true;
            this->feed(this->currentProcesses[entry], item.first, ServiceCallerDisconnected{});
        }
        return this->submit(0, other, 2);
    case Fault::ClockSkew:
        this->currentProcesses[entry]->skew = 1s;
        this->currentProcesses[other]->skew = -1s;
        return;
    case Fault::TargetRefuses:
        ++this->remainingRefusals;
        return;
    case Fault::ResponseLost:
        ++this->responsesToLose;
        return;
    }
}

void ServiceFleet::submit(int key, size_t entry, int remainingAttempts)
{
    const ProcessPtr process = this->currentProcesses[entry % this->currentProcesses.size()];
    if (!process->isAlive)
        return this->retryLater(20ms, key, entry + 1, remainingAttempts);
    if (this->keys.count(key) == 0) {
        Process caller;
        const WallTime wall = this->instant(caller).wall;
        this->keys[key] =
                this->options.usesUuidKeys ? makeUuidV7(wall, this->generator) : "key-" + std::to_string(key);
    }
    const int request = ++this->nextRequest;
    const std::shared_ptr<const AcceptedRules> callRules = this->rulesOf(process->slot);
    ServiceClaim claim;
    claim.request.key = {"kiosk", "stock", this->keys[key]};
    claim.request.bodyHash = sha256("body " + std::to_string(key));
    claim.request.claimId =
            std::to_string(this->generator.below(9000) + 1000) + "-" + std::to_string(request);
    claim.request.rulesVersion = callRules->version;
    claim.groups = ownerGroups(callRules->rules, callRules->rules.accounts.at("kiosk"), "stock",
                               SlotsPerDomain, [this](const std::string &domain) {
                                   std::vector<SlotId> slots;
                                   for (size_t slot = 0; slot < this->currentProcesses.size(); ++slot) {
                                       if (this->slotName(slot).substr(0, 1) == domain)
                                           slots.push_back(this->slotName(slot));
                                   }
                                   return slots;
                               });
    ServiceCallSettings settings;
    settings.timeout = 1s;
    settings.keyRetention = 1h;
    settings.claim.claimTimeout = 300ms;
    settings.claim.outcomeTimeout = 1s;
    settings.claim.resolveTimeout = 3s;
    Call &call = process->calls[request];
    call.key = this->options.hasKeys ? key : KeylessRequestBase + request;
    call.request = request;
    call.remainingAttempts = remainingAttempts;
    call.state = std::make_unique<ServiceCall>(
            settings, this->options.hasKeys ? std::optional{std::move(claim)} : std::nullopt);
    this->schedule(6s, [=, this] {
        Call &unanswered = process->calls.at(request);
        if (unanswered.isReplied || unanswered.isCallerDisconnected)
            return;
        unanswered.isCallerDisconnected = true;
        this->retryLater(0ms, key, entry + 1, remainingAttempts - 1);
        this->runWhenNotPaused(process,
                               [=, this] { this->feed(process, request, ServiceCallerDisconnected{}); });
    });
    this->reachStep(Step::BeforeClaim, process->slot);
    this->runWhenNotPaused(process, [=, this] {
        this->execute(process, request, process->calls.at(request).state->start(this->instant(*process)));
        this->reachStep(Step::ClaimSent, process->slot);
    });
}

void ServiceFleet::retryLater(Duration delay, int key, size_t entry, int remainingAttempts)
{
    if (remainingAttempts > 0 && this->nextRequest < MaxRequests)
        this->schedule(delay, [=, this] {
            this->submit(
                    key, entry,
                    remainingAttempts -
                            (this->currentProcesses[entry % this->currentProcesses.size()]->isAlive ? 0 : 1));
        });
}

void ServiceFleet::feed(const ProcessPtr &process, int request, const ServiceCallEvent &event)
{
    Call &call = process->calls.at(request);
    this->execute(process, request, call.state->handle(event, this->instant(*process)));
}

void ServiceFleet::execute(const ProcessPtr &process, int request, const std::vector<ServiceAction> &actions)
{
    for (const ServiceAction &action : actions)
        this->runWhenNotPaused(process, [=, this] { this->perform(process, request, action); });
    this->scheduleTick(process, request);
}

void ServiceFleet::scheduleTick(const ProcessPtr &process, int request)
{
    Call &call = process->calls.at(request);
    const std::optional<TimePoint> tickTime = call.state->nextTick();
    if (!tickTime || call.tickAt == *tickTime)
        return;
    call.tickAt = *tickTime;
    this->schedule(std::max(Duration{0}, *tickTime - this->now), [=, this] {
        this->runWhenNotPaused(process, [=, this] {
            if (process->calls.at(request).tickAt == *tickTime)
                this->feed(process, request, ServiceTick{});
        });
    });
}

void ServiceFleet::perform(const ProcessPtr &process, int request, const ServiceAction &action)
{
    match(
            action,
            [&](const SendClaim &send) {
                this->callReplica(
                        process, request, send.slot, RecordCall::Claim,
                        [send](auto &replica, const Instant &at) { return replica.claim(send.request, at); });
            },
            [&](const SendLookup &send) {
                this->callReplica(process, request, send.slot, RecordCall::Lookup,
                                  [send](auto &replica, const Instant &at) {
                                      return replica.lookup(send.request, at);
                                  });
            },
            [&](const SendResolve &send) {
                this->callReplica(process, request, send.slot, RecordCall::Resolve,
                                  [send](auto &replica, const Instant &at) {
                                      return replica.resolve(send.request, at);
                                  });
            },
            [&](const SendRequest &send) {
                this->reachStep(Step::Granted, process->slot);
                this->schedule(send.delay, [=, this] {
                    this->runWhenNotPaused(process,
                                           [=, this] { this->sendToService(process, request, send); });
                });
            },
            [](const AbortSend &) {},
            [&](const ReplyToCaller &reply) {
                this->handleReplyToCaller(process, process->calls.at(request), reply);
            },
            [&](const ServiceFinished &) { this->reachStep(Step::Resolved, process->slot); });
}

void ServiceFleet::callReplica(const ProcessPtr &process, int request, const SlotId &slot, RecordCall call,
                               std::function<RecordReply(IdempotencyReplica &, const Instant &)> operation)
{
    const size_t to = std::stoul(slot.substr(2));
    // A process that was replaced while it was paused still acts as the holder of its slot.
    const ProcessPtr other = to == process->slot ? process : this->currentProcesses[to];
    this->transmit(process->slot, to, false, [=, this] {
        this->runWhenNotPaused(other, [=, this] {
            const RecordReply reply = operation(*other->replica, this->instant(*other));
            this->transmit(to, process->slot, true, [=, this] {
                this->runWhenNotPaused(process, [=, this] {
                    this->feed(process, request, ReplicaReplied{slot, call, reply});
                    if (call == RecordCall::Claim && reply.verdict == RecordVerdict::Granted)
                        this->reachStep(Step::PartlyGranted, process->slot);
                });
            });
        });
    });
}

void ServiceFleet::sendToService(const ProcessPtr &process, int request, const SendRequest &send)
{
    const RetryPermit permit{true, 20ms};
    if (this->isTargetDown || this->now > send.sendBy)
        return this->feed(process, request, RequestNotSent{send.attempt, permit});
    this->feed(process, request, SendStarted{send.attempt});
    const uint64_t incarnation = this->targetIncarnation;
    const int key = process->calls.at(request).key;
    const auto reportLater = [=, this](Duration delay, const ServiceCallEvent &event) {
        this->schedule(delay, [=, this] {
            this->runWhenNotPaused(process, [=, this] { this->feed(process, request, event); });
        });
    };
    this->schedule(1ms, [=, this] {
        if (this->targetIncarnation != incarnation)
            return reportLater(1ms, SendInterrupted{send.attempt, permit});
        if (this->remainingRefusals > 0) {
            --this->remainingRefusals;
            return reportLater(1ms, TargetRefused{send.attempt, permit});
        }
        this->runs.push_back({key, request, this->now});
        const std::string response = "key " + std::to_string(key) + " run by " + std::to_string(request);
        this->schedule(5ms, [=, this] {
            const bool isLost = this->responsesToLose > 0;
            this->responsesToLose -= isLost ? 1 : 0;
            if (isLost || this->targetIncarnation != incarnation)
                return reportLater(1ms, SendInterrupted{send.attempt, permit});
            this->schedule(1ms, [=, this] {
                this->runWhenNotPaused(process, [=, this] {
                    this->reachStep(Step::ResponseReceived, process->slot);
                    this->runWhenNotPaused(process, [=, this] {
                        this->feed(process, request,
                                   ResponseReceived{send.attempt, {200, "text/plain", response}});
                        this->reachStep(Step::Resolving, process->slot);
                    });
                });
            });
        });
    });
    this->reachStep(Step::SendStarted, process->slot);
}

void ServiceFleet::handleReplyToCaller(const ProcessPtr &process, Call &call, const ReplyToCaller &reply)
{
    if (call.isCallerDisconnected)
        return;
    call.isReplied = true;
    this->callerReplies.push_back({call.key, call.request, reply.outcome, reply.response.body, this->now});
    if (reply.cause != ServiceCause::Replayed)
        this->retryLater(50ms, call.key, process->slot + 1, call.remainingAttempts - 1);
}

int ServiceFleet::replyCount(ServiceOutcome outcome) const
{
    return static_cast<int>(
            std::count_if(this->callerReplies.begin(), this->callerReplies.end(),
                          [&](const CallerReply &callerReply) { return callerReply.outcome == outcome; }));
}

std::string ServiceFleet::violation() const
{
    std::map<int, const Run *> runOfKey;
    for (const Run &run : this->runs) {
        if (!runOfKey.emplace(run.key, &run).second)
            return "key " + std::to_string(run.key) + " ran twice";
    }
    for (const CallerReply &callerReply : this->callerReplies) {
        const auto run = runOfKey.find(callerReply.key);
        const bool hasRun = run != runOfKey.end();
        const std::string requestName = "request " + std::to_string(callerReply.request);
        if (callerReply.outcome == ServiceOutcome::Ran) {
            const std::string expected = hasRun ? "key " + std::to_string(callerReply.key) + " run by " +
                                                          std::to_string(run->second->request)
                                                : "";
            if (!hasRun || callerReply.response != expected)
                return requestName + " was reported as ran with a wrong response";
        }
        if (callerReply.outcome != ServiceOutcome::NotRun || !hasRun)
            continue;
        if (run->second->request == callerReply.request)
            return requestName + " was reported as not-run but ran";
        const bool isReported = std::any_of(
                this->callerReplies.begin(), this->callerReplies.end(), [&](const CallerReply &other) {
                    return other.key == callerReply.key && other.outcome == ServiceOutcome::Ran;
                });
        if (run->second->at <= callerReply.at && !isReported)
            return requestName + " was reported as not-run but its key had run";
    }
    for (const ProcessPtr &process : this->currentProcesses) {
        for (const auto &item : process->calls) {
            if (process->isAlive && (!item.second.state->isFinished() ||
                                     (!item.second.isReplied && !item.second.isCallerDisconnected)))
                return "request " + std::to_string(item.first) + " got no reply or did not finish";
        }
    }
    return {};
}

} // namespace eelgrasslift
