#include "libgateway/gateway.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

using Change = CrashRecords::Change;

const Sha256 Crashing = sha256("crashing");
const TimePoint Start{1000s};

RunnerIncarnation runner(int number, int64_t startedAtMs = 1)
{
    return {"r" + std::to_string(number), "10.0.0." + std::to_string(number) + ":80", startedAtMs};
}

/// Passes what has changed at one process on to another one.
Change passOn(const CrashRecords &from, CrashRecords &to, TimePoint now)
{
    Change last = Change::None;
    for (const CrashReport &report : from.changesSince(0, now).reports) {
        if (const Change change = to.merge(report, now); change != Change::None)
            last = change;
    }
    return last;
}

/// A gateway's part of an exchange with a coordinator, as CoordinatorClient and Coordinator play it.
struct Gateway
{
    CrashRecords records;
    uint64_t reported = 0;
    uint64_t known = 0;

    void exchange(CrashRecords &coordinator, TimePoint now)
    {
        const CrashChanges changes = this->records.changesSince(this->reported, now);
        for (const CrashReport &report : changes.reports)
            coordinator.merge(report, now);
        this->reported = changes.version;
        const CrashChanges refusals = coordinator.refusalsSince(this->known, now);
        for (const CrashReport &report : refusals.reports)
            this->records.merge(report, now);
        this->known = refusals.version;
    }
};

using Parts = std::vector<std::string>;

bool isRefused(const CrashRecords &records, const Parts &parts, TimePoint now)
{
    std::vector<Sha256> fingerprints;
    for (const std::string &part : parts)
        fingerprints.push_back(promptPartFingerprint(part));
    return records.quarantineOf(fingerprints, now).has_value();
}

void recordCrash(CrashRecords &records, const Parts &parts, int request, int crashedRunner, TimePoint now)
{
    for (uint32_t position = 0; position < parts.size(); ++position)
        records.recordPromptPartCrash(promptPartFingerprint(parts[position]), position,
                                      sha256(std::to_string(request)), runner(crashedRunner), now);
}

void recordServed(CrashRecords &records, const Parts &parts, TimePoint now)
{
    for (const std::string &part : parts)
        records.recordCompletion(promptPartFingerprint(part), now);
}

std::string numbered(const char *name, int number)
{
    return name + std::to_string(number);
}

} // namespace

// Guards against a request that is sent on although three runners have ended under it: issue 26.
TEST_CASE("A request under which three runners have ended is refused for an hour", "[crashrecords]")
{
    CrashRecords records;
    CHECK(records.recordCrash(Crashing, runner(1), Start) == Change::Recorded);
    CHECK(records.recordCrash(Crashing, runner(1), Start + 1s) == Change::None);
    CHECK(records.recordCrash(Crashing, runner(2), Start + 1s) == Change::Recorded);
    CHECK_FALSE(records.quarantinedUntil(Crashing, Start + 1s));
    // The same runner after a restart.
    CHECK(records.recordCrash(Crashing, runner(1, 2), Start + 2s) == Change::Quarantined);
    const TimePoint end = Start + 2s + CrashRecords::Lifetime;
    CHECK(records.quarantinedUntil(Crashing, Start + 2s) == end);
    CHECK(records.quarantinedUntil(Crashing, end));
    CHECK_FALSE(records.quarantinedUntil(Crashing, end + 1ms));
    CHECK_FALSE(records.quarantinedUntil(sha256("other"), Start + 2s));
    CHECK(records.crashedRunners(Crashing) == "r1,r1,r2");
    // The next crash counts as the first one again.
    CHECK(records.recordCrash(Crashing, runner(3), end + 1s) == Change::Recorded);
    CHECK(records.crashCount(Crashing, end + 1s) == 1);
}

