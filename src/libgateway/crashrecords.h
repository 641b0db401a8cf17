#pragma once

#include "libcore/core.h"
#include "libgateway/crashblame.h"
#include "libgateway/leavingrunners.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace eelgrasslift {

/// First bytes of the digest, which suffice to tell requests apart.
uint64_t shortFingerprint(const Sha256 &fingerprint);

/// First bytes of the digest in hex, which suffice to find equal requests in the log.
std::string fingerprintText(const Sha256 &fingerprint);

/// Identifies a part of prompts, whatever requests it is in.
Sha256 promptPartFingerprint(std::string_view id);

/// What crashes are counted for.
enum class CrashSubject {
    Request,   ///< Equal requests; see requestFingerprint().
    PromptPart ///< Requests with a part of their prompts in common; see promptPartFingerprint().
};

std::string_view toString(CrashSubject subject);

/// What one process tells another about a request, or a part of prompts, under which runners have ended.
/// Times are ages, since processes have no common clock.
struct CrashReport
{
    struct Crash
    {
        /// The runner that ended while it ran the request.
        RunnerIncarnation runner;
        Duration age{};
        /// Tells requests with the same part apart; see shortFingerprint().
        uint64_t request = 0;
        /// Whether the runner had begun to respond to the request.
        bool isAnswered = true;
        bool operator==(const Crash &) const = default;
    };

    Sha256 fingerprint{};
    std::vector<Crash> crashes;
    /// Time since a run was last completed; absent if that is not known.
    std::optional<Duration> completedAge;
    CrashSubject subject = CrashSubject::Request;
    /// Place of the part in the prompt.
    uint32_t position = 0;
    bool operator==(const CrashReport &) const = default;
};

/// Reports of changes, with the version up to which they are complete.
struct CrashChanges
{
    uint64_t version = 0;
    std::vector<CrashReport> reports;
};

/// Counts the runners that have ended while they ran a request, over all attempts of all callers, and refuses
/// the request when there were too many. Does the same for parts of prompts, whatever requests they are in.
/// Each gateway records what it sees; a coordinator merges the reports of all gateways and returns those of
/// refused requests. Merging is commutative and idempotent, so that reports may be repeated and may come from
/// several coordinators.
///
/// Load pattern: a request that ends each runner that begins to run it comes again every few hundred
/// milliseconds, each time with another id and at another gateway. Requests that run beside it, and frequent
/// ones while runners crash for other reasons, lose runners too, but are completed in between.
class CrashRecords
{
public:
    /// What a change of a record means for its request.
    enum class Change {
        None,        ///< Nothing new.
        Recorded,    ///< The record has changed, but the subject is treated as before.
        Quarantined, ///< The subject is refused from now on.
        Cleared      ///< The subject is no longer refused.
    };

    /// Records that the runner has ended while it ran the request.
    Change recordCrash(const Sha256 &fingerprint, const RunnerIncarnation &runner, TimePoint now);
    /// Records that the runner has ended as it began to respond to the request with the part at the position
    /// of its prompt, or, unless isAnswered, before that.
    Change recordPromptPartCrash(const Sha256 &part, uint32_t position, const Sha256 &request,
                                 const RunnerIncarnation &runner, TimePoint now, bool isAnswered = true);
    /// Records that a run was completed, or has gone on past its beginning, which clears its subject.
    Change recordCompletion(const Sha256 &fingerprint, TimePoint now);
    /// Adds what another process reports.
    Change merge(const CrashReport &report, TimePoint now);

    /// Whether other gateways report to this process, directly or by a coordinator. Parts under which runners
    /// had begun to respond are then refused only after SettleTime, since the others may have served
    /// them.
    void setHasOthers(bool hasOthers)
    {
        this->answeredSettleTime = hasOthers ? SettleTime : Duration::zero();
    }

    /// Refuses the parts whose SettleTime is over. Returns those that are refused from now on.
    std::vector<Sha256> settle(TimePoint now);

    /// Returns until when requests with the fingerprint, or all requests with the part, are refused; nothing
    /// if they are not.
    std::optional<TimePoint> quarantinedUntil(const Sha256 &fingerprint, TimePoint now) const;

    /// Why requests are refused.
    struct Quarantine
    {
        /// The request, or a part of its prompt that may end runners.
        Sha256 subject{};
        TimePoint until{};
    };
    /// Returns whether requests whose prompts have these parts, among others, are refused; nothing if not.
    std::optional<Quarantine> quarantineOf(std::span<const Sha256> promptParts, TimePoint now) const;
    /// Number of runners that have ended under the subject since it was last completed, without those that a
    /// part of prompts explains.
    size_t crashCount(const Sha256 &fingerprint, TimePoint now) const;
    /// Ids of these runners, separated by commas, for the log.
    std::string crashedRunners(const Sha256 &fingerprint) const;
    /// Whether runners have ended under any request. Without that no fingerprint needs to be compared.
    bool isEmpty() const { return this->records.empty(); }
    size_t size() const { return this->records.size(); }

