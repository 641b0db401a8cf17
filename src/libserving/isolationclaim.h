#pragma once

#include "libserving/crashquarantine.h"

#include <set>
#include <variant>

namespace eelgrasslift {

struct IsolationClaimSettings
{
    /// Longest time to gather the grants.
    Duration timeout = std::chrono::seconds{5};
    Duration resendInterval = std::chrono::milliseconds{200};
    /// Grants are renewed this often while the run lasts. Isolation counts as lost when an entry has not
    /// confirmed a renewal for isolationLimit, which must be below the reservation lease.
    Duration renewInterval = std::chrono::seconds{2};
    Duration isolationLimit = std::chrono::seconds{8};
};

struct SendIsolationRequest
{
    std::string entry;
    IsolationRequest request;
};

struct SendIsolationRelease
{
    std::string entry;
    std::string claimId;
};

/// Every live entry keeps the target free: start the run with isAlone.
struct IsolationGranted
{};

/// The run cannot be isolated now; the request was not run.
struct IsolationRefused
{
    bool isQuarantined = false;
};

/// An entry may have ended its reservation while the run lasts: call CrashQuarantine::lostIsolation. Tick
/// before a death is reported, so that a process that was frozen notices.
struct IsolationLost
{};

using IsolationAction = std::variant<SendIsolationRequest, SendIsolationRelease, IsolationGranted,
                                     IsolationRefused, IsolationLost>;

/// Coordinator of one run of a suspect. Needs a grant of every live entry, so that no neighbour dies with the
/// suspect, and of a majority of the owner domain's slots, so that two sides of a partition do not both run
/// it.
class IsolationClaim
{
public:
    /// liveEntries: all entries that may send to the target, this one included. ownerEntries: those of them
    /// in the owner domain, which has ownerSize configured slots.
    IsolationClaim(IsolationRequest request, std::set<std::string> liveEntries,
                   std::set<std::string> ownerEntries, uint32_t ownerSize, IsolationClaimSettings settings);

    std::vector<IsolationAction> start(const Instant &instant);
    std::vector<IsolationAction> handleReply(const std::string &entry, IsolationVerdict verdict,
                                             const Instant &instant);
    std::vector<IsolationAction> tick(const Instant &instant);
    /// The run has ended in any way, or is no longer wanted.
    std::vector<IsolationAction> end();
    std::optional<TimePoint> nextTick() const;

private:
    enum class State { Idle, Asking, Granted, Ended };

    void ask(const Instant &instant);
    bool isGrantedByAll() const;
    void refuse(bool isQuarantined);
    void releaseAll();
    std::vector<IsolationAction> takeActions();

    IsolationRequest request;
    std::set<std::string> liveEntries;
    std::set<std::string> ownerEntries;
    uint32_t ownerSize;
    IsolationClaimSettings settings;
    State state = State::Idle;
    bool isFirstReserved = false;
    bool isLost = false;
    std::map<std::string, TimePoint> grantedAt;
    TimePoint deadline;
    TimePoint nextSend;
    std::vector<IsolationAction> actions;
};

} // namespace eelgrasslift
