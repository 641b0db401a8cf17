#include "servicefleet.h"

#include "libcore/core.h"

#include <algorithm>
#include <array>
#include <utility>

namespace eelgrasslift {

using namespace std::chrono_literals;

namespace {

constexpr size_t SlotsPerDomain = 3;
constexpr int UnansweredTries = 100;
constexpr int KeylessBase = 1000;

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
            "before-claim", "claim-sent",      "partly-granted", "granted",
            "send-started", "answer-received", "resolving",      "resolved"};
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
                                                                "entry-frozen",
                                                                "entry-frozen-replaced",
                                                                "replica-frozen-replaced",
                                                                "second-caller",
                                                                "retry-elsewhere",
                                                                "clock-skew",
                                                                "target-refuses",
                                                                "answer-lost"};
    return Names[static_cast<size_t>(fault)];
}

ServiceFleet::ServiceFleet(Options options)
    : options(options)
    , generator(options.seed)
    , rules(makeRules(options.topology, options.topology == Topology::Move))
    , oldRules(makeRules(options.topology, false))
{
    const size_t domains = options.topology == Topology::Domain ? 1 : 2;
    this->current.resize(domains * SlotsPerDomain);
    for (size_t slot = 0; slot < this->current.size(); ++slot)
        this->startProcess(slot);
    this->run(2s);
    this->now += this->options.isRecovered ? 48h : 10s;
    for (const ProcessPtr &process : this->current) {
        for (const RecordScope scope : {RecordScope::Domain, RecordScope::Fleet})
            process->replica->recoveryRequest(scope, this->instant(*process));
    }
}

std::shared_ptr<const AcceptedRules> ServiceFleet::rulesOf(size_t slot) const
{
    return this->options.topology == Topology::Move && slot == 0 ? this->oldRules : this->rules;
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
    settings.identity = {this->slotName(slot), this->all.size() + 1};
    settings.domain = this->slotName(slot).substr(0, 1);
    settings.entriesPerDomain = SlotsPerDomain;
    process->replica = std::make_unique<IdempotencyReplica>(settings);
    process->replica->setRules(this->rulesOf(slot));
    this->current[slot] = process;
    this->all.push_back(process);
    this->at(0ms, [this, process] { this->recover(process, 20); });
}

void ServiceFleet::replaceProcess(size_t slot, Duration delay)
{
    this->at(delay, [this, slot] { this->startProcess(slot); });
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
    for (size_t slot = 0; slot < this->current.size(); ++slot) {
        const bool isMember =
                scope == RecordScope::Fleet || this->slotName(slot)[0] == this->slotName(process->slot)[0];
        if (slot == process->slot || !isMember)
            continue;
        const ProcessPtr other = this->current[slot];
        this->transmit(process->slot, slot, false, [=, this] {
            this->whenAwake(other, [=, this] {
                const ReadRecordsReply reply = other->replica->readRecords(*request, this->instant(*other));
                this->transmit(slot, process->slot, true, [=, this] {
                    this->whenAwake(process, [=, this] {
                        process->replica->handleReadReply(reply, this->instant(*process));
                    });
                });
            });
        });
    }
    this->at(50ms,
             [=, this] { this->whenAwake(process, [=, this] { this->recover(process, rounds - 1); }); });
}

void ServiceFleet::whenAwake(const ProcessPtr &process, std::function<void()> callback)
{
    if (!process->isAlive)
        return;
    if (this->now >= process->frozenUntil)
        return callback();
    this->at(process->frozenUntil - this->now,
             [=, this, callback = std::move(callback)] { this->whenAwake(process, callback); });
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
    this->at(latency, callback);
    if (this->now < this->duplicateUntil)
        this->at(latency + std::chrono::milliseconds{this->generator.below(60)}, callback);
}

void ServiceFleet::arm(Fault fault, Step step, bool isAfterPrevious)
{
    this->armed.push_back({fault, step, isAfterPrevious});
}

