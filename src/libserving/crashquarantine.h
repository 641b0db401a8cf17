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
struct RunIsolated
{};

struct RefuseQuarantined
{
    WallTime until{};
};

using QuarantineVerdict = std::variant<RunNormally, RunIsolated, RefuseQuarantined>;

/// Asks an entry to keep a target free for one run of a suspect. Also sent to renew.
struct IsolationRequest
{
    Sha256 fingerprint{};
    std::string target;
    std::string claimId;
    /// The coordinator's count, merged by the entry that is asked.
    QuarantineMark mark;
};

enum class IsolationVerdict {
    Granted,
    /// This entry still has requests on the target; it sends no new ones. Ask again.
    Busy,
    /// Another run of this fingerprint or on this target is reserved.
    Held,
    /// The fingerprint is quarantined.
    Quarantined
};

/// Answer to an AloneRequest. The coordinator's entry merges the mark, so that a death which gossip has not
/// brought yet is counted.
struct IsolationReply
{
    IsolationVerdict verdict = IsolationVerdict::Held;
    QuarantineMark mark;
};

/// Suspects, reservations and quarantine marks of one entry.
///
/// A joint death makes every fingerprint on the target a suspect and never more; only a death of a run that
/// every live entry isolated adds to the count. So no neighbour of a crash-inducing request is refused.
class CrashQuarantine
{
public:
    explicit CrashQuarantine(QuarantineSettings settings);
    void setSettings(const QuarantineSettings &newSettings) { this->settings = newSettings; }

    QuarantineVerdict admit(const Sha256 &fingerprint, const Instant &instant);

    /// Whether a normal request may be sent to the target now.
    bool isTargetAvailable(std::string_view target, const Instant &instant) const;

    void requestStarted(uint64_t request, const Sha256 &fingerprint, std::string_view target, bool isAlone);
    /// The isolation of a run can no longer be vouched for: its death counts as a joint one.
    void isolationLost(uint64_t request);
    /// The request ended without a death of its target; a suspect that completes is cleared.
    void requestFinished(uint64_t request, bool isComplete, const Instant &instant);
    /// The target's process died. Returns marks that are new or changed, to spread at once.
    std::vector<QuarantineMark> targetDied(std::string_view target, const Instant &instant);

    IsolationReply reserve(const IsolationRequest &request, const Instant &instant);
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

    uint32_t limit() const { return std::max(MinDeaths, this->settings.deaths); }
    uint32_t deathsOf(const Sha256 &fingerprint, const Instant &instant) const;
    bool isBusy(const IsolationRequest &request) const;
    void dropExpired(const Instant &instant);

    /// With one death alone, the neighbours of the first joint death would be refused.
    static constexpr uint32_t MinDeaths = 2;

    QuarantineSettings settings;
    std::map<Sha256, QuarantineMark> known;
    std::map<uint64_t, InFlight> inFlight;
    std::map<std::string, Reservation, std::less<>> reservations;
};

} // namespace eelgrasslift
