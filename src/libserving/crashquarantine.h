#pragma once

#include "libcore/digest.h"
#include "libserving/instant.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace eelgrasslift {

/// Identifies equal requests: the SHA-256 of account, model or service, and body, each prefixed with its
/// length.
Sha256 requestFingerprint(std::string_view account, std::string_view modelOrService, std::string_view body);

/// Replicated count of the target deaths that are attributed to a fingerprint. Entries exchange marks by
/// gossip.
///
/// A fingerprint with at least one death but fewer than the limit is a suspect; at the limit it is
/// quarantined. A mark with 0 deaths records that the fingerprint was cleared.
struct QuarantineMark
{
    Sha256 fingerprint{};
    uint32_t deaths = 0;
    /// Time at which the mark expires.
    WallTime until{};
    bool operator==(const QuarantineMark &) const = default;
};

struct QuarantineSettings
{
    /// Number of deaths after which a fingerprint is refused, including the first one, which may be shared
    /// with other requests. Values below 2 count as 2.
    uint32_t deathLimit = 2;
    /// Time from the last death, or from the completed run that cleared the suspect, until the mark expires.
    Duration markLifetime = std::chrono::hours{1};
    /// A reservation that is not renewed within this time expires.
    Duration reservationLease = std::chrono::seconds{10};
    /// Time for which a run whose connection was lost waits for a report that tells whether its process died.
    Duration unresolvedLimit = std::chrono::seconds{10};
    /// Marks of further fingerprints from other entries are ignored beyond this number.
    size_t maxMarks = 10'000;
};

/// The request may run beside other requests.
struct RunNormally
{};

/// The request is a suspect: reserve a target with IsolationClaim, then start the run with isIsolated set.
struct RunIsolated
{};

/// The request is quarantined and must be refused.
struct RefuseQuarantined
{
    /// Time at which the quarantine ends.
    WallTime until{};
};

using QuarantineVerdict = std::variant<RunNormally, RunIsolated, RefuseQuarantined>;

/// Request to an entry to reserve a target for one isolated run of a suspect, or to renew the reservation.
struct IsolationRequest
{
    Sha256 fingerprint{};
    std::string target;
    std::string claimId;
    /// The requesting entry's mark of the fingerprint, which the receiving entry merges into its own.
    QuarantineMark mark;
};

/// Reply of an entry to a request to reserve a target.
enum class IsolationVerdict {
    /// The target is reserved and this entry has no other requests on it.
    Granted,
    /// The target is reserved, but earlier requests of this entry still run on it. Send the request again.
    Busy,
    /// Another run of this fingerprint, or another run on this target, holds a reservation.
    Held,
    /// The fingerprint is quarantined.
    Quarantined
};

/// Reply to an IsolationRequest. The requesting entry merges the mark, so that it also counts a death that it
/// has not received by gossip yet.
struct IsolationReply
{
    IsolationVerdict verdict = IsolationVerdict::Held;
    /// The replying entry's mark of the fingerprint; all zero if it has none.
    QuarantineMark mark;
};

/// Reply of a target to the question which process serves it.
struct IncarnationReport
{
    std::string target;
    /// Identifies the process; another value after each restart.
    uint64_t incarnation = 0;
    /// Time at which the target was asked.
    TimePoint askedAt;
};

/// What is known about the process of a run whose connection was lost.
enum class ProcessFate {
    /// The reports so far do not tell. Ask the target again.
    Unknown,
    /// The process still runs: only the connection was lost.
    Alive,
    /// The process died, and its death has been counted for the run.
    Died
};

/// Detects requests that crash their targets, for one entry: its quarantine marks, its requests in flight and
/// the targets that are reserved for isolated runs.
///
/// A death of a target with several requests makes all their fingerprints suspects, but never more than that.
/// Only the death of a run that every live entry isolated raises the count further. Thus a request that
/// merely ran beside a crash-inducing one is never refused.
///
/// A target that accepts connections may still have died: its host or its next process accepts them too. A
/// run therefore belongs to the process that its target reported last, and another process in a later report
/// is the death of the first one.
class CrashQuarantine
{
public:
    explicit CrashQuarantine(QuarantineSettings settings);
    void setSettings(const QuarantineSettings &newSettings) { this->settings = newSettings; }

    /// Decides how a request with this fingerprint may run.
    QuarantineVerdict admit(const Sha256 &fingerprint, const Instant &instant);

    /// Whether the target is not reserved, so that a request that is no suspect may be sent to it.
    bool isTargetAvailable(std::string_view target, const Instant &instant) const;

