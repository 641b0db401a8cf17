#include "eelgrasslift/entrystate.h"

#include "eelgrasslift/logging.h"
#include "eelgrasslift/peercodec.h"

// The part of EntryState that handles requests suspected of crashing their targets: quarantine marks and
// isolated runs.

namespace eelgrasslift {

namespace {

constexpr Duration SuspectRetryAfter = std::chrono::seconds{5};

wire::ReserveVerdict toWire(IsolationVerdict verdict)
{
    switch (verdict) {
    case IsolationVerdict::Granted:
        return wire::RESERVED;
    case IsolationVerdict::Busy:
        return wire::BUSY;
    case IsolationVerdict::Held:
        return wire::HELD_BY_OTHER;
    case IsolationVerdict::Quarantined:
        return wire::QUARANTINED;
    }
    return wire::HELD_BY_OTHER;
}

std::optional<IsolationVerdict> fromWire(wire::ReserveVerdict verdict)
{
    switch (verdict) {
    case wire::RESERVED:
        return IsolationVerdict::Granted;
    case wire::BUSY:
        return IsolationVerdict::Busy;
    case wire::HELD_BY_OTHER:
        return IsolationVerdict::Held;
    case wire::QUARANTINED:
        return IsolationVerdict::Quarantined;
    default:
        return std::nullopt;
    }
}

} // namespace

/// An isolated run of a suspect request, for which all live entries reserve the target.
struct EntryState::Isolation
{
    IsolationClaim claim;
    IsolationRequest request;
    RunId run = 0;
    PlacementCallback done;
    /// The run has ended, but its isolation continues while it is unresolved.
    bool hasRunEnded = false;
    bool isLost = false;
};

/// The death of a target whose quarantine marks are being broadcast to the other entries.
struct EntryState::TargetDeath
{
    MarkBroadcast broadcast;
    /// Run when the broadcast is done.
    std::vector<std::function<void()>> callbacks;
};

EntryState::~EntryState() = default;

void EntryState::setUpIsolation()
{
    this->placementQueue.setIsolation(
            [this](const Sha256 &fingerprint, const std::string &target, RunId run, PlacementCallback done) {
                this->isolate(fingerprint, target, run, std::move(done));
            },
            [this](RunId run) {
                const auto found = this->isolations.find(run);
                if (found != this->isolations.end() &&
                    this->crashQuarantine.isUnresolved(run, currentInstant()))
                    found->second->hasRunEnded = true;
                else
                    this->endIsolation(run);
            });
}

std::map<std::string, std::string> EntryState::liveEntryAddresses() const
{
    std::map<std::string, std::string> addresses;
    for (const wire::PeerInfo &peer : this->gossip.livePeers(monotonicNow())) {
        if (peer.is_entry())
            addresses.emplace(peer.id(), peer.address());
    }
    return addresses;
}

void EntryState::tickIsolations()
{
    for (auto &[run, isolation] : std::map(this->isolations)) {
        this->execute(isolation, isolation->claim.tick(currentInstant()));
        if (isolation->hasRunEnded && !this->crashQuarantine.isUnresolved(run, currentInstant()))
            this->endIsolation(run);
    }
}

void EntryState::targetDied(const std::string &target, std::optional<RunId> run, std::function<void()> done)
{
    // After a pause of this process, isolations that were lost meanwhile must be detected before the death is
    // counted.
    this->tickIsolations();
    std::vector<QuarantineMark> marks;
    if (!run || this->crashQuarantine.isInFlight(*run))
        marks = this->crashQuarantine.targetDied(target, currentInstant());
    this->handleDirectoryEvent(ConnectionFailed{target});
    if (!marks.empty()) {
        this->metrics.targetDeaths.Increment();
        logWarning("target-died", {{"target", target}, {"suspects", std::to_string(marks.size())}});
    }
    this->broadcastMarks(target, marks, std::move(done));
}

void EntryState::reportIncarnation(const IncarnationReport &report, std::optional<RunId> run,
                                   std::function<void(ProcessFate)> done)
{
    this->tickIsolations();
    const std::vector<QuarantineMark> marks =
            this->crashQuarantine.incarnationReported(report, currentInstant());
    if (!marks.empty()) {
        this->handleDirectoryEvent(ConnectionFailed{report.target});
        this->metrics.targetDeaths.Increment();
        logWarning("target-restarted",
                   {{"target", report.target}, {"suspects", std::to_string(marks.size())}});
    }
    const ProcessFate fate = run ? this->crashQuarantine.processFate(*run, report) : ProcessFate::Unknown;
    if (fate == ProcessFate::Died || !marks.empty())
        this->broadcastMarks(report.target, marks, [fate, done = std::move(done)] { done(fate); });
    else
        done(fate);
}

void EntryState::connectionLost(const std::string &target, RunId run, bool isAccepting,
                                std::function<void()> done)
{
    this->tickIsolations();
    this->crashQuarantine.connectionLost(run, currentInstant());
    std::vector<QuarantineMark> marks;
    if (isAccepting)
        marks = this->crashQuarantine.suspectRun(run, currentInstant());
    logWarning("target-process-unknown", {{"target", target}, {"accepting", isAccepting ? "yes" : "no"}});
    this->broadcastMarks(target, marks, std::move(done));
}

void EntryState::broadcastMarks(const std::string &target, const std::vector<QuarantineMark> &marks,
                                std::function<void()> done)
{
    if (marks.empty()) {
        const auto death = this->pendingDeaths.find(target);
        if (death == this->pendingDeaths.end())
            done();
        else
            death->second->callbacks.push_back(std::move(done));
        return;
    }
    std::set<std::string> others;
    for (const auto &[id, address] : this->liveEntryAddresses())
        others.insert(id);
    auto death = std::make_shared<TargetDeath>(
            TargetDeath{MarkBroadcast(marks, std::move(others), MarkBroadcastSettings{}), {}});
    const auto previous = this->pendingDeaths.find(target);
    if (previous != this->pendingDeaths.end())
        death->callbacks = std::move(previous->second->callbacks);
    death->callbacks.push_back(std::move(done));
    this->pendingDeaths[target] = death;
    this->sendMarks(target);
    this->updatePendingDeaths(monotonicNow());
}

void EntryState::sendMarks(const std::string &target)
{
    const std::shared_ptr<TargetDeath> death = this->pendingDeaths.at(target);
    wire::MarkRequest request;
    for (const QuarantineMark &mark : death->broadcast.marks())
        *request.add_marks() = eelgrasslift::toWire(mark);
    const auto addresses = this->liveEntryAddresses();
    for (const std::string &entry : death->broadcast.dueEntries(monotonicNow())) {
        const auto address = addresses.find(entry);
        if (address == addresses.end())
            continue;
        this->peers.mark(address->second, request, [this, death, entry](const auto &reply) {
            if (!reply)
                return;
            death->broadcast.handleConfirmation(entry);
            this->updatePendingDeaths(monotonicNow());
        });
    }
}

void EntryState::updatePendingDeaths(TimePoint now)
{
    for (const auto &[target, death] : std::map(this->pendingDeaths)) {
        if (!death->broadcast.isDone(now)) {
            if (now >= death->broadcast.nextTick())
                this->sendMarks(target);
            continue;
        }
        const auto current = this->pendingDeaths.find(target);
        if (current != this->pendingDeaths.end() && current->second == death)
            this->pendingDeaths.erase(current);
        for (const auto &done : std::exchange(death->callbacks, {}))
            done();
    }
}

void EntryState::isolate(const Sha256 &fingerprint, const std::string &target, RunId run,
                         PlacementCallback done)
{
    const RulesSnapshot current = this->rules();
    IsolationRequest request;
    request.fingerprint = fingerprint;
    request.target = target;
    request.claimId = toHex(fingerprint).substr(0, 16) + "-" + std::to_string(this->random.next());
    for (const QuarantineMark &mark : this->crashQuarantine.marks(currentInstant())) {
        if (mark.fingerprint == fingerprint)
            request.mark = mark;
    }
    std::set<std::string> live{this->gossip.self().id()};
    std::set<std::string> owners;
    const std::string ownDomain = this->gossip.self().domain();
    for (const wire::PeerInfo &peer : this->gossip.livePeers(monotonicNow())) {
        if (peer.is_entry())
            live.insert(peer.id());
    }
    // The owner domain is derived from the fingerprint, so that all entries agree on it.
    std::string ownerDomain = ownDomain;
    if (current && !current->rules.domains.empty()) {
        const size_t index = fingerprint[0] % current->rules.domains.size();
        ownerDomain = std::next(current->rules.domains.begin(), static_cast<std::ptrdiff_t>(index))->first;
    }
    for (const wire::PeerInfo &holder : this->gossip.slotHolders(ownerDomain)) {
        if (live.contains(holder.id()))
            owners.insert(holder.id());
    }
    auto isolation = std::make_shared<Isolation>(Isolation{
            IsolationClaim(request, live, owners, this->settings.entriesPerDomain, IsolationClaimSettings{}),
            request, run, std::move(done), false, false});
    this->isolations.emplace(run, isolation);
    this->execute(isolation, isolation->claim.start(currentInstant()));
}

void EntryState::execute(const std::shared_ptr<Isolation> &isolation,
                         const std::vector<IsolationAction> &actions)
{
    for (const IsolationAction &action : actions) {
        match(
                action,
                [&](const SendIsolationRequest &message) { this->sendIsolationRequest(isolation, message); },
                [&](const SendIsolationRelease &message) {
                    if (message.entry == this->gossip.self().id()) {
                        this->crashQuarantine.release(message.claimId);
                        return;
                    }
                    wire::ReleaseRequest request;
                    request.set_claim_id(message.claimId);
                    for (const wire::PeerInfo &peer : this->gossip.livePeers(monotonicNow())) {
                        if (peer.id() == message.entry)
                            this->peers.release(peer.address(), request, [](const auto &) {});
                    }
                },
                [&](const IsolationGranted &) { this->startIsolatedRun(isolation); },
                [&](const IsolationRefused &refused) {
                    const PlacementFailure failure = refused.isQuarantined ? PlacementFailure::Quarantined
                                                                           : PlacementFailure::SuspectBusy;
                    if (const PlacementCallback done = std::exchange(isolation->done, nullptr))
                        done(PlacementRefused{failure, SuspectRetryAfter});
                },
                [&](const IsolationLost &) {
                    isolation->isLost = true;
                    this->crashQuarantine.isolationLost(isolation->run);
                });
    }
}

/// Asks the target for its process first: a run that is assigned to an earlier process would be counted in a
/// death that it did not cause.
void EntryState::startIsolatedRun(const std::shared_ptr<Isolation> &isolation)
{
    const auto start = [isolation] {
        const PlacementCallback done = std::exchange(isolation->done, nullptr);
        if (done && isolation->isLost)
            done(PlacementRefused{PlacementFailure::SuspectBusy, SuspectRetryAfter});
        else if (done)
            done(Placed{isolation->request.target, {}, isolation->run});
    };
    const auto entry = this->targetDirectory.targets().find(isolation->request.target);
    const auto endpoint = entry == this->targetDirectory.targets().end()
                                  ? std::nullopt
                                  : parseEndpoint(entry->second.vm.address);
    if (this->readIncarnation && endpoint)
        this->readIncarnation(isolation->request.target, *endpoint, start);
    else
        start();
}

void EntryState::sendIsolationRequest(const std::shared_ptr<Isolation> &isolation,
                                      const SendIsolationRequest &message)
{
    if (message.entry == this->gossip.self().id()) {
        this->control.post([this, isolation, message] {
            const IsolationReply reply = this->crashQuarantine.reserve(message.request, currentInstant());
            this->execute(isolation,
                          isolation->claim.handleReply(message.entry, reply.verdict, currentInstant()));
        });
        return;
    }
    wire::ReserveRequest request;
    request.set_fingerprint(
            std::string(message.request.fingerprint.begin(), message.request.fingerprint.end()));
    request.set_target(message.request.target);
    request.set_claim_id(message.request.claimId);
    *request.mutable_mark() = eelgrasslift::toWire(message.request.mark);
    for (const wire::PeerInfo &peer : this->gossip.livePeers(monotonicNow())) {
        if (peer.id() != message.entry)
            continue;
        this->peers.reserve(peer.address(), request, [this, isolation, message](const auto &wireReply) {
            const auto verdict = wireReply ? fromWire(wireReply->verdict()) : std::nullopt;
            if (!verdict)
                return;
            if (const auto mark = eelgrasslift::fromWire(wireReply->mark()))
                this->crashQuarantine.merge(*mark, currentInstant());
            this->execute(isolation, isolation->claim.handleReply(message.entry, *verdict, currentInstant()));
        });
    }
}

void EntryState::endIsolation(RunId run)
{
    const auto node = this->isolations.extract(run);
    if (!node.empty())
        this->execute(node.mapped(), node.mapped()->claim.end());
}

wire::ReserveReply EntryState::reserve(const wire::ReserveRequest &request)
{
    wire::ReserveReply reply;
    const auto fingerprint = digestFromWire(request.fingerprint());
    const auto mark = eelgrasslift::fromWire(request.mark());
    if (!fingerprint || !mark)
        return reply;
    const IsolationReply result = this->crashQuarantine.reserve(
            IsolationRequest{*fingerprint, request.target(), request.claim_id(), *mark}, currentInstant());
    reply.set_verdict(toWire(result.verdict));
    *reply.mutable_mark() = eelgrasslift::toWire(result.mark);
    return reply;
}

wire::ReleaseReply EntryState::release(const wire::ReleaseRequest &request)
{
    this->crashQuarantine.release(request.claim_id());
    return {};
}

wire::MarkReply EntryState::mark(const wire::MarkRequest &request)
{
    for (const wire::QuarantineMark &message : request.marks()) {
        if (const auto mark = eelgrasslift::fromWire(message))
            this->crashQuarantine.merge(*mark, currentInstant());
    }
    return {};
}

} // namespace eelgrasslift