// Replays 75 gateways that a request reaches in turn, each time with another id. Guards against a count that
// each gateway keeps for itself: the request would end three runners for each of them.
TEST_CASE("Gateways that exchange with a coordinator refuse together", "[crashrecords]")
{
    constexpr size_t GatewayCount = 75;
    // A request comes each 0.3 s; each gateway exchanges at least as often, and waits for the answer.
    constexpr Duration Interval = 300ms;
    std::vector<Gateway> gateways(GatewayCount);
    CrashRecords coordinator;
    int crashCount = 0;
    for (int arrival = 0; arrival < 200; ++arrival) {
        const TimePoint now = Start + arrival * Interval;
        Gateway &gateway = gateways[static_cast<size_t>(arrival) * 31 % GatewayCount];
        if (!gateway.records.quarantinedUntil(Crashing, now))
            gateway.records.recordCrash(Crashing, runner(++crashCount), now);
        for (Gateway &other : gateways)
            other.exchange(coordinator, now);
    }
    CHECK(crashCount <= static_cast<int>(CrashRecords::CrashLimit) + 1);
}

// Guards against a refusal that is forgotten when another coordinator takes over, or a gateway restarts.
TEST_CASE("A new coordinator and a restarted gateway learn what is refused from the others", "[crashrecords]")
{
    Gateway first;
    Gateway second;
    CrashRecords coordinator;
    for (int number : {1, 2, 3})
        (number == 1 ? first : second).records.recordCrash(Crashing, runner(number), Start);
    for (Gateway *gateway : {&first, &second, &first})
        gateway->exchange(coordinator, Start);
    REQUIRE(first.records.quarantinedUntil(Crashing, Start));
    CrashRecords next;
    // The gateway that has seen two of the crashes is gone; the other one was told.
    first.reported = first.known = 0;
    first.exchange(next, Start + 1s);
    CHECK(next.quarantinedUntil(Crashing, Start + 1s));
    Gateway restarted;
    restarted.exchange(next, Start + 1s);
    CHECK(restarted.records.quarantinedUntil(Crashing, Start + 1s));
}

// Guards against requests that are refused because they are frequent: a status page that all callers poll
// is in flight at each runner that ends for another reason.
TEST_CASE("A request that is completed in between is not refused", "[crashrecords]")
{
    struct Case
    {
        const char *name;
        /// Times of completions, and of the crashes under the request, in seconds.
        std::vector<int> completions;
        std::vector<int> crashes;
        bool isRefused;
    };
    const auto test = GENERATE(values<Case>({
            {"never completed", {}, {10, 20, 30}, true},
            {"completed before all crashes", {0}, {100, 200, 300}, true},
            {"completed shortly before", {0}, {10, 20, 29}, false},
            {"completed in between", {150}, {100, 120, 200}, false},
            {"completed while it is refused", {31}, {10, 20, 30}, false},
            {"three crashes again after it was cleared", {31}, {10, 20, 30, 70, 80, 90}, true},
    }));
    INFO(test.name);
    CrashRecords records;
    int number = 0;
    for (int second = 0; second <= 300; ++second) {
        const TimePoint now = Start + std::chrono::seconds{second};
        if (std::ranges::count(test.completions, second) > 0)
            records.recordCompletion(Crashing, now);
        if (std::ranges::count(test.crashes, second) > 0)
            records.recordCrash(Crashing, runner(++number), now);
    }
    CHECK(records.quarantinedUntil(Crashing, Start + 300s).has_value() == test.isRefused);
}

// Guards against a sound request that stays refused for an hour since the gateway that has completed it was
// not asked.
TEST_CASE("A completion at one gateway clears the request at all", "[crashrecords]")
{
    const bool isBeforeCrash = GENERATE(true, false);
    Gateway first;
    Gateway second;
    CrashRecords coordinator;
    if (isBeforeCrash)
        second.records.recordCompletion(Crashing, Start);
    for (int number : {1, 2, 3})
        first.records.recordCrash(Crashing, runner(number), Start + 1s);
    first.exchange(coordinator, Start + 1s);
    REQUIRE(coordinator.quarantinedUntil(Crashing, Start + 1s));
    second.exchange(coordinator, Start + 1s);
    if (!isBeforeCrash)
        second.records.recordCompletion(Crashing, Start + 2s);
    for (Gateway *gateway : {&second, &first})
        gateway->exchange(coordinator, Start + 2s);
    CHECK_FALSE(coordinator.quarantinedUntil(Crashing, Start + 2s));
    CHECK_FALSE(first.records.quarantinedUntil(Crashing, Start + 2s));
    CHECK_FALSE(second.records.quarantinedUntil(Crashing, Start + 2s));
}

