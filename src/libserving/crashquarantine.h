#pragma once

#include "libcore/digest.h"
#include "libserving/instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace eelgrasslift {

/// SHA-256 over account, service or model, and body, each with its length.
Sha256 requestFingerprint(std::string_view account, std::string_view target, std::string_view body);

/// What entries tell each other about a fingerprint: deaths below the limit make a suspect.
struct QuarantineMark
{
    Sha256 fingerprint{};
    uint32_t deaths = 0;
    WallTime until{};
    bool operator==(const QuarantineMark &) const = default;
};

struct QuarantineSettings
{
    /// Deaths after which a fingerprint is refused, the first joint one included.
    uint32_t deaths = 2;
    Duration hold = std::chrono::hours{1};
    /// A reservation whose holder is silent for this long ends.
    Duration reservationLease = std::chrono::seconds{10};
    size_t maxMarks = 10'000;
};

struct RunNormally
{};

/// The request is a suspect: reserve a target with AloneClaim, then start it with isAlone.
struct RunAlone
{};

struct RefuseQuarantined
{
    WallTime until{};
};

using QuarantineVerdict = std::variant<RunNormally, RunAlone, RefuseQuarantined>;

/// Asks an entry to keep a target free for one run of a suspect. Also sent to renew.
struct AloneRequest
{
    Sha256 fingerprint{};
    std::string target;
    std::string claimId;
};

enum class AloneVerdict {
    Granted,
    /// This entry still has requests on the target; it sends no new ones. Ask again.
    Busy,
    /// Another run of this fingerprint or on this target is reserved.
    Held,
    /// The fingerprint is quarantined.
    Quarantined
};

/// Suspects, reservations and quarantine marks of one entry.
class CrashQuarantine
{
public:
    explicit CrashQuarantine(QuarantineSettings settings);
    void setSettings(const QuarantineSettings &newSettings) { this->settings = newSettings; }

    QuarantineVerdict admit(const Sha256 &fingerprint, const Instant &instant);

    /// Whether a normal request may be sent to the target now.
    bool mayUse(std::string_view target, const Instant &instant) const;

    void started(uint64_t request, const Sha256 &fingerprint, std::string_view target, bool isAlone);
    /// The request ended without a death of its target; a suspect that completes is cleared.
    void finished(uint64_t request, bool isComplete, const Instant &instant);
    /// The target's process died. Returns marks that are new or changed, to spread at once.
    std::vector<QuarantineMark> targetDied(std::string_view target, const Instant &instant);

    AloneVerdict reserve(const AloneRequest &request, const Instant &instant);
    void release(std::string_view claimId);

    /// Suspects and marks for the gossip digest; cleared ones are sent with 0 deaths until they expire.
    std::vector<QuarantineMark> marks(const Instant &instant) const;
    void merge(const QuarantineMark &mark, const Instant &instant);
    /// An operator's decision, or the control state's.
    void clear(const Sha256 &fingerprint);

    bool isQuarantined(const Sha256 &fingerprint, const Instant &instant) const;
    bool isSuspect(const Sha256 &fingerprint, const Instant &instant) const;

private:
    struct InFlight
    {
        Sha256 fingerprint{};
        std::string target;
        bool isAlone = false;
    };
    struct Reservation
    {
        Sha256 fingerprint{};
        std::string target;
        TimePoint until;
    };

    const QuarantineMark *find(const Sha256 &fingerprint, const Instant &instant) const;
    void dropExpired(const Instant &instant);

    QuarantineSettings settings;
    std::map<Sha256, QuarantineMark> known;
    std::map<uint64_t, InFlight> inFlight;
    std::map<std::string, Reservation, std::less<>> reservations;
};

struct AloneClaimSettings
{
    /// Longest time to gather the grants.
    Duration timeout = std::chrono::seconds{5};
    Duration resendInterval = std::chrono::milliseconds{200};
    /// Grants are renewed this often while the run lasts; well below the lease.
    Duration renewInterval = std::chrono::seconds{3};
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

using AloneAction = std::variant<SendAloneRequest, SendAloneRelease, AloneGranted, AloneRefused>;

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

    std::vector<AloneAction> ask(bool isRenewal, const Instant &instant);
    std::vector<AloneAction> refuse(bool isQuarantined);

    AloneRequest request;
    std::set<std::string> liveEntries;
    std::set<std::string> ownerEntries;
    uint32_t ownerSize;
    AloneClaimSettings settings;
    State state = State::Idle;
    std::set<std::string> grants;
    TimePoint deadline;
    TimePoint nextSend;
};

} // namespace eelgrasslift
