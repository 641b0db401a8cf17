#include "simulation.h"

#include "libconsensus/codec.h"

#include <algorithm>
#include <utility>

namespace eelgrasslift::test {

using namespace raft;

namespace {

std::string addressOf(size_t host)
{
    return "10.0.0." + std::to_string(host + 1) + ":7000";
}

bool isReply(const Message &message)
{
    return std::holds_alternative<AppendReply>(message) || std::holds_alternative<VoteReply>(message) ||
           std::holds_alternative<PreVoteReply>(message) || std::holds_alternative<SnapshotReply>(message) ||
           std::holds_alternative<JoinReply>(message);
}

} // namespace

RaftSettings Simulation::testSettings()
{
    RaftSettings settings;
    settings.snapshotEntries = 12;
    settings.retainedEntries = 3;
    settings.snapshotChunkBytes = 40;
    return settings;
}

Simulation::Simulation(uint64_t seed, size_t voters, RaftSettings raftSettings)
    : random(seed)
    , settings(std::move(raftSettings))
{
    Membership membership;
    const ClusterId cluster{1, 2, 3};
    for (size_t i = 0; i < voters; ++i) {
        this->addHost();
        this->hosts[i].disk.durable.identity = Identity{cluster, this->random.next() | 1};
        membership[this->hosts[i].disk.durable.identity.memberId] = ClusterMember{addressOf(i), true};
    }
    for (Host &host : this->hosts) {
        host.disk.durable.hardState = HardState{1, 0};
        host.disk.durable.entries = {LogEntry{1, 1, EntryKind::Membership, encodeMembership(membership)}};
        this->start(host);
    }
}

size_t Simulation::addHost()
{
    this->hosts.emplace_back();
    this->hosts.back().number = this->hosts.size() - 1;
    return this->hosts.size() - 1;
}

TimePoint Simulation::clock(const Host &host) const
{
    const double elapsed = static_cast<double>((this->time - host.clockSetAt).count()) * host.clockRate;
    return TimePoint{host.clockBase + Duration{static_cast<int64_t>(elapsed)}};
}

void Simulation::setClockRate(size_t number, double rate)
{
    Host &host = this->hosts[number];
    host.clockBase = this->clock(host).time_since_epoch();
    host.clockSetAt = this->time;
    host.clockRate = rate;
}

void Simulation::start(Host &host)
{
    RaftSettings hostSettings = this->settings;
    for (size_t i = 0; i < this->hosts.size(); ++i) {
        const bool isSeed =
                !host.seeds || std::find(host.seeds->begin(), host.seeds->end(), i) != host.seeds->end();
        if (i != host.number && isSeed)
            hostSettings.joinAddresses.push_back(addressOf(i));
    }
    ++host.incarnation;
    host.applied.clear();
    host.checkedCommit = 0;
    host.isPaused = false;
    host.inbox.clear();
    host.node.emplace(hostSettings, addressOf(host.number), host.disk.durable, this->random.next(),
                      this->clock(host));
    this->execute(host, host.node->start());
    this->scheduleTick(host.number, host.incarnation);
}

void Simulation::scheduleTick(size_t number, uint64_t incarnation)
{
    this->schedule(this->time + 50ms, [this, number, incarnation] {
        const Host &host = this->hosts[number];
        if (host.incarnation != incarnation || !host.node)
            return;
        this->scheduleTick(number, incarnation);
        if (!host.isPaused)
            this->handle(number, Tick{});
    });
}

void Simulation::startJoining(size_t number)
{
    Host &host = this->hosts[number];
    host.disk.durable = RecoveredState{};
    host.disk.durable.identity.memberId = this->random.next() | 1;
    this->start(host);
}

void Simulation::crash(size_t number)
{
    Host &host = this->hosts[number];
    host.node.reset();
    host.crashesAtNextSync = false;
    host.disk.crash(this->random);
}

void Simulation::restart(size_t number)
{
    if (!this->hosts[number].node && !this->hosts[number].isRetired)
        this->start(this->hosts[number]);
}

void Simulation::loseDisk(size_t number)
{
    Host &host = this->hosts[number];
    this->crash(number);
    const Identity old = host.disk.durable.identity;
    this->lostDisks[old.memberId] = host.disk;
    host.disk.durable = RecoveredState{};
    host.disk.durable.identity = this->assignsNewIdentity ? Identity{{}, this->random.next() | 1} : old;
    this->start(host);
}

void Simulation::resume(size_t number)
{
    Host &host = this->hosts[number];
    host.isPaused = false;
    for (const Envelope &envelope : std::exchange(host.inbox, {}))
        this->handle(number, Receive{envelope});
}

void Simulation::healNetwork(size_t number)
{
    Host &host = this->hosts[number];
    host.dropsOutgoing = host.dropsIncoming = host.dropsReplies = host.duplicates = false;
    host.delayMin = host.delayMax = Duration{0};
}

void Simulation::schedule(Duration at, std::function<void()> callback)
{
    this->timeline.emplace(at, std::move(callback));
}

void Simulation::scheduleEvery(Duration interval, std::function<void()> callback)
{
    this->schedule(this->time + interval, [this, interval, callback] {
        this->scheduleEvery(interval, callback);
        callback();
    });
}

void Simulation::run(Duration duration)
{
    this->runUntil([] { return false; }, duration);
}

bool Simulation::runUntil(const std::function<bool()> &condition, Duration limit)
{
    const Duration end = this->time + limit;
    while (!condition()) {
        if (!this->foundViolations.empty() || this->timeline.empty() || this->timeline.begin()->first > end) {
            this->time = end;
            return false;
        }
        const auto next = this->timeline.begin();
        this->time = next->first;
        const std::function<void()> callback = std::move(next->second);
        this->timeline.erase(next);
        callback();
        this->checkLeases();
    }
    return true;
}

void Simulation::handle(size_t number, const Event &event)
{
    Host &host = this->hosts[number];
    if (!host.node)
        return;
    this->execute(host, host.node->handle(event, this->clock(host)));
    if (host.node)
        this->checkAfterEvent(host);
}

RequestId Simulation::propose(size_t number)
{
    const RequestId request = ++this->lastRequest;
    this->proposed[request] = "command-" + std::to_string(request);
    this->handle(number, Propose{request, this->proposed[request]});
    return request;
}

void Simulation::confirmOnAllHosts()
{
    for (Host &host : this->hosts) {
        if (!host.node || host.isPaused)
            continue;
        this->confirmations.insert(++this->lastRequest);
        this->handle(host.number, ConfirmLeadership{this->lastRequest});
    }
}

void Simulation::execute(Host &host, Actions actions)
{
    const uint64_t incarnation = host.incarnation;
    for (const Action &action : actions) {
        if (!this->executeOne(host, action) || host.incarnation != incarnation)
            return;
    }
}

bool Simulation::executeOne(Host &host, const Action &action)
{
    if (std::holds_alternative<SyncStorage>(action) && host.crashesAtNextSync) {
        this->crash(host.number);
        const size_t number = host.number;
        this->schedule(this->time + 300ms, [this, number] { this->restart(number); });
        return false;
    }
    if (executeStorageAction(host.disk, action))
        return true;
    if (const auto *send = std::get_if<Send>(&action)) {
        this->transmit(host, *send);
    } else if (const auto *apply = std::get_if<Apply>(&action)) {
        host.applied.push_back(apply->command);
    } else if (const auto *restore = std::get_if<RestoreState>(&action)) {
        host.applied.clear();
        ByteReader reader{restore->snapshot->data};
        while (!reader.isAtEnd() && reader.isValid())
            host.applied.emplace_back(reader.readText());
    } else if (const auto *take = std::get_if<TakeSnapshot>(&action)) {
        ByteWriter writer;
        for (const std::string &command : host.applied)
            writer.addText(command);
        this->schedule(this->time, [this, number = host.number, incarnation = host.incarnation,
                                    index = take->index, data = writer.take()] {
            if (this->hosts[number].incarnation == incarnation)
                this->handle(number, SnapshotTaken{index, data});
        });
    } else if (const auto *answer = std::get_if<Answer>(&action)) {
        this->onAnswer(host, *answer);
    }
    return true;
}

void Simulation::transmit(Host &from, const Send &send)
{
    if (this->onSend)
        this->onSend(send.envelope);
    if (from.dropsOutgoing || (from.dropsReplies && isReply(send.envelope.message)))
        return;
    for (Host &to : this->hosts) {
        if (addressOf(to.number) != send.address || to.dropsIncoming)
            continue;
        const Duration spread = std::max(from.delayMax - from.delayMin, to.delayMax - to.delayMin);
        for (int copy = 0; copy < (from.duplicates || to.duplicates ? 2 : 1); ++copy) {
            const Duration extra{this->random.below(static_cast<uint64_t>((1ms + spread).count()))};
            this->schedule(this->time + 1ms + std::max(from.delayMin, to.delayMin) + extra,
                           [this, number = to.number, envelope = send.envelope] {
                               this->deliver(number, envelope);
                           });
        }
    }
}

void Simulation::deliver(size_t to, const Envelope &envelope)
{
    Host &host = this->hosts[to];
    if (host.isPaused)
        host.inbox.push_back(envelope);
    else
        this->handle(to, Receive{envelope});
}

std::optional<size_t> Simulation::hostOf(MemberId id) const
{
    for (const Host &host : this->hosts) {
        if (host.node && host.node->id() == id)
            return host.number;
    }
    return std::nullopt;
}

std::optional<size_t> Simulation::leader() const
{
    for (const Host &host : this->hosts) {
        if (host.node && host.node->hasLease(this->clock(host)))
            return host.number;
    }
    return std::nullopt;
}

bool Simulation::isRepaired() const
{
    const std::optional<size_t> number = this->leader();
    if (!number)
        return false;
    const RaftNode &leader = *this->hosts[*number].node;
    if (leader.log().membershipIndex() > leader.commitIndex())
        return false;
    for (const auto &[id, member] : leader.log().membership()) {
        const std::optional<size_t> found = this->hostOf(id);
        if (!found || !member.isVoter || this->hosts[*found].node->commitIndex() < leader.commitIndex())
            return false;
    }
    return std::all_of(this->hosts.begin(), this->hosts.end(), [&](const Host &host) {
        return !host.node || leader.log().membership().contains(host.node->id());
    });
}

void Simulation::onAnswer(const Host &host, const Answer &answer)
{
    const auto *index = std::get_if<LogIndex>(&answer.result);
    if (index == nullptr) {
        this->rejected.insert(answer.request);
        return;
    }
    if (this->confirmations.contains(answer.request)) {
        const std::set<std::string> applied{host.applied.begin(), host.applied.end()};
        for (const std::string &command : this->acknowledgedInOrder) {
            if (!applied.contains(command))
                this->addViolation("a confirmed read misses acknowledged " + command);
        }
        return;
    }
    const auto proposal = this->proposed.find(answer.request);
    if (proposal == this->proposed.end())
        return;
    this->acknowledged.insert(*proposal);
    this->acknowledgedInOrder.push_back(proposal->second);
    size_t voters = 0;
    size_t syncedVoters = 0;
    for (const auto &[id, member] : host.node->log().membership()) {
        voters += member.isVoter ? 1 : 0;
        if (!member.isVoter)
            continue;
        // A disk that was lost after its member had acknowledged the entry counts, since the acknowledgement
        // was correct when it was sent.
        const auto lost = this->lostDisks.find(id);
        bool isSynced = lost != this->lostDisks.end() && lost->second.hasEntry(*index, host.node->term());
        for (const Host &other : this->hosts) {
            const bool isDisk = other.disk.durable.identity.memberId == id;
            isSynced = isSynced || (isDisk && other.disk.hasEntry(*index, host.node->term()));
        }
        syncedVoters += isSynced ? 1 : 0;
    }
    if (syncedVoters <= voters / 2)
        this->addViolation("acknowledged without a majority of synced disks: " + proposal->second);
}

void Simulation::checkAfterEvent(Host &host)
{
    const RaftNode &node = *host.node;
    if (node.role() == RaftRole::Leader &&
        this->leaders.emplace(node.term(), node.id()).first->second != node.id())
        this->addViolation("two leaders in term " + std::to_string(node.term()));
    for (LogIndex i = std::max(host.checkedCommit, node.log().lastCompactedIndex()) + 1;
         i <= node.commitIndex(); ++i) {
        const LogEntry &entry = node.log().at(i);
        const std::pair<Term, std::string> value{entry.term, entry.payload};
        if (this->committed.emplace(i, value).first->second != value)
            this->addViolation("committed entry " + std::to_string(i) + " changed");
    }
    host.checkedCommit = std::max(host.checkedCommit, node.commitIndex());
}

void Simulation::checkLeases()
{
    const auto leaseHolders = std::count_if(this->hosts.begin(), this->hosts.end(), [this](const Host &host) {
        return host.node && host.node->hasLease(this->clock(host));
    });
    if (leaseHolders > 1)
        this->addViolation("two leaders hold a lease");
}

void Simulation::checkAcknowledged()
{
    for (const Host &host : this->hosts) {
        const std::optional<size_t> number = this->leader();
        if (!host.node || !number || !this->hosts[*number].node->log().membership().contains(host.node->id()))
            continue;
        const std::set<std::string> applied{host.applied.begin(), host.applied.end()};
        if (applied.size() != host.applied.size())
            this->addViolation("host " + std::to_string(host.number) + " applied a command twice");
        for (const auto &[request, command] : this->acknowledged) {
            if (!applied.contains(command))
                this->addViolation("host " + std::to_string(host.number) + " lost acknowledged " + command);
        }
    }
}

void Simulation::addViolation(const std::string &text)
{
    this->foundViolations.push_back("at " + std::to_string(toMilliseconds(this->time)) + " ms: " + text);
}

} // namespace eelgrasslift::test
