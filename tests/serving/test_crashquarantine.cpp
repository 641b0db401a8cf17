#include "libcore/random.h"
#include "libserving/isolationclaim.h"
#include "libserving/markbroadcast.h"

#include "virtualtime.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>
#include <memory>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

constexpr WallTime StartWall{std::chrono::hours{500'000}};

Instant at(Duration duration)
{
    return {TimePoint{} + duration,
            StartWall + std::chrono::duration_cast<std::chrono::milliseconds>(duration)};
}

Sha256 fingerprintOf(int request)
{
    return requestFingerprint("kiosk", "planner", std::to_string(request));
}

/// Simulates entries that send requests to shared targets. The requests below crasherCount kill every target
/// that runs them. Callers resend requests that were lost. Entries are paused at random, and learn of a death
/// in different ways.
class CrashFleet : public VirtualTime
{
public:
    explicit CrashFleet(uint64_t seed)
        : random(seed)
        , entries(3 + this->random.below(3))
        , targetIncarnations(4)
        , targetDownUntil(4)
        , crasherCount(1 + static_cast<int>(this->random.below(2)))
    {
        const int requests = this->crasherCount + 4 + static_cast<int>(this->random.below(8));
        for (int request = 0; request < requests; ++request) {
            const uint64_t copies = request < this->crasherCount ? 1 + this->random.below(3) : 1;
            this->copiesSent[request] = static_cast<int>(copies);
            for (uint64_t copy = 0; copy < copies; ++copy)
                this->schedule(std::chrono::milliseconds{this->random.below(30)},
                               [=, this] { this->submit(request); });
        }
        for (uint64_t faults = this->random.below(3); faults > 0; --faults)
            this->schedule(std::chrono::milliseconds{this->random.below(3000)},
                           [this] { this->pauseEntry(); });
        this->gossip();
    }

    std::string violation() const
    {
        for (int request = 0; request < this->crasherCount; ++request) {
            const auto found = this->deaths.find(request);
            const int bound = 2 + this->additionalCopies(request) + this->entryPauses;
            if (found != this->deaths.end() && found->second > bound)
                return "request " + std::to_string(request) + " killed " + std::to_string(found->second) +
                       " targets, bound " + std::to_string(bound);
        }
        for (const int request : this->refusedRequests) {
            if (request >= this->crasherCount)
                return "harmless request " + std::to_string(request) + " was refused";
        }
        return this->openRequests > 0 ? "a harmless request never completed" : "";
    }

    int totalDeaths() const
    {
        int sum = 0;
        for (const auto &item : this->deaths)
            sum += item.second;
        return sum;
    }
    size_t refusals() const { return this->refusedRequests.size(); }

private:
    struct Entry
    {
        CrashQuarantine quarantine{QuarantineSettings{}};
        std::map<uint64_t, std::unique_ptr<IsolationClaim>> claims;
        std::map<uint64_t, size_t> isolatedTargets;
        TimePoint pausedUntil;
    };
    struct RunningRequest
    {
        int request;
        size_t entry, target;
    };

    Instant instant() const { return ::at(this->now.time_since_epoch()); }
    std::string entryName(size_t entry) const { return std::to_string(entry); }

    int additionalCopies(int request) const
    {
        const auto found = this->copiesAtFirstDeath.find(request);
        const int sent = this->copiesSent.at(request);
        return found == this->copiesAtFirstDeath.end() ? 0 : std::min(found->second, sent) - 1;
    }

    void runWhenNotPaused(size_t entry, std::function<void()> callback)
    {
        const TimePoint resumeTime = this->entries[entry].pausedUntil;
        if (this->now >= resumeTime)
            return callback();
        this->schedule(resumeTime - this->now, [=, this] { this->runWhenNotPaused(entry, callback); });
    }

    void pauseEntry()
    {
        ++this->entryPauses;
        const size_t entry = this->random.below(this->entries.size());
        this->entries[entry].pausedUntil =
                this->now + std::chrono::milliseconds{100 + this->random.below(20'000)};
    }

    void gossip()
    {
        const size_t from = this->random.below(this->entries.size());
        const size_t to = this->random.below(this->entries.size());
        for (const QuarantineMark &mark : this->entries[from].quarantine.marks(this->instant()))
            this->entries[to].quarantine.merge(mark, this->instant());
        const size_t target = this->random.below(this->targetIncarnations.size());
        this->runWhenNotPaused(from, [=, this] { this->poll(from, target); });
        if (this->now < TimePoint{} + 300s)
            this->schedule(100ms, [this] { this->gossip(); });
    }

    /// Asks a target for its process. Returns the marks of the death that the reply shows.
    std::vector<QuarantineMark> readIncarnation(size_t entry, size_t target)
    {
        const IncarnationReport report{std::to_string(target), this->targetIncarnations[target], this->now};
        return this->entries[entry].quarantine.incarnationReported(report, this->instant());
    }

    void poll(size_t entry, size_t target)
    {
        if (this->now >= this->targetDownUntil[target])
            this->broadcast(this->readIncarnation(entry, target), entry, target, {});
    }

    void resubmit(int request)
    {
        this->openRequests -= request >= this->crasherCount ? 1 : 0;
        this->schedule(std::chrono::milliseconds{this->random.below(200)},
                       [=, this] { this->submit(request); });
    }

    void submit(int request)
    {
        this->openRequests += request >= this->crasherCount ? 1 : 0;
        const size_t entry = this->random.below(this->entries.size());
        this->runWhenNotPaused(entry, [=, this] { this->admit(request, entry); });
    }

    void admit(int request, size_t entry)
    {
        CrashQuarantine &quarantine = this->entries[entry].quarantine;
        const QuarantineVerdict verdict = quarantine.admit(fingerprintOf(request), this->instant());
        const size_t target = this->random.below(this->targetIncarnations.size());
        if (std::holds_alternative<RefuseQuarantined>(verdict)) {
            this->refusedRequests.push_back(request);
            this->openRequests -= request >= this->crasherCount ? 1 : 0;
        } else if (std::holds_alternative<RunIsolated>(verdict)) {
            this->claimIsolation(request, entry, target);
        } else if (this->now < this->targetDownUntil[target] ||
                   !quarantine.isTargetAvailable(std::to_string(target), this->instant())) {
            this->resubmit(request);
        } else {
            this->start(++this->lastRunId, request, entry, target, false);
        }
    }

    void claimIsolation(int request, size_t entry, size_t target)
    {
        const uint64_t run = ++this->lastRunId;
        std::set<std::string> entryNames;
        for (size_t other = 0; other < this->entries.size(); ++other)
            entryNames.insert(this->entryName(other));
        IsolationRequest isolationRequest{
                fingerprintOf(request), std::to_string(target), "claim-" + std::to_string(run), {}};
        for (const QuarantineMark &mark : this->entries[entry].quarantine.marks(this->instant())) {
            if (mark.fingerprint == isolationRequest.fingerprint)
                isolationRequest.mark = mark;
        }
        auto claim = std::make_unique<IsolationClaim>(isolationRequest, entryNames,
                                                      std::set<std::string>{"0", "1", "2"}, 3,
                                                      IsolationClaimSettings{});
        IsolationClaim &newClaim = *(this->entries[entry].claims[run] = std::move(claim));
        this->perform(run, request, entry, target, newClaim.start(this->instant()));
        this->tick(run, request, entry, target);
    }

    void tick(uint64_t run, int request, size_t entry, size_t target)
    {
        const auto claim = this->entries[entry].claims.find(run);
        if (claim == this->entries[entry].claims.end())
            return;
        this->perform(run, request, entry, target, claim->second->tick(this->instant()));
        this->schedule(100ms, [=, this] {
            this->runWhenNotPaused(entry, [=, this] { this->tick(run, request, entry, target); });
        });
    }

    void perform(uint64_t run, int request, size_t entry, size_t target,
                 const std::vector<IsolationAction> &actions)
    {
        for (const IsolationAction &action : actions) {
            if (const auto *send = std::get_if<SendIsolationRequest>(&action)) {
                this->sendRequest(run, request, entry, target, *send);
            } else if (const auto *release = std::get_if<SendIsolationRelease>(&action)) {
                const size_t to = std::stoul(release->entry);
                this->schedule(1ms, [=, this, id = release->claimId] {
                    this->runWhenNotPaused(to, [=, this] { this->entries[to].quarantine.release(id); });
                });
            } else if (std::holds_alternative<IsolationGranted>(action)) {
                this->start(run, request, entry, target, true);
            } else if (std::holds_alternative<IsolationLost>(action)) {
                this->entries[entry].quarantine.isolationLost(run);
            } else {
                this->schedule(0ms, [=, this] { this->entries[entry].claims.erase(run); });
                this->resubmit(request);
            }
        }
    }

    void sendRequest(uint64_t run, int request, size_t entry, size_t target, const SendIsolationRequest &send)
    {
        const size_t to = std::stoul(send.entry);
        this->schedule(1ms, [=, this] {
            this->runWhenNotPaused(to, [=, this] {
                const IsolationReply reply =
                        this->entries[to].quarantine.reserve(send.request, this->instant());
                this->schedule(1ms, [=, this] {
                    this->runWhenNotPaused(entry, [=, this] {
                        const auto claim = this->entries[entry].claims.find(run);
                        this->entries[entry].quarantine.merge(reply.mark, this->instant());
                        if (claim != this->entries[entry].claims.end())
                            this->perform(
                                    run, request, entry, target,
                                    claim->second->handleReply(send.entry, reply.verdict, this->instant()));
                    });
                });
            });
        });
    }

    void endClaim(uint64_t run, int request, size_t entry, size_t target)
    {
        const auto claim = this->entries[entry].claims.find(run);
        if (claim == this->entries[entry].claims.end())
            return;
        this->perform(run, request, entry, target, claim->second->end());
        this->entries[entry].claims.erase(run);
    }

    void start(uint64_t run, int request, size_t entry, size_t target, bool isIsolated)
    {
        // A copy that starts before the other entries have received the first marks counts as in flight.
        if (!isIsolated && this->deaths.count(request) > 0 && this->now < this->firstDeath[request] + 16ms)
            ++this->copiesAtFirstDeath[request];
        const uint64_t incarnation = this->targetIncarnations[target];
        if (isIsolated)
            this->broadcast(this->readIncarnation(entry, target), entry, target, {});
        this->entries[entry].quarantine.requestStarted(run, fingerprintOf(request), std::to_string(target),
                                                       isIsolated);
        this->running[run] = {request, entry, target};
        const Duration length = std::chrono::milliseconds{2 + this->random.below(isIsolated ? 15'000 : 40)};
        this->schedule(length, [=, this] {
            if (this->targetIncarnations[target] != incarnation || this->running.count(run) == 0)
                return;
            if (request < this->crasherCount)
                return this->killTarget(target, request);
            this->running.erase(run);
            this->runWhenNotPaused(entry, [=, this] {
                this->entries[entry].quarantine.requestFinished(run, true, this->instant());
                this->endClaim(run, request, entry, target);
                --this->openRequests;
            });
        });
    }

    void killTarget(size_t target, int crasher)
    {
        if (++this->deaths[crasher] == 1) {
            this->firstDeath[crasher] = this->now;
            for (const auto &item : this->running)
                this->copiesAtFirstDeath[crasher] += item.second.request == crasher ? 1 : 0;
        }
        ++this->targetIncarnations[target];
        this->targetDownUntil[target] = this->now + 20ms;
        std::set<size_t> affectedEntries;
        std::vector<std::pair<uint64_t, RunningRequest>> lostRequests;
        std::erase_if(this->running, [&](const auto &item) {
            if (item.second.target != target)
                return false;
            lostRequests.emplace_back(item);
            affectedEntries.insert(item.second.entry);
            return true;
        });
        for (const size_t entry : affectedEntries) {
            this->runWhenNotPaused(entry, [=, this]() mutable {
                for (const auto &[run, lostRequest] : lostRequests) {
                    // A process that was paused detects a lost isolation before it counts the death.
                    const auto claim = this->entries[entry].claims.find(run);
                    if (claim != this->entries[entry].claims.end())
                        this->perform(run, lostRequest.request, entry, target,
                                      claim->second->tick(this->instant()));
                }
                std::erase_if(lostRequests, [&](const auto &item) { return item.second.entry != entry; });
                this->broadcast(this->detectDeath(entry, target, lostRequests), entry, target, lostRequests);
            });
        }
    }

    using LostRequests = std::vector<std::pair<uint64_t, RunningRequest>>;

    /// The target refuses connections, or its next process answers already, or nothing answers for a time.
    std::vector<QuarantineMark> detectDeath(size_t entry, size_t target, const LostRequests &lostRequests)
    {
        enum Evidence : uint64_t { Refused, Restarted, NoAnswer, EvidenceCount };
        CrashQuarantine &quarantine = this->entries[entry].quarantine;
        const uint64_t evidence = this->random.below(EvidenceCount);
        if (evidence == Refused)
            return quarantine.targetDied(std::to_string(target), this->instant());
        std::vector<QuarantineMark> marks;
        if (evidence == Restarted)
            marks = this->readIncarnation(entry, target);
        for (const auto &[run, lostRequest] : lostRequests) {
            if (!quarantine.isInFlight(run))
                continue;
            quarantine.connectionLost(run, this->instant());
            for (const QuarantineMark &mark : quarantine.suspectRun(run, this->instant()))
                marks.push_back(mark);
            quarantine.requestFinished(run, false, this->instant());
        }
        this->schedule(std::chrono::milliseconds{20 + this->random.below(3000)}, [=, this] {
            this->runWhenNotPaused(entry, [=, this] { this->poll(entry, target); });
        });
        return marks;
    }

    void broadcast(const std::vector<QuarantineMark> &marks, size_t entry, size_t target,
                   const LostRequests &lostRequests)
    {
        std::set<std::string> others;
        for (size_t other = 0; other < this->entries.size(); ++other) {
            if (other != entry)
                others.insert(this->entryName(other));
        }
        if (!marks.empty() || !lostRequests.empty())
            this->broadcastMarks(std::make_shared<MarkBroadcast>(marks, others, MarkBroadcastSettings{}),
                                 entry, target, lostRequests);
    }

    void endClaimWhenResolved(uint64_t run, int request, size_t entry, size_t target)
    {
        if (!this->entries[entry].quarantine.isUnresolved(run, this->instant()))
            return this->endClaim(run, request, entry, target);
        this->schedule(50ms, [=, this] {
            this->runWhenNotPaused(entry,
                                   [=, this] { this->endClaimWhenResolved(run, request, entry, target); });
        });
    }

    void broadcastMarks(const std::shared_ptr<MarkBroadcast> &broadcast, size_t entry, size_t target,
                        const LostRequests &lostRequests)
    {
        for (const std::string &name : broadcast->dueEntries(this->now)) {
            const size_t to = std::stoul(name);
            this->schedule(std::chrono::milliseconds{1 + this->random.below(15)}, [=, this] {
                this->runWhenNotPaused(to, [=, this] {
                    for (const QuarantineMark &mark : broadcast->marks())
                        this->entries[to].quarantine.merge(mark, this->instant());
                    this->schedule(1ms, [=] { broadcast->handleConfirmation(name); });
                });
            });
        }
        if (!broadcast->isDone(this->now))
            return this->schedule(5ms, [=, this] {
                this->runWhenNotPaused(
                        entry, [=, this] { this->broadcastMarks(broadcast, entry, target, lostRequests); });
            });
        for (const auto &[run, lostRequest] : lostRequests) {
            this->endClaimWhenResolved(run, lostRequest.request, entry, target);
            this->resubmit(lostRequest.request);
        }
    }

    Random random;
    std::vector<Entry> entries;
    std::vector<uint64_t> targetIncarnations;
    std::vector<TimePoint> targetDownUntil;
    int crasherCount;
    int entryPauses = 0;
    int openRequests = 0;
    uint64_t lastRunId = 0;
    std::map<uint64_t, RunningRequest> running;
    std::map<int, int> deaths;
    std::map<int, TimePoint> firstDeath;
    std::map<int, int> copiesAtFirstDeath;
    std::map<int, int> copiesSent;
    std::vector<int> refusedRequests;
};

} // namespace

// Guards against requests that are refused because they ran beside a crash-inducing one, and against
// crash-inducing requests that are not quarantined.
TEST_CASE("Deaths with several requests make suspects and deaths of isolated runs a quarantine")
{
    CrashQuarantine quarantine{QuarantineSettings{}};
    quarantine.requestStarted(1, fingerprintOf(1), "t", false);
    quarantine.requestStarted(2, fingerprintOf(2), "t", false);
    CHECK(quarantine.targetDied("t", at(0s)).size() == 2);
    quarantine.requestStarted(3, fingerprintOf(1), "u", false);
    quarantine.targetDied("u", at(1s));
    CHECK(std::holds_alternative<RunIsolated>(quarantine.admit(fingerprintOf(1), at(2s))));
    CHECK(std::holds_alternative<RunNormally>(quarantine.admit(fingerprintOf(3), at(2s))));

    quarantine.requestStarted(4, fingerprintOf(2), "t", true);
    quarantine.requestFinished(4, true, at(2s));
    CHECK(std::holds_alternative<RunNormally>(quarantine.admit(fingerprintOf(2), at(2s))));

    quarantine.requestStarted(5, fingerprintOf(1), "t", true);
    const bool isIsolated = GENERATE(true, false);
    if (!isIsolated)
        quarantine.requestStarted(6, fingerprintOf(3), "t", false);
    quarantine.targetDied("t", at(3s));
    CHECK(std::holds_alternative<RefuseQuarantined>(quarantine.admit(fingerprintOf(1), at(4s))) ==
          isIsolated);
    CHECK(quarantine.isQuarantined(fingerprintOf(1), at(3s + 59min)) == isIsolated);
    CHECK_FALSE(quarantine.isQuarantined(fingerprintOf(1), at(3s + 1h)));
    CHECK(std::holds_alternative<RunNormally>(quarantine.admit(fingerprintOf(1), at(3s + 1h))));
}

// Guards against a death that is taken for a lost connection because the target, or its next process, accepts
// connections, and against requests that are counted in a death that they did not see.
TEST_CASE("A report of another process shows the death of the one before")
{
    enum class End { InFlight, Lost };
    struct Row
    {
        std::string_view what;
        End end;
        uint64_t incarnation;
        Duration askedAt, reportedAt;
        /// Of a run in flight.
        std::optional<ProcessFate> fate;
        uint32_t deaths;
        bool isUnresolved;
    };
    const auto row = GENERATE(values<Row>({
            {"the same process", End::InFlight, 1, 3s, 3s, ProcessFate::Alive, 1, false},
            {"another process", End::InFlight, 2, 3s, 3s, ProcessFate::Died, 2, false},
            {"an older question", End::InFlight, 2, 1s, 3s, ProcessFate::Unknown, 1, false},
            {"the same process after a lost connection", End::Lost, 1, 3s, 3s, std::nullopt, 1, false},
            {"the same process before a lost connection", End::Lost, 1, 1s, 3s, std::nullopt, 1, true},
            {"another process after a lost connection", End::Lost, 2, 11s, 11s, std::nullopt, 2, false},
            {"another process after the limit", End::Lost, 2, 13s, 13s, std::nullopt, 1, false},
    }));
    CAPTURE(row.what);
    CrashQuarantine quarantine{QuarantineSettings{}};
    quarantine.requestStarted(1, fingerprintOf(1), "t", false);
    quarantine.targetDied("t", at(1s));
    CHECK(quarantine.incarnationReported({"t", 1, TimePoint{} + 1s}, at(2s)).empty());
    quarantine.requestStarted(2, fingerprintOf(1), "t", true);
    quarantine.requestStarted(3, fingerprintOf(2), "u", false);
    if (row.end == End::Lost) {
        quarantine.connectionLost(2, at(2s));
        quarantine.requestFinished(2, false, at(2s));
        CHECK(quarantine.isUnresolved(2, at(11s)));
        CHECK_FALSE(quarantine.isUnresolved(2, at(12s)));
    }
    const IncarnationReport report{"t", row.incarnation, TimePoint{} + row.askedAt};
    quarantine.incarnationReported(report, at(row.reportedAt));
    if (row.fate)
        CHECK(quarantine.processFate(2, report) == *row.fate);
    CHECK(quarantine.isQuarantined(fingerprintOf(1), at(14s)) == (row.deaths == 2));
    CHECK(quarantine.isSuspect(fingerprintOf(1), at(14s)) == (row.deaths == 1));
    CHECK_FALSE(quarantine.isSuspect(fingerprintOf(2), at(14s)));
    CHECK(quarantine.isUnresolved(2, at(row.reportedAt)) == row.isUnresolved);
}

// Guards against an innocent suspect that is refused because it runs on a target that has just restarted.
TEST_CASE("A run of the next process is not counted in the death of the one before")
{
    CrashQuarantine quarantine{QuarantineSettings{}};
    quarantine.incarnationReported({"t", 1, TimePoint{}}, at(0s));
    quarantine.requestStarted(1, fingerprintOf(1), "t", false);
    quarantine.requestStarted(2, fingerprintOf(2), "t", false);
    const bool isRefused = GENERATE(true, false);
    if (isRefused)
        CHECK(quarantine.targetDied("t", at(1s)).size() == 2);
    const IncarnationReport report{"t", 2, TimePoint{} + 2s};
    CHECK(quarantine.incarnationReported(report, at(2s)).size() == (isRefused ? 0 : 2));
    quarantine.requestStarted(3, fingerprintOf(1), "t", true);
    CHECK(quarantine.incarnationReported({"t", 1, TimePoint{}}, at(3s)).empty());
    CHECK(quarantine.incarnationReported({"t", 2, TimePoint{} + 3s}, at(3s)).empty());
    CHECK(quarantine.isInFlight(3));
    CHECK(quarantine.isSuspect(fingerprintOf(1), at(3s)));
}

// Guards against a mark that is lost or reappears when two entries exchange their marks.
TEST_CASE("Marks of two entries are merged")
{
    struct Row
    {
        uint32_t stored, storedUntil, incoming, incomingUntil, merged;
    };
    const auto row = GENERATE(values<Row>({{1, 10, 1, 12, 1},
                                           {1, 10, 2, 9, 2},
                                           {2, 10, 1, 12, 2},
                                           {1, 10, 0, 12, 0},
                                           {0, 12, 1, 10, 0},
                                           {0, 10, 1, 12, 1},
                                           {2, 10, 0, 12, 2}}));
    CrashQuarantine quarantine{QuarantineSettings{}};
    const auto mark = [](uint32_t deaths, uint32_t until) {
        return QuarantineMark{fingerprintOf(1), deaths, StartWall + std::chrono::seconds{until}};
    };
    quarantine.merge(mark(row.stored, row.storedUntil), at(0s));
    quarantine.merge(mark(row.incoming, row.incomingUntil), at(0s));
    REQUIRE(quarantine.marks(at(1s)).size() == 1);
    CHECK(quarantine.marks(at(1s))[0].deaths == row.merged);
    CHECK(quarantine.marks(at(13s)).empty());
}

// Guards against two suspects on one target, one suspect on two targets, and other requests on a reserved
// target.
TEST_CASE("A reservation excludes all other runs from a target")
{
    CrashQuarantine quarantine{QuarantineSettings{}};
    quarantine.requestStarted(1, fingerprintOf(9), "t", false);
    CHECK(quarantine.reserve({fingerprintOf(1), "t", "a", {}}, at(0s)).verdict == IsolationVerdict::Busy);
    CHECK_FALSE(quarantine.isTargetAvailable("t", at(0s)));
    CHECK(quarantine.isTargetAvailable("u", at(0s)));
    quarantine.requestFinished(1, true, at(0s));
    CHECK(quarantine.reserve({fingerprintOf(1), "t", "a", {}}, at(1s)).verdict == IsolationVerdict::Granted);
    CHECK(quarantine.reserve({fingerprintOf(2), "t", "b", {}}, at(1s)).verdict == IsolationVerdict::Held);
    CHECK(quarantine.reserve({fingerprintOf(1), "u", "c", {}}, at(1s)).verdict == IsolationVerdict::Held);
    CHECK(quarantine.reserve({fingerprintOf(2), "t", "b", {}}, at(12s)).verdict == IsolationVerdict::Granted);
    quarantine.release("b");
    CHECK(quarantine.isTargetAvailable("t", at(12s)));
    const QuarantineMark mark{fingerprintOf(1), 2, StartWall + std::chrono::hours{1}};
    CHECK(quarantine.reserve({fingerprintOf(1), "t", "d", mark}, at(13s)).verdict ==
          IsolationVerdict::Quarantined);
}

// Guards against a run without the grant of some entry, or with the grants of a minority of the owner slots
// only.
TEST_CASE("A suspect runs only with the grant of every live entry")
{
    const auto hasGrant = [](const std::vector<IsolationAction> &actions) {
        return std::any_of(actions.begin(), actions.end(), [](const IsolationAction &action) {
            return std::holds_alternative<IsolationGranted>(action);
        });
    };
    IsolationClaim claim{{fingerprintOf(1), "t", "a", {}}, {"e0", "e1", "e9"}, {"e0", "e1"}, 3, {}};
    CHECK(claim.start(at(0s)).size() == 1);
    CHECK(claim.handleReply("e0", IsolationVerdict::Busy, at(0s)).size() == 3);
    CHECK_FALSE(hasGrant(claim.handleReply("e1", IsolationVerdict::Granted, at(0s))));
    CHECK_FALSE(hasGrant(claim.handleReply("e9", IsolationVerdict::Granted, at(0s))));
    CHECK(hasGrant(claim.handleReply("e0", IsolationVerdict::Granted, at(0s))));
    CHECK(claim.tick(at(2s)).size() == 3);
    const auto expiredActions = claim.tick(at(9s));
    CHECK(std::holds_alternative<IsolationLost>(expiredActions.back()));
    CHECK(claim.end().size() == 3);

    IsolationClaim minority{{fingerprintOf(1), "t", "a", {}}, {"e0"}, {"e0"}, 3, {}};
    CHECK(std::holds_alternative<IsolationRefused>(minority.start(at(0s)).back()));
}

// Guards against an error reply before the other entries have the suspect's mark, with which the caller could
// resend the request to one of them, and against a caller that waits for a dead entry.
TEST_CASE("Marks are confirmed by every entry before the caller gets a reply")
{
    MarkBroadcast broadcast{{QuarantineMark{fingerprintOf(1), 1, StartWall}}, {"e1", "e2"}, {}};
    const TimePoint start{1h};
    CHECK(broadcast.dueEntries(start).size() == 2);
    broadcast.handleConfirmation("e1");
    CHECK_FALSE(broadcast.isDone(start));
    CHECK(broadcast.dueEntries(start + 49ms).empty());
    CHECK(broadcast.dueEntries(start + 50ms) == std::vector<std::string>{"e2"});
    CHECK_FALSE(broadcast.isDone(start + 499ms));
    if (GENERATE(true, false))
        CHECK(broadcast.isDone(start + 500ms));
    broadcast.handleConfirmation("e2");
    CHECK(broadcast.isDone(start));
}

// Guards against more target deaths than the bound, and against harmless requests that are refused or starve,
// while entries are paused. EELGRASSLIFT_SEED replays one seed.
TEST_CASE("Crash-inducing requests stay within the bound in random schedules", "[contract]")
{
    const char *chosenSeed = std::getenv("EELGRASSLIFT_SEED");
    const uint64_t first = chosenSeed ? std::strtoull(chosenSeed, nullptr, 10) : 1;
    const uint64_t last = chosenSeed ? first : 1500;
    int deaths = 0;
    size_t refusals = 0;
    for (uint64_t seed = first; seed <= last; ++seed) {
        CrashFleet fleet{seed};
        fleet.run(400s);
        deaths += fleet.totalDeaths();
        refusals += fleet.refusals();
        const std::string violation = fleet.violation();
        if (!violation.empty())
            FAIL_CHECK("EELGRASSLIFT_SEED=" << seed << ": " << violation);
    }
    std::cout << "random crash schedules: " << last - first + 1 << " cells, " << deaths << " target deaths, "
              << refusals << " refusals\n";
}
