#pragma once

#include "libserving/crashquarantine.h"

#include <set>
#include <variant>

namespace eelgrasslift {

struct AloneClaimSettings
{
    /// Longest time to gather the grants.
    Duration timeout = std::chrono::seconds{5};
    Duration resendInterval = std::chrono::milliseconds{200};
    /// Grants are renewed this often while the run lasts. Isolation counts as lost when an entry has not
    /// confirmed a renewal for isolationLimit, which must be below the reservation lease.
    Duration renewInterval = std::chrono::seconds{2};
    Duration isolationLimit = std::chrono::seconds{8};
};

struct SendAloneRequest
{
    std::string entry;
    AloneRequest request;
};

struct SendAloneRelease
{
    std::string entry;
    std::string claimId;
};

/// Every live entry keeps the target free: start the run with isAlone.
struct AloneGranted
{};

/// The run cannot be isolated now; the request was not run.
struct AloneRefused
{
    bool isQuarantined = false;
};

/// An entry may have ended its reservation while the run lasts: call CrashQuarantine::lostIsolation. Tick
/// before a death is reported, so that a process that was frozen notices.
struct AloneLost
{};

using AloneAction = std::variant<SendAloneRequest, SendAloneRelease, AloneGranted, AloneRefused, AloneLost>;

/// Coordinator of one run of a suspect. Needs a grant of every live entry, so that no neighbour dies with the
/// suspect, and of a majority of the owner domain's slots, so that two sides of a partition do not both run
/// it.
class AloneClaim
{
public:
    /// liveEntries: all entries that may send to the target, this one included. ownerEntries: those of them
    /// in the owner domain, which has ownerSize configured slots.
    AloneClaim(AloneRequest request, std::set<std::string> liveEntries, std::set<std::string> ownerEntries,
               uint32_t ownerSize, AloneClaimSettings settings);

    std::vector<AloneAction> start(const Instant &instant);
    std::vector<AloneAction> replied(const std::string &entry, AloneVerdict verdict, const Instant &instant);
    std::vector<AloneAction> tick(const Instant &instant);
    /// The run has ended in any way, or is no longer wanted.
    std::vector<AloneAction> end();
    std::optional<TimePoint> nextTick() const;

private:
    enum class State { Idle, Asking, Granted, Ended };

    void ask(const Instant &instant);
    bool isGrantedByAll() const;
    void refuse(bool isQuarantined);
    void releaseAll();
    std::vector<AloneAction> takeActions();

    AloneRequest request;
    std::set<std::string> liveEntries;
    std::set<std::string> ownerEntries;
    uint32_t ownerSize;
    AloneClaimSettings settings;
    State state = State::Idle;
    bool isFirstReserved = false;
    bool isLost = false;
    std::map<std::string, TimePoint> grantedAt;
    TimePoint deadline;
    TimePoint nextSend;
    std::vector<AloneAction> actions;
};

} // namespace eelgrasslift