void ServiceFleet::reach(Step step, size_t entry)
{
    std::vector<Fault> due;
    for (size_t i = 0; i < this->armed.size();) {
        if (this->armed[i].step != step || (this->armed[i].isWaiting && (i > 0 || !due.empty()))) {
            ++i;
            continue;
        }
        due.push_back(this->armed[i].fault);
        this->armed.erase(this->armed.begin() + static_cast<std::ptrdiff_t>(i));
    }
    for (const Fault fault : due)
        this->strike(fault, entry);
}

void ServiceFleet::kill(size_t slot)
{
    const ProcessPtr process = this->current[slot];
    process->isAlive = false;
    for (auto &[request, call] : process->calls) {
        if (!call.isReplied && !call.isCallerGone)
            this->retryLater(20ms, call.key, slot + 1, call.triesLeft - 1);
        call.isCallerGone = true;
    }
}

void ServiceFleet::cut(size_t entry, bool isOut, bool isIn)
{
    for (size_t other = 0; other < this->current.size(); ++other) {
        if (other == entry)
            continue;
        if (isOut)
            this->blocked.insert({entry, other});
        if (isIn)
            this->blocked.insert({other, entry});
    }
    this->at(std::chrono::milliseconds{200 + this->generator.below(2500)}, [this] { this->blocked.clear(); });
}

void ServiceFleet::strike(Fault fault, size_t entry)
{
    static constexpr std::array<Duration, 4> FreezeTimes{50ms, 300ms, 3s, 12s};
    const size_t count = this->current.size();
    const size_t other = (entry + 1 + this->generator.below(count - 1)) % count;
    const Duration freeze = FreezeTimes[this->generator.below(FreezeTimes.size())];
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
        ++this->targetLife;
        this->isTargetDown = true;
        return this->at(60ms, [this] { this->isTargetDown = false; });
    case Fault::PartitionOut:
        return this->cut(entry, true, false);
    case Fault::PartitionIn:
        return this->cut(entry, false, true);
    case Fault::PartitionBoth:
        return this->cut(entry, true, true);
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
    case Fault::EntryFrozen:
        this->current[entry]->frozenUntil = this->now + freeze;
        return;
    case Fault::EntryFrozenAndReplaced:
        this->current[entry]->frozenUntil = this->now + freeze;
        return this->replaceProcess(entry, restart);
    case Fault::ReplicaFrozenAndReplaced:
        this->current[other]->frozenUntil = this->now + freeze;
        return this->replaceProcess(other, restart);
    case Fault::SecondCaller:
        return this->submit(0, other, 2);
    case Fault::RetryElsewhere:
        for (auto &item : this->current[entry]->calls) {
            item.second.isCallerGone = true;
            this->feed(this->current[entry], item.first, ServiceCallerDisconnected{});
        }
        return this->submit(0, other, 2);
    case Fault::ClockSkew:
        this->current[entry]->skew = 1s;
        this->current[other]->skew = -1s;
        return;
    case Fault::TargetRefuses:
        ++this->refusals;
        return;
    case Fault::AnswerLost:
        ++this->answersToLose;
        return;
    }
}

