#pragma once

#include "libserving/crashquarantine.h"

#include <set>
#include <variant>

namespace eelgrasslift {

struct IsolationClaimSettings
{
    /// Maximum time to collect the grants of all entries. Must be below the reservation lease.
    Duration timeout = std::chrono::seconds{5};
    /// Requests are sent again at this interval until all entries have granted them.
    Duration resendInterval = std::chrono::milliseconds{200};
    /// Grants are renewed at this interval during the run. Isolation counts as lost when an entry has not
    /// confirmed a renewal for isolationLimit, which must be below the reservation lease.
    Duration renewInterval = std::chrono::seconds{2};
    Duration isolationLimit = std::chrono::seconds{8};
};

/// Send the request to the entry and pass its verdict to IsolationClaim::handleReply().
struct SendIsolationRequest
{
    std::string entry;
    IsolationRequest request;
};

/// Send the entry a message to end the reservation (CrashQuarantine::release()). No reply is expected.
struct SendIsolationRelease
{
    std::string entry;
    std::string claimId;
};

/// Every live entry has reserved the target: start the run with isIsolated set.
struct IsolationGranted
{};

/// The run cannot be isolated now. The request was not run.
struct IsolationRefused
{
    /// Whether an entry reported that the fingerprint is quarantined.
    bool isQuarantined = false;
};

/// The reservation of an entry may have expired during the run: call CrashQuarantine::isolationLost(). Call
/// tick() before reporting a target death, so that a process that was suspended detects the loss first.
struct IsolationLost
{};

using IsolationAction = std::variant<SendIsolationRequest, SendIsolationRelease, IsolationGranted,
                                     IsolationRefused, IsolationLost>;

/// Coordinates the reservation of a target for one isolated run of a suspect, and renews it during the run.
///
/// Requires a grant of every live entry, so that no other request is lost when the suspect crashes the
/// target, and of a majority of the configured slots of the owner domain, so that the two sides of a
/// partition cannot both run the suspect.
///
/// Performs no I/O: the functions return the actions that the entry has to perform, in order.
class IsolationClaim
{
public:
    /// liveEntries: all entries that may send to the target, including this one. ownerEntries: the live
    /// entries of the owner domain, which has ownerSize configured slots.
    IsolationClaim(IsolationRequest request, std::set<std::string> liveEntries,
                   std::set<std::string> ownerEntries, uint32_t ownerSize, IsolationClaimSettings settings);

    /// Requests the reservations, or refuses at once if too few owner entries are live. Call once.
    std::vector<IsolationAction> start(const Instant &instant);
    /// Handles the verdict of an entry on the request or on a renewal.
    std::vector<IsolationAction> handleReply(const std::string &entry, IsolationVerdict verdict,
                                             const Instant &instant);
    /// Sends what is due and checks timeouts; to be called at nextTick().
    std::vector<IsolationAction> tick(const Instant &instant);
    /// Releases all reservations: the run has ended, whatever its outcome, or was cancelled.
    std::vector<IsolationAction> end();
    /// Time of the next tick(); empty before start() and after the claim has ended.
    std::optional<TimePoint> nextTick() const;

private:
    enum class State { Idle, Requesting, Granted, Ended };

    void sendRequests(const Instant &instant);
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
    /// Whether the first entry in id order has reserved the target. The other entries get requests only then.
    bool isFirstEntryReserved = false;
    bool isIsolationLost = false;
    /// Time of the latest grant or renewal of each entry.
    std::map<std::string, TimePoint> grantedAt;
    TimePoint deadline;
    TimePoint nextSend;
    std::vector<IsolationAction> actions;
};

} // namespace eelgrasslift
