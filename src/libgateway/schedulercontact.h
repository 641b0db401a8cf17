#pragma once

#include "libcore/core.h"

#include <string>
#include <string_view>

namespace eelgrasslift {

/// Which coordinator schedules for a gateway, and what the gateway does without the leader.
///
/// Load pattern: 295 gateways lose the leader at once. If each of them read the platform's list and polled
/// 122 runners, that would be some 70,000 polls a second; one coordinator in each failure domain polls
/// instead, as a delegate. Only a gateway that reaches no coordinator at all reads the list itself.
class SchedulerContact
{
public:
    explicit SchedulerContact(TimePoint startedAt)
        : lastLeaderContact(startedAt)
        , lastContact(startedAt)
    {}

    /// Records that a coordinator schedules for this gateway. leaderAddress is the leader that it knows;
    /// empty if it knows none.
    void recordStatus(std::string_view address, bool isLeader, std::string_view leaderAddress, TimePoint now);
    /// Records that a coordinator does not schedule and names the leader, which is tried next.
    void recordRedirect(std::string_view address, std::string_view leaderAddress);
    /// Records that a coordinator did not respond.
    void recordFailure(std::string_view address);

    /// Whether the leader has scheduled for this gateway lately; otherwise a delegate may.
    bool hasLeaderContact(TimePoint now) const { return now - this->lastLeaderContact < LeaderTimeout; }
    /// Whether no coordinator has scheduled for this gateway lately, so that it has to help itself.
    bool isAlone(TimePoint now) const { return now - this->lastContact >= AloneTimeout; }
    /// Time since the last contact with the leader.
    Duration sinceLeaderContact(TimePoint now) const { return now - this->lastLeaderContact; }

    /// ip:port of the coordinator that schedules; empty without one.
    const std::string &scheduler() const { return this->schedulerAddress; }
    /// Returns the coordinator for the next exchange: the scheduler, or from time to time the leader that a
    /// delegate has named. Empty: any other coordinator, which may know the leader if the delegate does not.
    std::string nextAddress(TimePoint now);

private:
    /// Longer than an election.
    static constexpr Duration LeaderTimeout = std::chrono::milliseconds{1500};
    /// Leaves a delegate a second to begin.
    static constexpr Duration AloneTimeout = std::chrono::milliseconds{2500};
    static constexpr Duration LeaderAttemptInterval = std::chrono::seconds{1};

    std::string schedulerAddress;
    bool isSchedulerLeader = false;
    /// Named by another coordinator and not failed since; empty if there is none.
    std::string namedLeader;
    TimePoint lastLeaderContact;
    TimePoint lastContact;
    /// When the named leader, or another coordinator than the delegate, may be tried.
    TimePoint nextLeaderAttempt{};
};

} // namespace eelgrasslift