void ServiceFleet::submit(int key, size_t entry, int triesLeft)
{
    const ProcessPtr process = this->current[entry % this->current.size()];
    if (!process->isAlive)
        return this->retryLater(20ms, key, entry + 1, triesLeft);
    if (this->keys.count(key) == 0) {
        Process caller;
        const WallTime wall = this->instant(caller).wall;
        this->keys[key] =
                this->options.usesUuidKeys ? makeUuidV7(wall, this->generator) : "key-" + std::to_string(key);
    }
    const int request = ++this->nextRequest;
    const std::shared_ptr<const AcceptedRules> known = this->rulesOf(process->slot);
    ServiceClaim claim;
    claim.request.key = {"kiosk", "stock", this->keys[key]};
    claim.request.bodyHash = sha256("body " + std::to_string(key));
    claim.request.claimId =
            std::to_string(this->generator.below(9000) + 1000) + "-" + std::to_string(request);
    claim.request.rulesVersion = known->version;
    claim.groups = ownerGroups(known->rules, known->rules.accounts.at("kiosk"), "stock", SlotsPerDomain,
                               [this](const std::string &domain) {
                                   std::vector<SlotId> slots;
                                   for (size_t slot = 0; slot < this->current.size(); ++slot) {
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
    call.key = this->options.hasKeys ? key : KeylessBase + request;
    call.request = request;
    call.triesLeft = triesLeft;
    call.state = std::make_unique<ServiceCall>(
            settings, this->options.hasKeys ? std::optional{std::move(claim)} : std::nullopt);
    this->at(6s, [=, this] {
        Call &late = process->calls.at(request);
        if (late.isReplied || late.isCallerGone)
            return;
        late.isCallerGone = true;
        this->retryLater(0ms, key, entry + 1, triesLeft - 1);
        this->whenAwake(process, [=, this] { this->feed(process, request, ServiceCallerDisconnected{}); });
    });
    this->reach(Step::BeforeClaim, process->slot);
    this->whenAwake(process, [=, this] {
        this->execute(process, request, process->calls.at(request).state->start(this->instant(*process)));
        this->reach(Step::ClaimSent, process->slot);
    });
}

void ServiceFleet::retryLater(Duration delay, int key, size_t entry, int triesLeft)
{
    if (triesLeft > 0 && this->nextRequest < UnansweredTries)
        this->at(delay, [=, this] {
            this->submit(key, entry,
                         triesLeft - (this->current[entry % this->current.size()]->isAlive ? 0 : 1));
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
        this->whenAwake(process, [=, this] { this->perform(process, request, action); });
    this->scheduleTick(process, request);
}

void ServiceFleet::scheduleTick(const ProcessPtr &process, int request)
{
    Call &call = process->calls.at(request);
    const std::optional<TimePoint> due = call.state->nextTick();
    if (!due || call.tickAt == *due)
        return;
    call.tickAt = *due;
    this->at(std::max(Duration{0}, *due - this->now), [=, this] {
        this->whenAwake(process, [=, this] {
            if (process->calls.at(request).tickAt == *due)
                this->feed(process, request, ServiceTick{});
        });
    });
}

void ServiceFleet::perform(const ProcessPtr &process, int request, const ServiceAction &action)
{
    match(
            action,
            [&](const SendClaim &send) {
                this->askReplica(
                        process, request, send.slot, RecordCall::Claim,
                        [send](auto &replica, const Instant &at) { return replica.claim(send.request, at); });
            },
            [&](const SendLookup &send) {
                this->askReplica(process, request, send.slot, RecordCall::Lookup,
                                 [send](auto &replica, const Instant &at) {
                                     return replica.lookup(send.request, at);
                                 });
            },
            [&](const SendResolve &send) {
                this->askReplica(process, request, send.slot, RecordCall::Resolve,
                                 [send](auto &replica, const Instant &at) {
                                     return replica.resolve(send.request, at);
                                 });
            },
            [&](const SendRequest &send) {
                this->reach(Step::Granted, process->slot);
                this->at(send.delay, [=, this] {
                    this->whenAwake(process, [=, this] { this->sendToService(process, request, send); });
                });
            },
            [](const AbortSend &) {},
            [&](const ReplyToCaller &reply) { this->told(process, process->calls.at(request), reply); },
            [&](const ServiceFinished &) { this->reach(Step::Resolved, process->slot); });
}

void ServiceFleet::askReplica(const ProcessPtr &process, int request, const SlotId &slot, RecordCall call,
                              std::function<RecordReply(IdempotencyReplica &, const Instant &)> ask)
{
    const size_t to = std::stoul(slot.substr(2));
    // A process that was replaced while it was frozen still takes itself for the owner of its slot.
    const ProcessPtr other = to == process->slot ? process : this->current[to];
    this->transmit(process->slot, to, false, [=, this] {
        this->whenAwake(other, [=, this] {
            const RecordReply reply = ask(*other->replica, this->instant(*other));
            this->transmit(to, process->slot, true, [=, this] {
                this->whenAwake(process, [=, this] {
                    this->feed(process, request, ReplicaReplied{slot, call, reply});
                    if (call == RecordCall::Claim && reply.verdict == RecordVerdict::Granted)
                        this->reach(Step::PartlyGranted, process->slot);
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
    const uint64_t life = this->targetLife;
    const int key = process->calls.at(request).key;
    const auto back = [=, this](Duration delay, const ServiceCallEvent &event) {
        this->at(delay,
                 [=, this] { this->whenAwake(process, [=, this] { this->feed(process, request, event); }); });
    };
    this->at(1ms, [=, this] {
        if (this->targetLife != life)
            return back(1ms, SendInterrupted{send.attempt, permit});
        if (this->refusals > 0) {
            --this->refusals;
            return back(1ms, TargetRefused{send.attempt, permit});
        }
        this->runs.push_back({key, request, this->now});
        const std::string answer = "key " + std::to_string(key) + " run by " + std::to_string(request);
        this->at(5ms, [=, this] {
            const bool isLost = this->answersToLose > 0;
            this->answersToLose -= isLost ? 1 : 0;
            if (isLost || this->targetLife != life)
                return back(1ms, SendInterrupted{send.attempt, permit});
            this->at(1ms, [=, this] {
                this->whenAwake(process, [=, this] {
                    this->reach(Step::ResponseReceived, process->slot);
                    this->whenAwake(process, [=, this] {
                        this->feed(process, request,
                                   ResponseReceived{send.attempt, {200, "text/plain", answer}});
                        this->reach(Step::Resolving, process->slot);
                    });
                });
            });
        });
    });
    this->reach(Step::SendStarted, process->slot);
}

void ServiceFleet::told(const ProcessPtr &process, Call &call, const ReplyToCaller &reply)
{
    if (call.isCallerGone)
        return;
    call.isReplied = true;
    this->tolds.push_back({call.key, call.request, reply.outcome, reply.response.body, this->now});
    if (reply.cause != ServiceCause::Replayed)
        this->retryLater(50ms, call.key, process->slot + 1, call.triesLeft - 1);
}

int ServiceFleet::toldCount(ServiceOutcome outcome) const
{
    return static_cast<int>(std::count_if(this->tolds.begin(), this->tolds.end(),
                                          [&](const Told &told) { return told.outcome == outcome; }));
}

std::string ServiceFleet::violation() const
{
    std::map<int, const Run *> runOfKey;
    for (const Run &run : this->runs) {
        if (!runOfKey.emplace(run.key, &run).second)
            return "key " + std::to_string(run.key) + " ran twice";
    }
    for (const Told &told : this->tolds) {
        const auto run = runOfKey.find(told.key);
        const bool hasRun = run != runOfKey.end();
        const std::string who = "request " + std::to_string(told.request);
        if (told.outcome == ServiceOutcome::Ran) {
            const std::string expected = hasRun ? "key " + std::to_string(told.key) + " run by " +
                                                          std::to_string(run->second->request)
                                                : "";
            if (!hasRun || told.answer != expected)
                return who + " was told ran with a wrong answer";
        }
        if (told.outcome != ServiceOutcome::NotRun || !hasRun)
            continue;
        if (run->second->request == told.request)
            return who + " was told not-run but ran";
        const bool isReported = std::any_of(this->tolds.begin(), this->tolds.end(), [&](const Told &other) {
            return other.key == told.key && other.outcome == ServiceOutcome::Ran;
        });
        if (run->second->at <= told.at && !isReported)
            return who + " was told not-run but its key had run";
    }
    for (const ProcessPtr &process : this->current) {
        for (const auto &item : process->calls) {
            if (process->isAlive &&
                (!item.second.state->isFinished() || (!item.second.isReplied && !item.second.isCallerGone)))
                return "request " + std::to_string(item.first) + " was never answered or never ended";
        }
    }
    return {};
}

} // namespace eelgrasslift
