#include "librouting/routing.h"

#include <catch2/catch.hpp>

#include <deque>
#include <memory>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};
constexpr int EntryCount = 9;

std::string entryName(int index)
{
    return "entry-" + std::to_string(index);
}

/// Nine entries, each with a limiter for one account, that receive each other's usage one second late.
struct Fleet
{
    explicit Fleet(const AccountLimits &limits)
    {
        for (int i = 0; i < EntryCount; ++i) {
            std::vector<std::string> peers;
            for (int j = 0; j < EntryCount; ++j) {
                if (j != i)
                    peers.push_back(entryName(j));
            }
            limiters[i].setPeers(peers, Start);
            limiters[i].setAccount("kiosk", limits, Start);
        }
    }

    bool admit(int entry, TimePoint now)
    {
        return std::holds_alternative<Admitted>(limiters[entry].admit("kiosk", now));
    }

    /// Delivers the usage of one second ago. With a partition, only within each group of three entries.
    void gossip(TimePoint now, bool isPartitioned)
    {
        std::vector<std::vector<AccountUsage>> current;
        for (AccountLimiter &limiter : limiters)
            current.push_back(limiter.usage(now));
        delayed.push_back(current);
        if (delayed.size() < 3)
            return;
        for (int from = 0; from < EntryCount; ++from) {
            for (int to = 0; to < EntryCount; ++to) {
                if (from != to && (!isPartitioned || from / 3 == to / 3))
                    limiters[to].applyPeerUsage(entryName(from), delayed.front()[from], now);
            }
        }
        delayed.pop_front();
    }

    AccountLimiter limiters[EntryCount];
    std::deque<std::vector<std::vector<AccountUsage>>> delayed;
};

} // namespace

// Guards against an account that exceeds its rate because its traffic moves between entries or the network is
// partitioned, and against one that gets much less than its rate.
TEST_CASE("The rate over nine entries stays within the error bound")
{
    struct Row
    {
        const char *name;
        std::vector<int> before, after;
        bool isPartitioned;
        double minFraction;
    };
    const auto row = GENERATE(
            Row{"even", {0, 1, 2, 3, 4, 5, 6, 7, 8}, {0, 1, 2, 3, 4, 5, 6, 7, 8}, false, 0.9},
            Row{"one entry", {0}, {0}, false, 0.8}, Row{"moves to another entry", {0}, {5}, false, 0.6},
            Row{"partition", {0, 3, 6}, {0, 3, 6}, true, 0.9},
            Row{"moves during a partition", {0, 3, 6}, {1, 4, 7}, true, 0.5});
    INFO(row.name);
    const AccountLimits limits{.rate = 50, .burst = 100, .concurrent = 100000};
    Fleet fleet(limits);
    std::vector<int> perSecond;
    Random random{3};
    for (int step = 0; step < 12000; ++step) {
        const TimePoint now = Start + step * 10ms;
        const bool isSecondHalf = step >= 6000;
        const auto &activeEntries = isSecondHalf ? row.after : row.before;
        if (step % 100 == 0)
            perSecond.push_back(0);
        // Two requests per 10 ms, four times the rate.
        for (int i = 0; i < 2; ++i)
            perSecond.back() += fleet.admit(activeEntries[random.below(activeEntries.size())], now) ? 1 : 0;
        if (step % 50 == 0)
            fleet.gossip(now, row.isPartitioned && step >= 3000);
    }
    for (size_t from = 0; from < perSecond.size(); ++from) {
        int sum = 0;
        for (size_t to = from; to < perSecond.size(); ++to) {
            sum += perSecond[to];
            const auto seconds = static_cast<double>(to - from + 1);
            REQUIRE(sum <= limits.rate * seconds + limits.burst + EntryCount);
        }
    }
    int lastTenSeconds = 0;
    for (size_t second = perSecond.size() - 10; second < perSecond.size(); ++second)
        lastTenSeconds += perSecond[second];
    CHECK(lastTenSeconds >= row.minFraction * limits.rate * 10);
}

// Guards against more requests in flight than the account's limit, and against capacity that is not released.
TEST_CASE("The concurrency over nine entries stays within the error bound")
{
    const auto concurrent = GENERATE(4U, 20U, 90U);
    Fleet fleet({.rate = 100000, .burst = 100000, .concurrent = concurrent});
    std::vector<int> inFlight(EntryCount, 0);
    int maxInFlight = 0;
    Random random{5};
    for (int step = 0; step < 4000; ++step) {
        const TimePoint now = Start + step * 10ms;
        const auto entry = static_cast<int>(random.below(step < 2000 ? 3 : EntryCount));
        inFlight[entry] += fleet.admit(entry, now) ? 1 : 0;
        const auto ending = random.below(EntryCount);
        if (inFlight[ending] > 0 && random.chance(0.02)) {
            fleet.limiters[ending].release("kiosk", now);
            --inFlight[ending];
        }
        int sum = 0;
        for (const int count : inFlight)
            sum += count;
        maxInFlight = std::max(maxInFlight, sum);
        if (step % 50 == 0)
            fleet.gossip(now, false);
    }
    CHECK(maxInFlight <= static_cast<int>(concurrent) + EntryCount);
    CHECK(maxInFlight >= static_cast<int>(concurrent) / 2);
}