// Guards against processes that send each other the same reports for ever: each takes the delay of the
// network for news.
TEST_CASE("Reports that come back change nothing", "[crashrecords]")
{
    CrashRecords one;
    CrashRecords other;
    for (int number : {1, 2, 3})
        one.recordCrash(Crashing, runner(number), Start);
    one.recordCompletion(sha256("frequent"), Start);
    one.recordCrash(sha256("frequent"), runner(4), Start + 1s);
    CHECK(passOn(one, other, Start + 20ms) != Change::None);
    for (int round = 1; round < 50; ++round) {
        const TimePoint now = Start + round * 300ms;
        CHECK(passOn(other, one, now) == Change::None);
        CHECK(passOn(one, other, now + 20ms) == Change::None);
    }
}

// Guards against a day of crashes that fills the memory or pushes refused requests out.
TEST_CASE("Records are bounded, and a refused request is kept longest", "[crashrecords]")
{
    CrashRecords records;
    for (int number : {1, 2, 3})
        records.recordCrash(Crashing, runner(number), Start);
    for (size_t i = 0; i < CrashRecords::MaxRecords + 100; ++i)
        records.recordCrash(sha256("beside " + std::to_string(i)), runner(1), Start + 1s);
    for (size_t i = 0; i < CrashRecords::MaxCompletions + 100; ++i)
        records.recordCompletion(sha256("complete " + std::to_string(i)), Start + 1s);
    CHECK(records.size() == CrashRecords::MaxRecords);
    CHECK(records.quarantinedUntil(Crashing, Start + 1s));
}

// Guards against an exchange of megabytes after a crash of many runners, and against reports that are lost
// when not all of them fit.
TEST_CASE("Changes are reported in parts, each once", "[crashrecords]")
{
    constexpr size_t Count = CrashRecords::MaxReports * 2 + 10;
    CrashRecords records;
    for (size_t i = 0; i < Count; ++i)
        records.recordCrash(sha256(std::to_string(i)), runner(1), Start);
    std::set<Sha256> reported;
    uint64_t version = 0;
    for (int part = 0; part < 3; ++part) {
        const CrashChanges changes = records.changesSince(version, Start);
        CHECK(changes.reports.size() <= CrashRecords::MaxReports);
        for (const CrashReport &report : changes.reports)
            CHECK(reported.insert(report.fingerprint).second);
        version = changes.version;
    }
    CHECK(reported.size() == Count);
    CHECK(version == records.version());
    CHECK(records.changesSince(version, Start).reports.empty());
    // Only the request that is refused concerns others.
    CHECK(records.refusalsSince(0, Start).reports.empty());
    records.recordCrash(sha256("0"), runner(2), Start);
    records.recordCrash(sha256("0"), runner(3), Start);
    const CrashChanges refusals = records.refusalsSince(version, Start);
    REQUIRE(refusals.reports.size() == 1);
    CHECK(refusals.reports.front().crashes.size() == CrashRecords::CrashLimit);
    // A version of an earlier process, which was further.
    CHECK(records.refusalsSince(refusals.version + 1000, Start).reports.size() == 1);
}

