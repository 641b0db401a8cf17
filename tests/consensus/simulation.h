#pragma once

#include "memorydisk.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace eelgrasslift::test {

using namespace std::chrono_literals;

/// Simulated VM: a disk, a clock with its own rate, and a Raft node while the process runs.
struct Host
{
    size_t number = 0;
    MemoryDisk disk;
    std::optional<RaftNode> node;
    std::vector<std::string> applied;
    std::vector<raft::Envelope> inbox; // received while paused
    uint64_t incarnation = 0;
    bool isPaused = false;
    bool isRetired = false; // removed from the cluster and never restarted
    bool crashesAtNextSync = false;
    std::optional<std::vector<size_t>> seeds; // hosts that it asks when it joins; all others if not set
    double clockRate = 1.0;
    Duration clockBase{0};
    Duration clockSetAt{0};
    LogIndex checkedCommit = 0;

    // Network faults of this host.
    bool dropsOutgoing = false;
    bool dropsIncoming = false;
    bool dropsReplies = false;
    bool duplicates = false;
    Duration delayMin{0};
    Duration delayMax{0};
};

/// Deterministic simulation of hosts, a network and clocks: the same seed gives the same run. Safety is
/// checked after every event; each violation found is added to violations().
class Simulation
{
public:
    Simulation(uint64_t seed, size_t voters, RaftSettings settings = testSettings());

    /// Settings with frequent snapshots and small chunks, so that short runs cover both.
    static RaftSettings testSettings();

    /// Adds a host without starting it and returns its number.
    size_t addHost();

    /// Starts the host with an empty disk and a new member id, as a member that joins the cluster.
    void startJoining(size_t host);
    void crash(size_t host);

    /// Starts a crashed host with the disk that it has.
    void restart(size_t host);

    /// Crashes the host and restarts it with an empty disk.
    void loseDisk(size_t host);
    void setClockRate(size_t host, double rate);

    /// Ends a pause and delivers the messages received meanwhile.
    void resume(size_t host);

    /// Ends all network faults of the host.
    void healNetwork(size_t host);

    void run(Duration duration);
    /// Runs until the condition holds after an event. Returns false if it does not within the limit, or if a
    /// violation is found.
    bool runUntil(const std::function<bool()> &condition, Duration limit = 20s);

    /// Proposes a new command at the host.
    raft::RequestId propose(size_t host);
    void handle(size_t host, const raft::Event &event);

    /// Requests a leadership confirmation at all running hosts; a successful one must see all acknowledged
    /// commands.
    void confirmOnAllHosts();
    void scheduleEvery(Duration interval, std::function<void()> callback);

    /// Host that holds the lease, if any.
    std::optional<size_t> leader() const;
    Host &host(size_t number) { return this->hosts[number]; }
    size_t hostCount() const { return this->hosts.size(); }
    std::optional<size_t> hostOf(MemberId id) const;
    TimePoint clock(const Host &host) const;

    /// Whether all members according to the leader run, are voters and know its commit index, and no other
    /// host runs.
    bool isRepaired() const;
    bool isAcknowledged(raft::RequestId request) const { return this->acknowledged.contains(request); }
    bool isRejected(raft::RequestId request) const { return this->rejected.contains(request); }

    /// Called with every message sent, to detect moments such as the sending of the second snapshot chunk.
    std::function<void(const raft::Envelope &)> onSend;

    /// Checks that every running member has applied every acknowledged command, and none twice.
    void checkAcknowledged();
    const std::vector<std::string> &violations() const { return this->foundViolations; }

    Random random;
    /// Whether a host whose disk is lost gets a new member id, as it must: with its old id it could vote
    /// twice in one term.
    bool assignsNewIdentity = true;

private:
    void schedule(Duration at, std::function<void()> callback);
    void scheduleTick(size_t host, uint64_t incarnation);
    void start(Host &host);
    void execute(Host &host, raft::Actions actions);
    bool executeOne(Host &host, const raft::Action &action);
    void transmit(Host &from, const raft::Send &send);
    void deliver(size_t to, const raft::Envelope &envelope);
    void onAnswer(const Host &host, const raft::Answer &answer);
    void checkAfterEvent(Host &host);
    void checkLeases();
    void addViolation(const std::string &text);

    RaftSettings settings;
    std::deque<Host> hosts;
    std::map<MemberId, MemoryDisk> lostDisks; // content when they were lost
    std::multimap<Duration, std::function<void()>> timeline;
    Duration time{0};
    raft::RequestId lastRequest = 0;
    std::map<raft::RequestId, std::string> proposed;
    std::set<raft::RequestId> confirmations;
    std::map<raft::RequestId, std::string> acknowledged;
    std::vector<std::string> acknowledgedInOrder;
    std::set<raft::RequestId> rejected;
    std::map<Term, MemberId> leaders;
    std::map<LogIndex, std::pair<Term, std::string>> committed;
    std::vector<std::string> foundViolations;
};

} // namespace eelgrasslift::test
