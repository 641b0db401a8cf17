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

/// One machine: a disk, a clock with its own rate, and a node while it runs.
struct Host
{
    size_t number = 0;
    MemoryDisk disk;
    std::optional<RaftNode> node;
    std::vector<std::string> applied;
    std::vector<raft::Envelope> inbox; // arrived while frozen
    uint64_t incarnation = 0;
    bool isFrozen = false;
    bool isRetired = false; // removed from the cluster and stopped for good
    bool crashesAtNextSync = false;
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

/// Hosts, a network and a clock that are driven by hand. The same seed gives the same run. Every event is
/// followed by the safety checks; what they find is added to violations().
class Simulation
{
public:
    Simulation(uint64_t seed, size_t voters, RaftSettings settings = testSettings());

    /// Small snapshots and chunks, so that short runs reach them.
    static RaftSettings testSettings();

    size_t addHost();
    void startJoining(size_t host);
    void crash(size_t host);
    void restart(size_t host);
    void loseDisk(size_t host);
    void setClockRate(size_t host, double rate);
    void thaw(size_t host);
    void healNetwork(size_t host);

    void run(Duration duration);
    /// Runs until the condition holds after some event; false if it does not within the limit.
    bool runUntil(const std::function<bool()> &condition, Duration limit = 20s);

    raft::RequestId propose(size_t host);
    void handle(size_t host, const raft::Event &event);
    void confirmEverywhere();
    void every(Duration interval, std::function<void()> callback);

    std::optional<size_t> leader() const;
    Host &host(size_t number) { return this->hosts[number]; }
    size_t hostCount() const { return this->hosts.size(); }
    std::optional<size_t> hostOf(MemberId id) const;
    TimePoint clock(const Host &host) const;

    /// All members of the leader's membership run, are voters, and have the leader's committed entries.
    bool isRepaired() const;
    bool isAcknowledged(raft::RequestId request) const { return this->acknowledged.contains(request); }
    size_t acknowledgedCount() const { return this->acknowledged.size(); }

    /// The last messages sent, to find moments such as "the second snapshot chunk is under way".
    std::function<void(const raft::Envelope &)> onSend;

    /// Checks that every running member has applied every acknowledged command.
    void checkAcknowledged();
    const std::vector<std::string> &violations() const { return this->found; }

    Random random;
    /// Off only to show what goes wrong without it: a host whose disk is lost gets a new member id.
    bool givesNewIdentity = true;

private:
    void schedule(Duration at, std::function<void()> callback);
    void scheduleTick(size_t host, uint64_t incarnation);
    void start(Host &host);
    void execute(Host &host, raft::Actions actions);
    bool executeOne(Host &host, const raft::Action &action);
    void transmit(Host &from, const raft::Send &send);
    void deliver(size_t to, const raft::Envelope &envelope);
    void onAnswer(const Host &host, const raft::Answer &answer);
    void checkAfter(Host &host);
    void checkLeases();
    void violation(const std::string &text);

    RaftSettings settings;
    std::deque<Host> hosts;
    std::multimap<Duration, std::function<void()>> timeline;
    Duration time{0};
    raft::RequestId lastRequest = 0;
    std::map<raft::RequestId, std::string> proposed;
    std::set<raft::RequestId> confirmations;
    std::map<raft::RequestId, size_t> acknowledgedBefore; // per confirmation
    std::map<raft::RequestId, std::string> acknowledged;
    std::vector<std::string> acknowledgedInOrder;
    std::map<Term, MemberId> leaders;
    std::map<LogIndex, std::pair<Term, std::string>> committed;
    std::vector<std::string> found;
};

} // namespace eelgrasslift::test
