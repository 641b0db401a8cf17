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

Sha256 print(int request)
{
    return requestFingerprint("kiosk", "planner", std::to_string(request));
}

/// Entries that send requests to shared targets; some requests kill the target that runs them and are resent.
class CrashFleet : public VirtualTime
{
public:
    explicit CrashFleet(uint64_t seed)
        : random(seed)
        , entries(3 + this->random.below(3))
        , targetLife(4)
        , targetDownUntil(4)
        , crashers(1 + static_cast<int>(this->random.below(2)))
    {
        const int requests = this->crashers + 4 + static_cast<int>(this->random.below(8));
        for (int request = 0; request < requests; ++request) {
            const uint64_t copies = request < this->crashers ? 1 + this->random.below(3) : 1;
            this->copiesSent[request] = static_cast<int>(copies);
            for (uint64_t copy = 0; copy < copies; ++copy)
                this->at(std::chrono::milliseconds{this->random.below(30)},
                         [=, this] { this->submit(request); });
        }
        for (uint64_t faults = this->random.below(3); faults > 0; --faults)
            this->at(std::chrono::milliseconds{this->random.below(3000)}, [this] { this->fault(); });
        this->gossip();
    }

    std::string violation() const
    {
        for (int request = 0; request < this->crashers; ++request) {
            const auto found = this->deaths.find(request);
            const int bound = 2 + this->furtherCopies(request) + this->entryFaults;
            if (found != this->deaths.end() && found->second > bound)
                return "request " + std::to_string(request) + " killed " + std::to_string(found->second) +
                       " targets, bound " + std::to_string(bound);
        }
        for (const int refused : this->refused) {
            if (refused >= this->crashers)
                return "innocent request " + std::to_string(refused) + " was refused";
        }
        return this->open > 0 ? "an innocent request never completed" : "";
    }

    int totalDeaths() const
    {
        int sum = 0;
        for (const auto &item : this->deaths)
            sum += item.second;
        return sum;
    }
    size_t refusals() const { return this->refused.size(); }

private:
    struct Entry
    {
        CrashQuarantine quarantine{QuarantineSettings{}};
        std::map<uint64_t, std::unique_ptr<IsolationClaim>> claims;
        std::map<uint64_t, size_t> aloneTargets;
        TimePoint frozenUntil;
    };
    struct Running
    {
        int request;
        size_t entry, target;
    };

    Instant instant() const { return ::at(this->now.time_since_epoch()); }
    std::string entryName(size_t entry) const { return std::to_string(entry); }

    int furtherCopies(int request) const
    {
        const auto found = this->copiesAtFirstDeath.find(request);
        const int sent = this->copiesSent.at(request);
        return found == this->copiesAtFirstDeath.end() ? 0 : std::min(found->second, sent) - 1;
    }

    void whenAwake(size_t entry, std::function<void()> callback)
    {
        const TimePoint wake = this->entries[entry].frozenUntil;
        if (this->now >= wake)
            return callback();
        this->at(wake - this->now, [=, this] { this->whenAwake(entry, callback); });
    }