// Replays nine gateways and nine runners: requests with one part in common come four times a second, begin at
// a runner and end it; sound ones share their first part, and begin at the same runners. Guards against
// runners that end one after the other, since no two of the requests are equal, and against the refusal of
// the sound ones (issue 29).
TEST_CASE("Gateways refuse the part of prompts that ends runners, and no other", "[crashrecords]")
{
    struct Case
    {
        const char *name;
        /// Parts of the n-th crashing and of the n-th sound request.
        std::function<Parts(int)> crashing;
        std::function<Parts(int)> sound;
        /// Seconds for which the part was sound before.
        int soundBefore;
    };
    const auto test = GENERATE(values<Case>({
            {"behind a shared part",
             [](int) {
                 return Parts{"first", "bad"};
             },
             [](int n) {
                 return Parts{"first", numbered("session", n % 7)};
             },
             0},
            {"behind parts that differ",
             [](int n) {
                 return Parts{numbered("first", n % 3), "bad"};
             },
             [](int n) {
                 return Parts{numbered("first", n % 3), numbered("session", n % 7)};
             },
             0},
            {"the first part",
             [](int n) {
                 return Parts{"bad", numbered("session", n % 7)};
             },
             [](int n) {
                 return Parts{"first", numbered("session", n % 7)};
             },
             0},
            {"a part that has been served before",
             [](int) {
                 return Parts{"first", "bad"};
             },
             [](int n) {
                 return Parts{"first", numbered("session", n % 7)};
             },
             5},
    }));
    INFO(test.name);
    constexpr size_t GatewayCount = 9;
    constexpr Duration Interval = 250ms;
    std::vector<Gateway> gateways(GatewayCount);
    CrashRecords coordinator;
    std::vector<Sha256> crashingParts;
    int crashCount = 0;
    int soundCount = 0;
    int servedCount = 0;
    for (int arrival = 0; arrival < 120; ++arrival) {
        const TimePoint now = Start + arrival * Interval;
        const bool isSoundYet = arrival < test.soundBefore * 4;
        Gateway &gateway = gateways[static_cast<size_t>(arrival) * 5 % GatewayCount];
        Gateway &neighbour = gateways[static_cast<size_t>(arrival) * 7 % GatewayCount];
        const Parts crashing = test.crashing(arrival);
        const Parts sound = test.sound(arrival);
        const bool isCrashing = !isSoundYet && !isRefused(gateway.records, crashing, now);
        if (isSoundYet)
            recordServed(gateway.records, crashing, now);
        if (isCrashing)
            recordCrash(gateway.records, crashing, arrival, ++crashCount, now);
        ++soundCount;
        if (!isRefused(neighbour.records, sound, now)) {
            ++servedCount;
            // Every third of them has just begun at the runner that ends.
            if (isCrashing && arrival % 3 == 0)
                recordCrash(neighbour.records, sound, 1000 + arrival, crashCount, now);
            else
                recordServed(neighbour.records, sound, now);
        }
        for (Gateway &other : gateways)
            other.exchange(coordinator, now);
    }
    // Crashes shortly after the part was served are not counted.
    const int uncounted = test.soundBefore > 0 ? 8 : 0;
    CHECK(crashCount <= static_cast<int>(PromptPartCrashLimit) + 1 + uncounted);
    CHECK(servedCount == soundCount);
    CHECK(isRefused(coordinator, {"bad"}, Start + 30s));
}

// Replays a sheet that is new to all prompts: its first four requests also have the part that ends runners.
// Guards against the refusal of the sheet for an hour, which only served requests with it could end, and
// against further crashes after the cause is known (review, case 4).
TEST_CASE("A part that is new together with the one that ends runners goes on being served", "[crashrecords]")
{
    struct Case
    {
        const char *name;
        Parts crashing;
        Parts sound;
        /// When the sheet was served before, if it was.
        std::optional<Duration> servedBefore;
    };
    const auto test = GENERATE(values<Case>({
            {"behind it", {"first", "bad", "sheet"}, {"first", "sheet"}, std::nullopt},
            {"before it", {"first", "sheet", "bad"}, {"first", "sheet"}, std::nullopt},
            {"the first part", {"sheet", "bad"}, {"sheet"}, std::nullopt},
            {"served an hour before", {"first", "bad", "sheet"}, {"first", "sheet"}, 3600s},
    }));
    INFO(test.name);
    CrashRecords records;
    if (test.servedBefore)
        recordServed(records, {"sheet"}, Start - *test.servedBefore);
    int crashCount = 0;
    for (int request = 0; request < 20; ++request) {
        const TimePoint now = Start + request * 900ms;
        recordServed(records, {"first"}, now);
        if (!isRefused(records, test.crashing, now))
            recordCrash(records, test.crashing, request, ++crashCount, now);
        if (request < 8)
            continue;
        CHECK_FALSE(isRefused(records, test.sound, now));
        recordServed(records, test.sound, now);
    }
    CHECK(crashCount <= static_cast<int>(PromptPartCrashLimit) + 1);
    const TimePoint end = Start + 20s;
    CHECK(isRefused(records, {"bad"}, end));
    CHECK_FALSE(isRefused(records, {"first", "sheet"}, end));
}