    /// Version of the last change; 0 before the first.
    uint64_t version() const { return this->currentVersion; }
    /// Returns at most MaxReports records that have changed since the version, the earliest change first.
    CrashChanges changesSince(uint64_t version, TimePoint now) const;
    /// The same for requests that are refused or were refused, which concern all gateways.
    CrashChanges refusalsSince(uint64_t version, TimePoint now) const;

    /// Runners that may end under a request before it is refused, as specified by the users.
    static constexpr size_t CrashLimit = 3;
    /// Time after the last crash for which a record is kept and a request is refused.
    static constexpr Duration Lifetime = std::chrono::hours{1};
    /// For so long after a completed run a crash is not attributed to the request.
    static constexpr Duration CompletionProtection = std::chrono::seconds{30};
    /// The same for a part of prompts. Many requests have it, so that it is completed more often; and it may
    /// begin to end runners at any time, which is to be found out within some crashes.
    static constexpr Duration PromptPartProtection = std::chrono::seconds{2};
    /// All requests that wait at a runner are lost with it, whoever ended it. Ends of runners that are closer
    /// together than this may have one common cause, a power loss for example, and count once among those
    /// before the response.
    static constexpr Duration MinCrashInterval = std::chrono::milliseconds{250};
    /// Runners end for other reasons as well. Requests with a part that are lost at four of them, hours
    /// apart, prove nothing.
    static constexpr Duration MaxCrashSpan = std::chrono::minutes{1};
    /// Time in which other gateways can contradict such evidence by a request with the part that they have
    /// served: three exchanges. Gateways may need three seconds, as specified by the users.
    static constexpr Duration SettleTime = std::chrono::seconds{1};
    /// The same for a part under which runners had begun to respond, if a part of requests that waited at the
    /// same runners may have ended them. That part then has had time to end further runners.
    static constexpr Duration AlternativeSettleTime = 2 * SettleTime;
    /// Limits the memory of records to 1 MB. Those with the fewest crashes are dropped first, then the oldest
    /// ones.
    static constexpr size_t MaxRecords = 2048;
    /// Completed requests that are remembered without a crash: 0.5 MB.
    static constexpr size_t MaxCompletions = 4096;
    /// Limits one exchange to some kilobytes.
    static constexpr size_t MaxReports = 64;

private:
    struct Crash
    {
        TimePoint at;
        /// As in CrashReport; at most MaxCrashRequests.
        std::set<uint64_t> requests;
        bool isAnswered = true;
    };

    struct Record
    {
        CrashSubject subject = CrashSubject::Request;
        uint32_t position = 0;
        std::map<RunnerIncarnation, Crash> crashes;
        std::optional<TimePoint> completedAt;
        uint64_t changedIn = 0;
        /// Since when there are enough crashes to refuse the part.
        std::optional<TimePoint> suspectSince{};

        TimePoint lastCrashAt() const;
        size_t answeredCrashes() const;
        /// Number of crashes up to MaxCrashSpan before the last one, without those that follow another one
        /// within MinCrashInterval.
        size_t separateCrashes() const;
        /// Adds the crash at the runner. Returns whether it is new.
        bool add(const RunnerIncarnation &runner, const Crash &crash);
        /// Whether the evidence has lasted for so long without being contradicted.
        bool hasSettled(Duration time, TimePoint now) const;
        bool isExpired(TimePoint now) const { return now - this->lastCrashAt() > Lifetime; }
        Duration protection() const
        {
            return this->subject == CrashSubject::PromptPart ? PromptPartProtection : CompletionProtection;
        }
        /// Whether it has enough crashes to be refused, after SettleTime, if no other subject explains them.
        bool isSuspect(TimePoint now) const;
    };

    /// Adds the crashes and the completion to the record of the subject, which is created if it is needed.
    Change update(const Sha256 &fingerprint, const Record &added, TimePoint now);
    /// Whether requests with the fingerprint are refused, or some of those with the part.
    bool isQuarantined(const Sha256 &fingerprint, const Record &record, TimePoint now) const;
    /// Crashes of the record that are not explained by another subject.
    size_t unexplainedCrashes(const Sha256 &fingerprint, const Record &record, TimePoint now) const;
    /// Whether requests that waited at the runners which have ended under the part explain that as well.
    bool hasAlternative(const SuspectPromptPart &suspect) const;
    /// Finds the parts of prompts to refuse, after a record of a part has changed.
    void updateBlame(TimePoint now);
    std::optional<TimePoint> completionOf(const Sha256 &fingerprint) const;
    void makeRoom(TimePoint now);

    using RecordItem = std::pair<const Sha256, Record>;
    /// Selects those of the records that have changed since the version.
    CrashChanges changesAmong(std::vector<const RecordItem *> items, uint64_t version, TimePoint now) const;

    std::map<Sha256, Record> records;
    CrashBlame blame;
    Duration answeredSettleTime{};
    /// When the next part may be refused by settle().
    std::optional<TimePoint> nextSettleAt;
    /// Subjects that are refused, or that others may refuse because they have or had enough crashes.
    std::set<Sha256> refusals;
    std::map<Sha256, TimePoint> completions;
    /// Order in which completions are forgotten.
    std::deque<Sha256> completionOrder;
    uint64_t currentVersion = 0;
};

} // namespace eelgrasslift