// Guards against a burst after a quota grows: the token bucket must not be refilled for past time at the new
// quota.
TEST_CASE("A grown quota does not apply to past time and small changes are not advertised")
{
    AccountLimiter limiter;
    const std::vector<std::string> peers{"entry-2"};
    limiter.setPeers(peers, Start);
    limiter.setAccount("kiosk", {.rate = 10, .burst = 100, .concurrent = 1000}, Start);
    const auto admitRepeatedly = [&](int count, TimePoint now) {
        int admitted = 0;
        for (int i = 0; i < count; ++i)
            admitted += std::holds_alternative<Admitted>(limiter.admit("kiosk", now)) ? 1 : 0;
        return admitted;
    };
    const std::vector<AccountUsage> busy{{"kiosk", 1000, 0}};
    limiter.applyPeerUsage("entry-2", busy, Start + 1s);
    admitRepeatedly(100, Start + 1s);
    limiter.applyPeerUsage("entry-2", {}, Start + 60s);
    CHECK(admitRepeatedly(100, Start + 60s) <= 2);

    const double advertised = limiter.usage(Start + 60s).front().demand;
    admitRepeatedly(1, Start + 60s);
    CHECK(limiter.usage(Start + 60s).front().demand == advertised);
    admitRepeatedly(100, Start + 60s);
    CHECK(limiter.usage(Start + 60s).front().demand > advertised);
}

// Guards against refusals without a reason or a retry time that the caller can use.
TEST_CASE("Refusals of the limiter have a reason and a retry time")
{
    AccountLimiter limiter;
    limiter.setAccount("kiosk", {.rate = 2, .burst = 2, .concurrent = 1}, Start);
    CHECK(std::get<LimitRefused>(limiter.admit("nobody", Start)).reason ==
          LimitRefused::Reason::UnknownAccount);
    REQUIRE(std::holds_alternative<Admitted>(limiter.admit("kiosk", Start)));
    CHECK(std::get<LimitRefused>(limiter.admit("kiosk", Start)).reason == LimitRefused::Reason::Concurrency);
    limiter.release("kiosk", Start);
    REQUIRE(std::holds_alternative<Admitted>(limiter.admit("kiosk", Start)));
    limiter.release("kiosk", Start);
    const auto refused = std::get<LimitRefused>(limiter.admit("kiosk", Start));
    CHECK(refused.reason == LimitRefused::Reason::Rate);
    CHECK(refused.retryAfter >= 400ms);
    CHECK(refused.retryAfter <= 600ms);
}

// Guards against a retry storm while a third of the targets is down: every third attempt fails for a minute.
TEST_CASE("Retries stay within the budget while a third of the targets is down")
{
    RetryBudget budget; // 10% and 3 attempts

    Random random{1};
    int requests = 0;
    int retries = 0;
    for (int second = 0; second < 60; ++second) {
        const TimePoint now = Start + second * 1s;
        for (int i = 0; i < 20; ++i) {
            ++requests;
            budget.recordRequest("planner", now);
            for (uint32_t attempt = 1; random.chance(1.0 / 3.0); ++attempt) {
                const auto retry = budget.requestRetry("planner", attempt, true, now, now + 30s, random);
                if (!std::holds_alternative<Duration>(retry))
                    break;
                ++retries;
            }
        }
    }
    CHECK(retries <= 0.1 * requests + 3 + 0.1 * 60);
    CHECK(retries >= 0.09 * requests);
}

// Guards against a second run of a request that must run once, and against retries past the deadline.
TEST_CASE("Refused retries have a reason")
{
    struct Row
    {
        uint32_t attempt;
        bool isRepeatable;
        Duration remaining;
        RetryRefused::Reason reason;
    };
    const auto row = GENERATE(Row{1, false, 10s, RetryRefused::Reason::NotRepeatable},
                              Row{3, true, 10s, RetryRefused::Reason::Attempts},
                              Row{1, true, 0s, RetryRefused::Reason::Deadline});
    RetryBudget budget;
    Random random{1};
    const auto refused = std::get<RetryRefused>(budget.requestRetry("planner", row.attempt, row.isRepeatable,
                                                                    Start, Start + row.remaining, random));
    CHECK(refused.reason == row.reason);
}

// Guards against ejections that never end, do not grow, or end by the late success of a run from before the
// ejection.
TEST_CASE("Ejection time doubles up to its limit and one successful probe readmits")
{
    OutlierDetector detector;
    TimePoint now = Start;
    detector.recordStall("t", now);
    for (const Duration ejectionTime : {1s, 2s, 4s, 8s, 16s, 32s, 60s, 60s}) {
        detector.recordSuccess("t", now);
        CHECK(detector.state("t", now + ejectionTime - 1ms) == OutlierDetector::State::Ejected);
        now += ejectionTime;
        REQUIRE(detector.state("t", now) == OutlierDetector::State::ProbeDue);
        REQUIRE(detector.beginProbe("t", now));
        CHECK_FALSE(detector.beginProbe("t", now));
        detector.recordFailure("t", now);
    }
    now += 60s;
    REQUIRE(detector.beginProbe("t", now));
    detector.recordSuccess("t", now);
    CHECK(detector.state("t", now) == OutlierDetector::State::Available);
    detector.recordFailure("t", now);
    CHECK(detector.penalty("t", now) > 0.3);
    CHECK(detector.penalty("t", now + 60s) < 0.05);
}

// Guards against a failure count that is not reset by a success, which would eject healthy targets over time.
TEST_CASE("Only consecutive failures eject")
{
    OutlierDetector detector;
    for (int i = 0; i < 10; ++i) {
        detector.recordFailure("t", Start);
        detector.recordFailure("t", Start);
        detector.recordSuccess("t", Start);
    }
    CHECK(detector.state("t", Start) == OutlierDetector::State::Available);
}