// Guards against a part that ends runners in requests with ever other parts, and is never refused by itself
// because each of these came up with it.
TEST_CASE("A part that ends runners beside changing parts is refused alone in the end", "[crashrecords]")
{
    const int requestsPerSheet = GENERATE(1, 2, 4, 5);
    INFO(requestsPerSheet);
    CrashRecords records;
    int crashCount = 0;
    for (int request = 0; request < 60; ++request) {
        const TimePoint now = Start + request * 900ms;
        const Parts parts{"bad", numbered("sheet", request / requestsPerSheet)};
        if (!isRefused(records, parts, now))
            recordCrash(records, parts, request, ++crashCount, now);
    }
    // One more crash shows which part it is, and one may have another reason.
    CHECK(crashCount <= static_cast<int>(PromptPartCrashLimit + 1 + MaxCrashDifference));
    CHECK(isRefused(records, {"bad"}, Start + 60s));
    CHECK_FALSE(isRefused(records, {"sheet0"}, Start + 60s));
}

// Guards against sound requests that are refused for an hour because a part of other prompts has ended three
// of their runners.
TEST_CASE("A request whose crashes a part of other prompts explains is not refused", "[crashrecords]")
{
    CrashRecords records;
    const Sha256 sound = sha256("sound");
    for (int number : {1, 2, 3})
        records.recordCrash(sound, runner(number), Start);
    CHECK(records.quarantinedUntil(sound, Start));
    for (int number : {1, 2, 3, 4})
        records.recordPromptPartCrash(promptPartFingerprint("bad"), 1, sha256(std::to_string(number)),
                                      runner(number), Start);
    CHECK_FALSE(records.quarantinedUntil(sound, Start));
    CHECK(records.crashCount(sound, Start) == 0);
    CHECK(records.quarantinedUntil(promptPartFingerprint("bad"), Start) == Start + CrashRecords::Lifetime);
    // A crash of another runner is not explained.
    records.recordCrash(sound, runner(11), Start);
    CHECK(records.crashCount(sound, Start) == 1);
}

// Guards against an exchange that is full of parts which thousands of requests share, each time one of them
// is served or loses a runner.
TEST_CASE("A part that is served all the time is not reported", "[crashrecords]")
{
    const Sha256 part = promptPartFingerprint("shared");
    CrashRecords records;
    records.recordPromptPartCrash(part, 0, sha256("1"), runner(1), Start);
    records.recordCompletion(part, Start + 100ms);
    const uint64_t version = records.version();
    for (int number = 2; number < 100; ++number) {
        const TimePoint now = Start + number * 500ms;
        records.recordCompletion(part, now);
        records.recordPromptPartCrash(part, 0, sha256(std::to_string(number)), runner(number), now + 100ms);
    }
    CHECK(records.version() == version);
    CHECK(records.crashCount(part, Start + 100s) == 0);
}