    void fault()
    {
        ++this->entryFaults;
        const size_t entry = this->random.below(this->entries.size());
        this->entries[entry].frozenUntil =
                this->now + std::chrono::milliseconds{100 + this->random.below(20'000)};
    }

    void gossip()
    {
        const size_t from = this->random.below(this->entries.size());
        const size_t to = this->random.below(this->entries.size());
        for (const QuarantineMark &mark : this->entries[from].quarantine.marks(this->instant()))
            this->entries[to].quarantine.merge(mark, this->instant());
        if (this->now < TimePoint{} + 300s)
            this->at(100ms, [this] { this->gossip(); });
    }

    void resubmit(int request)
    {
        this->open -= request >= this->crashers ? 1 : 0;
        this->at(std::chrono::milliseconds{this->random.below(200)}, [=, this] { this->submit(request); });
    }

    void submit(int request)
    {
        this->open += request >= this->crashers ? 1 : 0;
        const size_t entry = this->random.below(this->entries.size());
        this->whenAwake(entry, [=, this] { this->admit(request, entry); });
    }

    void admit(int request, size_t entry)
    {
        CrashQuarantine &quarantine = this->entries[entry].quarantine;
        const QuarantineVerdict verdict = quarantine.admit(print(request), this->instant());
        const size_t target = this->random.below(this->targetLife.size());
        if (std::holds_alternative<RefuseQuarantined>(verdict)) {
            this->refused.push_back(request);
            this->open -= request >= this->crashers ? 1 : 0;
        } else if (std::holds_alternative<RunIsolated>(verdict)) {
            this->claimAlone(request, entry, target);
        } else if (this->now < this->targetDownUntil[target] ||
                   !quarantine.isTargetAvailable(std::to_string(target), this->instant())) {
            this->resubmit(request);
        } else {
            this->start(++this->nextRun, request, entry, target, false);
        }
    }

    void claimAlone(int request, size_t entry, size_t target)
    {
        const uint64_t run = ++this->nextRun;
        std::set<std::string> all;
        for (size_t other = 0; other < this->entries.size(); ++other)
            all.insert(this->entryName(other));
        IsolationRequest alone{print(request), std::to_string(target), "claim-" + std::to_string(run), {}};
        for (const QuarantineMark &mark : this->entries[entry].quarantine.marks(this->instant())) {
            if (mark.fingerprint == alone.fingerprint)
                alone.mark = mark;
        }
        auto claim = std::make_unique<IsolationClaim>(alone, all, std::set<std::string>{"0", "1", "2"}, 3,
                                                      IsolationClaimSettings{});
        IsolationClaim &started = *(this->entries[entry].claims[run] = std::move(claim));
        this->perform(run, request, entry, target, started.start(this->instant()));
        this->tick(run, request, entry, target);
    }

    void tick(uint64_t run, int request, size_t entry, size_t target)
    {
        const auto claim = this->entries[entry].claims.find(run);
        if (claim == this->entries[entry].claims.end())
            return;
        this->perform(run, request, entry, target, claim->second->tick(this->instant()));
        this->at(100ms, [=, this] {
            this->whenAwake(entry, [=, this] { this->tick(run, request, entry, target); });
        });
    }

    void perform(uint64_t run, int request, size_t entry, size_t target,
                 const std::vector<IsolationAction> &actions)
    {
        for (const IsolationAction &action : actions) {
            if (const auto *send = std::get_if<SendIsolationRequest>(&action)) {
                this->ask(run, request, entry, target, *send);
            } else if (const auto *end = std::get_if<SendIsolationRelease>(&action)) {
                const size_t to = std::stoul(end->entry);
                this->at(1ms, [=, this, id = end->claimId] {
                    this->whenAwake(to, [=, this] { this->entries[to].quarantine.release(id); });
                });
            } else if (std::holds_alternative<IsolationGranted>(action)) {
                this->start(run, request, entry, target, true);
            } else if (std::holds_alternative<IsolationLost>(action)) {
                this->entries[entry].quarantine.isolationLost(run);
            } else {
                this->at(0ms, [=, this] { this->entries[entry].claims.erase(run); });
                this->resubmit(request);
            }
        }
    }

    void ask(uint64_t run, int request, size_t entry, size_t target, const SendIsolationRequest &send)
    {
        const size_t to = std::stoul(send.entry);
        this->at(1ms, [=, this] {
            this->whenAwake(to, [=, this] {
                const IsolationReply reply =
                        this->entries[to].quarantine.reserve(send.request, this->instant());
                this->at(1ms, [=, this] {
                    this->whenAwake(entry, [=, this] {
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

    void start(uint64_t run, int request, size_t entry, size_t target, bool isAlone)
    {
        // A copy that starts while the first marks are on their way counts as in flight.
        if (!isAlone && this->deaths.count(request) > 0 && this->now < this->firstDeath[request] + 16ms)
            ++this->copiesAtFirstDeath[request];
        const uint64_t life = this->targetLife[target];
        this->entries[entry].quarantine.requestStarted(run, print(request), std::to_string(target), isAlone);
        this->running[run] = {request, entry, target};
        const Duration length = std::chrono::milliseconds{2 + this->random.below(isAlone ? 15'000 : 40)};
        this->at(length, [=, this] {
            if (this->targetLife[target] != life || this->running.count(run) == 0)
                return;
            if (request < this->crashers)
                return this->die(target, request);
            this->running.erase(run);
            this->whenAwake(entry, [=, this] {
                this->entries[entry].quarantine.requestFinished(run, true, this->instant());
                this->endClaim(run, request, entry, target);
                --this->open;
            });
        });
    }

    void die(size_t target, int culprit)
    {
        if (++this->deaths[culprit] == 1) {
            this->firstDeath[culprit] = this->now;
            for (const auto &item : this->running)
                this->copiesAtFirstDeath[culprit] += item.second.request == culprit ? 1 : 0;
        }
        ++this->targetLife[target];
        this->targetDownUntil[target] = this->now + 20ms;
        std::set<size_t> witnesses;
        std::vector<std::pair<uint64_t, Running>> victims;
        std::erase_if(this->running, [&](const auto &item) {
            if (item.second.target != target)
                return false;
            victims.emplace_back(item);
            witnesses.insert(item.second.entry);
            return true;
        });
        for (const size_t entry : witnesses) {
            this->whenAwake(entry, [=, this]() mutable {
                for (const auto &[run, victim] : victims) {
                    // A process that was frozen notices lost isolation before it judges the death.
                    const auto claim = this->entries[entry].claims.find(run);
                    if (claim != this->entries[entry].claims.end())
                        this->perform(run, victim.request, entry, target,
                                      claim->second->tick(this->instant()));
                }
                std::set<std::string> others;
                for (size_t other = 0; other < this->entries.size(); ++other) {
                    if (other != entry)
                        others.insert(this->entryName(other));
                }
                auto spread = std::make_shared<MarkBroadcast>(
                        this->entries[entry].quarantine.targetDied(std::to_string(target), this->instant()),
                        others, MarkBroadcastSettings{});
                std::erase_if(victims, [&](const auto &item) { return item.second.entry != entry; });
                this->spreadMarks(spread, entry, target, victims);
            });
        }
    }

    using Victims = std::vector<std::pair<uint64_t, Running>>;

    void spreadMarks(const std::shared_ptr<MarkBroadcast> &spread, size_t entry, size_t target,
                     const Victims &victims)
    {
        for (const std::string &name : spread->dueEntries(this->now)) {
            const size_t to = std::stoul(name);
            this->at(std::chrono::milliseconds{1 + this->random.below(15)}, [=, this] {
                this->whenAwake(to, [=, this] {
                    for (const QuarantineMark &mark : spread->marks())
                        this->entries[to].quarantine.merge(mark, this->instant());
                    this->at(1ms, [=] { spread->handleConfirmation(name); });
                });
            });
        }
        if (!spread->isDone(this->now))
            return this->at(5ms, [=, this] {
                this->whenAwake(entry, [=, this] { this->spreadMarks(spread, entry, target, victims); });
            });
        for (const auto &[run, victim] : victims) {
            this->endClaim(run, victim.request, entry, target);
            this->resubmit(victim.request);
        }
    }

    Random random;
    std::vector<Entry> entries;
    std::vector<uint64_t> targetLife;
    std::vector<TimePoint> targetDownUntil;
    int crashers;
    int entryFaults = 0;
    int open = 0;
    uint64_t nextRun = 0;
    std::map<uint64_t, Running> running;
    std::map<int, int> deaths;
    std::map<int, TimePoint> firstDeath;
    std::map<int, int> copiesAtFirstDeath;
    std::map<int, int> copiesSent;
    std::vector<int> refused;
};

} // namespace

// Guards against neighbours that are refused for another request's crash, and crashes that go unpunished.
TEST_CASE("Joint deaths make suspects and deaths alone make a quarantine")
{
    CrashQuarantine quarantine{QuarantineSettings{}};
    quarantine.requestStarted(1, print(1), "t", false);
    quarantine.requestStarted(2, print(2), "t", false);
    CHECK(quarantine.targetDied("t", at(0s)).size() == 2);
    quarantine.requestStarted(3, print(1), "u", false);
    quarantine.targetDied("u", at(1s));
    CHECK(std::holds_alternative<RunIsolated>(quarantine.admit(print(1), at(2s))));
    CHECK(std::holds_alternative<RunNormally>(quarantine.admit(print(3), at(2s))));

    quarantine.requestStarted(4, print(2), "t", true);
    quarantine.requestFinished(4, true, at(2s));
    CHECK(std::holds_alternative<RunNormally>(quarantine.admit(print(2), at(2s))));

    quarantine.requestStarted(5, print(1), "t", true);
    const bool isIsolated = GENERATE(true, false);
    if (!isIsolated)
        quarantine.requestStarted(6, print(3), "t", false);
    quarantine.targetDied("t", at(3s));
    CHECK(std::holds_alternative<RefuseQuarantined>(quarantine.admit(print(1), at(4s))) == isIsolated);
    CHECK(quarantine.isQuarantined(print(1), at(3s + 59min)) == isIsolated);
    CHECK_FALSE(quarantine.isQuarantined(print(1), at(3s + 1h)));
    CHECK(std::holds_alternative<RunNormally>(quarantine.admit(print(1), at(3s + 1h))));
}

// Guards against a mark that is lost or comes back when entries exchange what they know.
TEST_CASE("Marks of two entries meet")
{
    struct Row
    {
        uint32_t own, ownUntil, other, otherUntil, merged;
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
        return QuarantineMark{print(1), deaths, StartWall + std::chrono::seconds{until}};
    };
    quarantine.merge(mark(row.own, row.ownUntil), at(0s));
    quarantine.merge(mark(row.other, row.otherUntil), at(0s));
    REQUIRE(quarantine.marks(at(1s)).size() == 1);
    CHECK(quarantine.marks(at(1s))[0].deaths == row.merged);
    CHECK(quarantine.marks(at(13s)).empty());
}

// Guards against two suspects on one target, one suspect on two targets, and neighbours on a reserved target.
TEST_CASE("A reservation keeps a target free for one run")
{
    CrashQuarantine quarantine{QuarantineSettings{}};
    quarantine.requestStarted(1, print(9), "t", false);
    CHECK(quarantine.reserve({print(1), "t", "a", {}}, at(0s)).verdict == IsolationVerdict::Busy);
    CHECK_FALSE(quarantine.isTargetAvailable("t", at(0s)));
    CHECK(quarantine.isTargetAvailable("u", at(0s)));
    quarantine.requestFinished(1, true, at(0s));
    CHECK(quarantine.reserve({print(1), "t", "a", {}}, at(1s)).verdict == IsolationVerdict::Granted);
    CHECK(quarantine.reserve({print(2), "t", "b", {}}, at(1s)).verdict == IsolationVerdict::Held);
    CHECK(quarantine.reserve({print(1), "u", "c", {}}, at(1s)).verdict == IsolationVerdict::Held);
    CHECK(quarantine.reserve({print(2), "t", "b", {}}, at(12s)).verdict == IsolationVerdict::Granted);
    quarantine.release("b");
    CHECK(quarantine.isTargetAvailable("t", at(12s)));
    const QuarantineMark mark{print(1), 2, StartWall + std::chrono::hours{1}};
    CHECK(quarantine.reserve({print(1), "t", "d", mark}, at(13s)).verdict == IsolationVerdict::Quarantined);
}

// Guards against a run that some entry has not isolated, or that a minority of the owners knows.
TEST_CASE("A suspect runs only with the grant of every live entry")
{
    const auto granted = [](const std::vector<IsolationAction> &actions) {
        return std::any_of(actions.begin(), actions.end(), [](const IsolationAction &action) {
            return std::holds_alternative<IsolationGranted>(action);
        });
    };
    IsolationClaim claim{{print(1), "t", "a", {}}, {"e0", "e1", "e9"}, {"e0", "e1"}, 3, {}};
    CHECK(claim.start(at(0s)).size() == 1);
    CHECK(claim.handleReply("e0", IsolationVerdict::Busy, at(0s)).size() == 3);
    CHECK_FALSE(granted(claim.handleReply("e1", IsolationVerdict::Granted, at(0s))));
    CHECK_FALSE(granted(claim.handleReply("e9", IsolationVerdict::Granted, at(0s))));
    CHECK(granted(claim.handleReply("e0", IsolationVerdict::Granted, at(0s))));
    CHECK(claim.tick(at(2s)).size() == 3);
    const auto late = claim.tick(at(9s));
    CHECK(std::holds_alternative<IsolationLost>(late.back()));
    CHECK(claim.end().size() == 3);

    IsolationClaim minority{{print(1), "t", "a", {}}, {"e0"}, {"e0"}, 3, {}};
    CHECK(std::holds_alternative<IsolationRefused>(minority.start(at(0s)).back()));
}

// Guards against an error that reaches the caller before the other entries know the suspect, and against a
// caller that waits for a dead entry.
TEST_CASE("Marks are confirmed by every entry before the caller is told")
{
    MarkBroadcast spread{{QuarantineMark{print(1), 1, StartWall}}, {"e1", "e2"}, {}};
    const TimePoint start{1h};
    CHECK(spread.dueEntries(start).size() == 2);
    spread.handleConfirmation("e1");
    CHECK_FALSE(spread.isDone(start));
    CHECK(spread.dueEntries(start + 49ms).empty());
    CHECK(spread.dueEntries(start + 50ms) == std::vector<std::string>{"e2"});
    CHECK_FALSE(spread.isDone(start + 499ms));
    if (GENERATE(true, false))
        CHECK(spread.isDone(start + 500ms));
    spread.handleConfirmation("e2");
    CHECK(spread.isDone(start));
}

// Guards against deaths beyond the bound and against innocent neighbours that are refused or starve, with
// entries that freeze. EELGRASSLIFT_SEED replays one seed.
TEST_CASE("Crash-inducing requests stay within the bound in random schedules", "[contract]")
{
    const char *chosen = std::getenv("EELGRASSLIFT_SEED");
    const uint64_t first = chosen ? std::strtoull(chosen, nullptr, 10) : 1;
    const uint64_t last = chosen ? first : 1500;
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