    /// Registers a request that is sent to a target, and to the process in the target's last report. Before
    /// an isolated run, ask the target. request: an id that is unique in this entry.
    void requestStarted(uint64_t request, const Sha256 &fingerprint, std::string_view target,
                        bool isIsolated);
    /// Marks an isolated run as not isolated, since other requests may now run on its target: a death of the
    /// target then counts as one with several requests.
    void isolationLost(uint64_t request);
    /// The request ended without a known death of its target. A suspect that completed is cleared. An
    /// unresolved run stays registered, see connectionLost().
    void requestFinished(uint64_t request, bool isComplete, const Instant &instant);
    /// Handles the death of a target's process: removes the requests that were in flight at it and counts the
    /// death for their fingerprints. Returns the new or changed marks, to be sent to the other entries at
    /// once (see MarkBroadcast).
    std::vector<QuarantineMark> targetDied(std::string_view target, const Instant &instant);
    /// Handles a report of a target's process. If it is another process than before, counts the death of the
    /// one before for its requests, and returns the marks as targetDied() does. Ignores a report whose
    /// question is older than the last report, since it may come from an earlier process.
    std::vector<QuarantineMark> incarnationReported(const IncarnationReport &report, const Instant &instant);
    /// Tells what the report, which incarnationReported() has handled, shows for a run.
    ProcessFate processFate(uint64_t request, const IncarnationReport &report) const;
    /// Handles a lost connection after which the target did not report its process: the run is unresolved.
    /// The next report decides, within unresolvedLimit.
    void connectionLost(uint64_t request, const Instant &instant);
    /// Makes a suspect of a request whose process is unknown after a lost connection. Returns the mark as
    /// targetDied() does.
    std::vector<QuarantineMark> suspectRun(uint64_t request, const Instant &instant);
    /// Whether the run is unresolved. Its isolation must not end before.
    bool isUnresolved(uint64_t request, const Instant &instant) const;
    /// Whether the run has neither ended nor been counted in a death.
    bool isInFlight(uint64_t request) const { return this->inFlight.contains(request); }

    /// Reserves the target of the request or renews the reservation with the same claim id. From then on no
    /// other request may be sent to the target, also if the verdict is Busy.
    IsolationReply reserve(const IsolationRequest &request, const Instant &instant);
    /// Ends a reservation; an unknown claim id is ignored.
    void release(std::string_view claimId);

    /// All unexpired marks, for gossip. Cleared ones have 0 deaths.
    std::vector<QuarantineMark> marks(const Instant &instant) const;
    /// Merges a mark received from another entry or from the control state.
    void merge(const QuarantineMark &mark, const Instant &instant);
    /// Clears a suspect or quarantined fingerprint on an operator's command.
    void clear(const Sha256 &fingerprint);

    /// Whether the unexpired deaths of the fingerprint have reached the limit.
    bool isQuarantined(const Sha256 &fingerprint, const Instant &instant) const;
    /// Whether the fingerprint has unexpired deaths, but fewer than the limit.
    bool isSuspect(const Sha256 &fingerprint, const Instant &instant) const;

private:
    struct InFlightRequest
    {
        Sha256 fingerprint{};
        std::string target;
        bool isIsolated = false;
        /// Process in the target's last report when the run started; not set if it was unknown.
        std::optional<uint64_t> incarnation;
        /// Time at which the connection was lost, while the run is unresolved.
        std::optional<TimePoint> lostAt;
        /// The request has ended; the run is registered only because it is unresolved.
        bool hasEnded = false;
    };
    struct TargetProcess
    {
        /// Not set before the first report and after a death.
        std::optional<uint64_t> incarnation;
        /// Time of the last report or death. A report that was asked for earlier may be outdated.
        TimePoint knownAt{};
    };
    struct Reservation
    {
        Sha256 fingerprint{};
        std::string target;
        TimePoint until;
    };

    uint32_t effectiveDeathLimit() const { return std::max(MinDeathLimit, this->settings.deathLimit); }
    uint32_t deathsOf(const Sha256 &fingerprint, const Instant &instant) const;
    bool isBusy(const IsolationRequest &request) const;
    bool hasExpired(const InFlightRequest &run, const Instant &instant) const;
    std::vector<QuarantineMark> countDeath(std::string_view target, const Instant &instant);
    const QuarantineMark &addDeath(const Sha256 &fingerprint, bool isIsolatedDeath, const Instant &instant);
    void resolveAlive(const IncarnationReport &report);
    void dropExpired(const Instant &instant);

    /// With a limit of 1, all requests that shared the target at the first death would be refused.
    static constexpr uint32_t MinDeathLimit = 2;

    QuarantineSettings settings;
    std::map<Sha256, QuarantineMark> marksByFingerprint;
    std::map<uint64_t, InFlightRequest> inFlight;
    std::map<std::string, TargetProcess, std::less<>> processes;
    std::map<std::string, Reservation, std::less<>> reservations;
};

} // namespace eelgrasslift