// Replays nine gateways: requests with one part in common end their runners before the response, and take up
// to four requests that wait there with them. Guards against runners that end one after the other because
// such an end counts for no part, and against the refusal of the parts of those that wait (issue 39).
TEST_CASE("Gateways refuse a part that ends runners before the response, and no other", "[crashrecords]")
{
    struct Case
    {
        const char *name;
        Duration interval;
        /// Parts of the n-th request that ends its runner.
        std::function<Parts(int)> crashing;
        /// Requests that end runners at the same time, each its own.
        int atOnce = 1;
        /// Sound requests that are lost with each runner.
        int waiting = 4;
        /// From when to when the first gateway does not reach the coordinator.
        std::pair<Duration, Duration> cut{};
        /// When the coordinator is replaced by one that knows nothing, and when the second gateway restarts.
        std::optional<Duration> leaderChangeAt{};
        std::optional<Duration> restartAt{};
        /// Whether a runner comes back under its id.
        bool keepsIds = false;
    };
    const auto bad = [](int) { return Parts{"first", "bad"}; };
    const auto test = GENERATE_COPY(values<Case>({
            {"behind a shared part", 600ms, bad},
            {"the first part", 600ms, [](int) { return Parts{"bad"}; }},
            {"in changing places", 600ms,
             [](int n) {
                 return n % 2 == 0 ? Parts{"bad", "first"} : Parts{"first", "bad"};
             }},
            {"beside a part that is new with it", 600ms,
             [](int) {
                 return Parts{"first", "sheet", "bad"};
             }},
            {"five a second", 200ms, bad},
            {"one each three seconds", 3s, bad},
            {"three at once", 1s, bad, 3},
            {"nothing waits beside it", 600ms, bad, 1, 0},
            {"many wait beside it", 600ms, bad, 1, 12},
            {"a gateway that is cut off for a while", 600ms, bad, 1, 4, {1s, 6s}},
            {"a change of leader before the fifth crash", 600ms, bad, 1, 4, {}, 2s},
            {"a change of leader after it", 600ms, bad, 1, 4, {}, 5s},
            {"a gateway that restarts", 600ms, bad, 1, 4, {}, {}, 5s},
            {"runners that come back under their ids", 600ms, bad, 1, 4, {}, {}, {}, true},
    }));
    INFO(test.name);
    constexpr size_t GatewayCount = 9;
    constexpr Duration ExchangeInterval = 300ms;
    constexpr Duration ContactTime = 3s;
    constexpr Duration Step = 100ms;
    constexpr Duration Length = 30s;
    constexpr int RunnerCount = 9;
    std::vector<Gateway> gateways(GatewayCount);
    CrashRecords coordinator;
    std::vector<TimePoint> crashes;
    int lateArrivals = 0;
    int refusedSound = 0;
    int requestNumber = 0;
    for (Duration time{}; time < Length; time += Step) {
        const TimePoint now = Start + time;
        const bool isCut = time >= test.cut.first && time < test.cut.second;
        if (test.leaderChangeAt == time) {
            coordinator = CrashRecords{};
            for (Gateway &gateway : gateways)
                gateway.reported = gateway.known = 0;
        }
        if (test.restartAt == time)
            gateways[1] = Gateway{};
        for (Gateway &gateway : gateways)
            gateway.records.settle(now);
        for (int count = 0; time % test.interval == Duration::zero() && count < test.atOnce; ++count) {
            const int number = ++requestNumber;
            const size_t index = static_cast<size_t>(number) * 5 % GatewayCount;
            Gateway &gateway = gateways[index];
            const Parts parts = test.crashing(number);
            if (isRefused(gateway.records, parts, now))
                continue;
            // A gateway that is cut off is not bound until it has been in touch for as long again.
            const bool isInTouch =
                    index != 0 || time < test.cut.first || time >= test.cut.second + ContactTime;
            if (crashes.size() >= 5 && now > crashes[4] + ContactTime && isInTouch)
                ++lateArrivals;
            crashes.push_back(now);
            const int ended = static_cast<int>(crashes.size());
            const RunnerIncarnation lost = test.keepsIds ? runner(ended % RunnerCount, ended) : runner(ended);
            const auto record = [&](Gateway &at, const Parts &lostParts, int request) {
                for (uint32_t position = 0; position < lostParts.size(); ++position)
                    at.records.recordPromptPartCrash(promptPartFingerprint(lostParts[position]), position,
                                                     sha256(std::to_string(request)), lost, now, false);
            };
            for (int waiting = 0; waiting < test.waiting; ++waiting)
                record(gateways[(index + static_cast<size_t>(waiting)) % GatewayCount],
                       {"first", numbered("session", waiting)}, 10000 + 100 * number + waiting);
            record(gateway, parts, number);
        }
        // Each session has a request each half second, at another gateway each time.
        for (int session = 0; session < 12; ++session) {
            if ((time / Step + session) % 5 != 0)
                continue;
            Gateway &gateway = gateways[static_cast<size_t>(time / Step + 7 * session) % GatewayCount];
            const Parts parts{"first", numbered("session", session)};
            if (isRefused(gateway.records, parts, now))
                ++refusedSound;
            else
                recordServed(gateway.records, parts, now);
        }
        for (size_t index = 0; time % ExchangeInterval == Duration::zero() && index < GatewayCount; ++index) {
            if (index != 0 || !isCut)
                gateways[index].exchange(coordinator, now);
        }
    }
    CHECK(lateArrivals <= 3);
    CHECK(refusedSound == 0);
    CHECK(isRefused(gateways[4].records, test.crashing(0), Start + Length));
}

