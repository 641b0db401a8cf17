#include "eelgrasslift/entrystate.h"

#include "eelgrasslift/logging.h"
#include "eelgrasslift/peercodec.h"
#include "eelgrasslift/rulesfile.h"

#include <nlohmann/json.hpp>

namespace eelgrasslift {

namespace {

constexpr Duration GossipInterval = std::chrono::milliseconds{500};
constexpr Duration TickInterval = std::chrono::milliseconds{50};
constexpr Duration RecoveryInterval = std::chrono::milliseconds{500};

wire::PeerInfo makeOwnPeerInfo(const EntrySettings &settings, const Endpoint &peerAddress, Random &random)
{
    wire::PeerInfo self;
    self.set_id("entry-" + toHex(sha256(std::to_string(random.next()))).substr(0, 16));
    self.set_address(peerAddress.toString());
    self.set_domain(settings.common.domain);
    self.set_is_entry(true);
    self.set_incarnation(static_cast<uint64_t>(wallNow().time_since_epoch().count()));
    self.set_record_slot(settings.recordSlot);
    return self;
}

GossipSettings gossipSettings(const EntrySettings &settings)
{
    GossipSettings result;
    result.interval = GossipInterval;
    for (const Endpoint &seed : settings.seeds)
        result.seeds.push_back(seed.toString());
    return result;
}

ReplicaSettings replicaSettings(const EntrySettings &settings, const wire::PeerInfo &self)
{
    ReplicaSettings result;
    result.identity = {self.domain() + "/" + std::to_string(self.record_slot()), self.incarnation()};
    result.domain = self.domain();
    result.entriesPerDomain = settings.entriesPerDomain;
    return result;
}

DrainSettings drainSettings(const EntrySettings &settings)
{
    DrainSettings result;
    result.acceptWindow = settings.drainAccept;
    if (settings.drainLimit > Duration{0})
        result.limit = settings.drainLimit;
    return result;
}

SelectorOptions selectorOptions(const EntrySettings &settings)
{
    SelectorOptions options;
    options.ownDomain = settings.common.domain;
    return options;
}

wire::RecordReply abstainReply()
{
    wire::RecordReply reply;
    reply.set_verdict(wire::ABSTAIN);
    return reply;
}

} // namespace

EntryState::EntryState(const EntrySettings &entrySettings, const Endpoint &peerAddress,
                       ControlThread &controlThread, EntryMetrics &entryMetrics, uint64_t seed)
    : settings(entrySettings)
    , control(controlThread)
    , metrics(entryMetrics)
    , random(seed)
    , gossip(makeOwnPeerInfo(entrySettings, peerAddress, this->random), gossipSettings(entrySettings),
             this->random)
    , peers(controlThread)
    , crashQuarantine(QuarantineSettings{})
    , placementQueue(selectorOptions(entrySettings), this->random, this->targetDirectory,
                     this->crashQuarantine)
    , recordService(controlThread, this->peers, this->gossip,
                    replicaSettings(entrySettings, this->gossip.self()))
    , drain(drainSettings(entrySettings))
{
    this->setUpIsolation();
}

void EntryState::start()
{
    const TimePoint now = monotonicNow();
    this->loadStoredRules();
    TimerService &timers = this->control.timers();
    this->subscriptions.push_back(
            timers.subscribeEvery(now, GossipInterval, [this](TimePoint at) { this->gossipTick(at); }));
    this->subscriptions.push_back(
            timers.subscribeEvery(now, TickInterval, [this](TimePoint at) { this->tick(at); }));
    this->subscriptions.push_back(timers.subscribeEvery(now, RecoveryInterval, [this](TimePoint) {
        std::vector<std::string> domains;
        if (const RulesSnapshot rules = this->rules()) {
            for (const auto &[name, rule] : rules->rules.domains)
                domains.push_back(name);
        }
        this->recordService.recover(domains);
    }));
    this->gossipTick(now);
}

void EntryState::loadStoredRules()
{
    if (this->settings.dataFolder.empty())
        return;
    match(
            readRulesFile(this->settings.dataFolder),
            [&](const wire::RulesDocument &document) {
                this->execute(this->gossip.handle(
                        RulesAccepted{std::make_shared<const wire::RulesDocument>(document)},
                        monotonicNow()));
            },
            [](const NoRulesFile &) {},
            [&](RulesFileError) {
                // Gossip delivers the rules again; until then requests are refused with "no-rules".
                logError("kept-rules-unreadable", {{"folder", this->settings.dataFolder}});
            });
}

void EntryState::tick(TimePoint now)
{
    this->tickIsolations();
    this->updatePendingDeaths(now);
    if (this->recordService.replica().isReplaced() && !std::exchange(this->isSlotReplacementLogged, true))
        logError("record-slot-taken", {{"slot", this->recordService.replica().identity().slot}});
    this->placementQueue.dispatch(currentInstant());
    this->updateDrain();
    this->updateMetrics(now);
}

void EntryState::gossipTick(TimePoint now)
{
    std::vector<std::string> entries;
    for (const wire::PeerInfo &peer : this->gossip.livePeers(now)) {
        if (peer.is_entry())
            entries.push_back(peer.id());
    }
    this->limiter.setPeers(entries, now);
    this->gossip.setPayload(this->makePayload(now));
    this->execute(this->gossip.handle(GossipTick{}, now));
}

GossipPayload EntryState::makePayload(TimePoint now)
{
    GossipPayload payload;
    for (const AccountUsage &usage : this->limiter.usage(now)) {
        wire::Usage message;
        message.set_account(usage.account);
        message.set_requests_per_second(usage.demand);
        message.set_in_flight(usage.concurrency);
        payload.usage.push_back(std::move(message));
    }
    for (const QuarantineMark &mark : this->crashQuarantine.marks(currentInstant()))
        payload.quarantine.push_back(eelgrasslift::toWire(mark));
    for (const TargetEntry &entry : this->targetDirectory.leavingTargets()) {
        wire::LeavingMark mark;
        mark.set_target(entry.vm.id);
        mark.set_list_version(entry.leavingListVersion);
        payload.leaving.push_back(std::move(mark));
    }
    for (const TargetUsage &targetUsage : this->placementQueue.selector().ownUsage(now)) {
        wire::TargetLoad load;
        load.set_target(targetUsage.targetId);
        load.set_in_flight(targetUsage.inFlight);
        load.set_memory_used(targetUsage.memory);
        load.set_is_reserved(targetUsage.isReserved);
        payload.loads.push_back(std::move(load));
    }
    return payload;
}

wire::GossipDelta EntryState::execute(const std::vector<GossipAction> &actions)
{
    wire::GossipDelta reply;
    for (const GossipAction &action : actions) {
        match(
                action,
                [&](const SendDigest &send) {
                    this->peers.exchange(send.address, send.digest, [this](const auto &delta) {
                        if (delta)
                            this->execute(this->gossip.handle(DeltaReceived{*delta}, monotonicNow()));
                    });
                },
                [&](const ReplyDelta &delta) { reply = delta.delta; },
                [&](const AdoptRules &adopt) { this->adoptRules(*adopt.rules); },
                [&](const PayloadReceived &received) { this->receivePayload(received); });
    }
    return reply;
}

void EntryState::receivePayload(const PayloadReceived &received)
{
    const TimePoint now = monotonicNow();
    const Instant instant = currentInstant();
    std::vector<AccountUsage> usage;
    for (const wire::Usage &message : received.payload.usage)
        usage.push_back({message.account(), message.requests_per_second(), message.in_flight()});
    this->limiter.applyPeerUsage(received.peer, usage, now);
    for (const wire::QuarantineMark &message : received.payload.quarantine) {
        if (const auto mark = eelgrasslift::fromWire(message))
            this->crashQuarantine.merge(*mark, instant);
    }
    for (const wire::LeavingMark &mark : received.payload.leaving)
        this->handleDirectoryEvent(LeavingReported{mark.target(), mark.list_version()});
    std::vector<TargetUsage> targetUsage;
    for (const wire::TargetLoad &load : received.payload.loads)
        targetUsage.push_back({load.target(), load.in_flight(), load.memory_used(), load.is_reserved()});
    this->placementQueue.selector().applyPeerTargetUsage(received.peer, targetUsage, now);
}

void EntryState::adoptRules(const wire::RulesDocument &document)
{
    auto parsed = parseRules(document.text(), "accepted rules");
    if (const auto *errors = std::get_if<RuleErrors>(&parsed)) {
        // An older binary may not support a newer rule. It continues with the last rules it could parse.
        logError("accepted-rules-unreadable", {{"version", std::to_string(document.header().version())},
                                               {"error", errors->empty() ? "" : toText(errors->front())}});
        return;
    }
    auto accepted = std::make_shared<AcceptedRules>();
    accepted->version = document.header().version();
    accepted->author = document.author();
    accepted->acceptedAt = WallTime{std::chrono::milliseconds{document.accepted_unix_ms()}};
    accepted->text = document.text();
    accepted->rules = std::move(std::get<RuleSet>(parsed));

    const TimePoint now = monotonicNow();
    const RuleSet &rules = accepted->rules;
    this->placementQueue.setRules(rules, now);
    this->retryBudget.setRule(rules.retry);
    this->crashQuarantine.setSettings(QuarantineSettings{rules.quarantine.deaths, rules.quarantine.hold});
    for (const auto &[name, account] : rules.accounts)
        this->limiter.setAccount(name, AccountLimits{account.rate, account.burst, account.concurrent}, now);
    if (const RulesSnapshot previous = this->rules()) {
        for (const auto &[name, account] : previous->rules.accounts) {
            if (!rules.accounts.contains(name))
                this->limiter.removeAccount(name);
        }
    }
    this->recordService.replica().setRules(accepted);
    std::atomic_store(&this->currentRules, RulesSnapshot(accepted));
    logInfo("rules-in-force", {{"version", std::to_string(accepted->version)}, {"author", accepted->author}});
    if (!this->settings.dataFolder.empty() && writeRulesFile(this->settings.dataFolder, document))
        logError("rules-not-kept", {{"folder", this->settings.dataFolder}});
}

Result<Admitted, LimitRefused> EntryState::admit(const std::string &account)
{
    return this->limiter.admit(account, monotonicNow());
}

void EntryState::release(const std::string &account)
{
    this->limiter.release(account, monotonicNow());
}

void EntryState::requestStarted()
{
    ++this->inFlight;
}

void EntryState::requestFinished()
{
    --this->inFlight;
    this->updateDrain();
}

void EntryState::recordFirstAttempt(const std::string &group)
{
    this->retryBudget.recordRequest(group, monotonicNow());
}

RetryPermit EntryState::requestRetry(const std::string &group, uint32_t attempt, bool isRepeatable,
                                     TimePoint deadline)
{
    const auto result = this->retryBudget.requestRetry(group, attempt, isRepeatable, monotonicNow(), deadline,
                                                       this->random);
    const auto *delay = std::get_if<Duration>(&result);
    return delay == nullptr ? RetryPermit{} : RetryPermit{true, *delay};
}

void EntryState::handleDirectoryEvent(const DirectoryEvent &event)
{
    const std::vector<DirectoryAction> actions = this->targetDirectory.handle(event);
    for (const DirectoryAction &action : actions) {
        match(
                action,
                [](const TargetBecameLive &live) {
                    logInfo("target-live", {{"target", live.target}});
                },
                [](const TargetStopsNewWork &stopped) {
                    logInfo("target-stops-new-work",
                            {{"target", stopped.target},
                             {"cause",
                              stopped.state == TargetAvailability::Leaving ? "leaving" : "unreachable"}});
                });
    }
    if (actions.empty())
        return;
    this->placementQueue.handle(actions, monotonicNow());
    this->placementQueue.dispatch(currentInstant());
}

void EntryState::terminate()
{
    this->execute(this->drain.terminate(monotonicNow()));
}

void EntryState::updateDrain()
{
    this->execute(this->drain.update(this->inFlight, monotonicNow()));
}

void EntryState::execute(const std::vector<DrainAction> &actions)
{
    this->healthy = this->drain.isHealthy();
    this->accepting = this->drain.acceptsRequests();
    for (const DrainAction action : actions) {
        if (this->drainCallback)
            this->drainCallback(action);
    }
}

void EntryState::updateMetrics(TimePoint now)
{
    const RulesSnapshot current = this->rules();
    this->metrics.openRequests.Set(static_cast<double>(this->inFlight));
    this->metrics.queuedRequests.Set(static_cast<double>(this->placementQueue.queuedCount()));
    this->metrics.rulesVersion.Set(current ? static_cast<double>(current->version) : 0);
    this->metrics.livePeers.Set(static_cast<double>(this->gossip.livePeers(now).size()));
    this->metrics.idempotencyRecords.Set(static_cast<double>(this->recordService.replica().recordCount()));
    const auto contact = this->gossip.lastControlContact();
    this->metrics.rulesAgeSeconds.Set(contact ? toSeconds(now - *contact) : 0);
}

wire::GossipDelta EntryState::exchange(const wire::GossipDigest &digest)
{
    return this->execute(this->gossip.handle(DigestReceived{digest}, monotonicNow()));
}

wire::RecordReply EntryState::claim(const wire::ClaimRequest &request)
{
    const auto converted = eelgrasslift::fromWire(request);
    return converted ? eelgrasslift::toWire(this->recordService.replica().claim(*converted, currentInstant()))
                     : abstainReply();
}

wire::RecordReply EntryState::resolve(const wire::ResolveRequest &request)
{
    const auto converted = eelgrasslift::fromWire(request);
    return converted
                   ? eelgrasslift::toWire(this->recordService.replica().resolve(*converted, currentInstant()))
                   : abstainReply();
}

wire::RecordReply EntryState::lookup(const wire::LookupRequest &request)
{
    return eelgrasslift::toWire(
            this->recordService.replica().lookup(eelgrasslift::fromWire(request), currentInstant()));
}

wire::ReadRecordsReply EntryState::readRecords(const wire::ReadRecordsRequest &request)
{
    return eelgrasslift::toWire(
            this->recordService.replica().readRecords(eelgrasslift::fromWire(request), currentInstant()));
}

} // namespace eelgrasslift