// Guards against parts that are refused since many requests with them wait at runners that end for another
// reason: a power loss ends several at once, and some end now and then all day.
TEST_CASE("Runners that end together or rarely prove nothing about those that wait", "[crashrecords]")
{
    struct Case
    {
        const char *name;
        Duration interval;
        int count;
        bool isRefused;
    };
    const auto test = GENERATE(values<Case>({
            {"a power loss of twenty runners", 10ms, 20, false},
            {"one each half minute", 30s, 20, false},
            {"one after the other", 1s, 4, true},
    }));
    INFO(test.name);
    CrashRecords records;
    TimePoint now = Start;
    for (int number = 0; number < test.count; ++number) {
        now += test.interval;
        records.recordPromptPartCrash(promptPartFingerprint("part"), 0, sha256(std::to_string(number)),
                                      runner(number), now, false);
    }
    CHECK_FALSE(isRefused(records, {"part"}, now));
    now += CrashRecords::SettleTime;
    records.settle(now);
    CHECK(isRefused(records, {"part"}, now) == test.isRefused);
}

// Guards against the refusal of parts whose requests had begun at runners that the part of a waiting request
// has ended (issue 39, soak seed 1: 20 sound requests were refused within 0.4 s).
TEST_CASE("Parts that have begun are refused late if one that waited explains the ends", "[crashrecords]")
{
    const bool isServed = GENERATE(false, true);
    CrashRecords records;
    TimePoint now = Start;
    for (int number = 1; number <= 4; ++number) {
        now += 140ms;
        recordCrash(records, {"first", "sound"}, number, number, now);
        for (uint32_t position = 0; position < 2; ++position)
            records.recordPromptPartCrash(promptPartFingerprint(position == 0 ? "first" : "bad"), position,
                                          sha256("waiting " + std::to_string(number)), runner(number), now,
                                          false);
    }
    CHECK_FALSE(isRefused(records, {"first", "sound"}, now));
    if (isServed)
        recordServed(records, {"first", "sound"}, now + 500ms);
    now += CrashRecords::AlternativeSettleTime;
    records.settle(now);
    CHECK(isRefused(records, {"first", "sound"}, now) == !isServed);
}

// Guards against a part that is refused before the gateway that has served it could report so (issue 29, soak
// seed 2: a sound part was refused for 155 ms, and its caller was told to come back in an hour).
TEST_CASE("A gateway among others waits for their reports before it refuses a part", "[crashrecords]")
{
    const bool isServedElsewhere = GENERATE(false, true);
    Gateway first;
    Gateway second;
    CrashRecords coordinator;
    first.records.setHasOthers(true);
    if (isServedElsewhere)
        recordServed(second.records, {"first", "part"}, Start);
    for (int number = 1; number <= 4; ++number)
        recordCrash(first.records, {"first", "part"}, number, number, Start + number * 100ms);
    CHECK_FALSE(isRefused(first.records, {"first", "part"}, Start + 400ms));
    for (int round = 1; round <= 3; ++round) {
        for (Gateway *gateway : {&first, &second})
            gateway->exchange(coordinator, Start + 400ms + round * 300ms);
    }
    const TimePoint now = Start + 400ms + CrashRecords::SettleTime;
    first.records.settle(now);
    CHECK(isRefused(first.records, {"first", "part"}, now) == !isServedElsewhere);
}
