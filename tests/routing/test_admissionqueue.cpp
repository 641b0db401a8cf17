#include "librouting/routing.h"

#include <catch2/catch.hpp>

#include <map>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

struct Fixture
{
    Fixture()
    {
        queue.setClass("label", {.priority = 1, .maxWait = 10s, .limit = 50});
        queue.setClass("report", {.priority = 2, .maxWait = 60s, .limit = 20});
    }

    Result<Queued, QueueRefused> push(const std::string &account, const std::string &className, TimePoint now,
                                      double cost = 1, bool requiresIsolation = false)
    {
        WaitingRequest request;
        request.id = ++lastId;
        request.account = account;
        request.className = className;
        request.cost = cost;
        request.requiresIsolation = requiresIsolation;
        return queue.push(std::move(request), now);
    }

    std::optional<WaitingRequest> next(TimePoint now)
    {
        return queue.dispatch(now, [](const WaitingRequest &) { return true; });
    }

    AdmissionQueue queue{60};
    uint64_t lastId = 0;
};

} // namespace

// Guards against starvation of a class of lower priority (reports) by a steady load of higher priority
// (labels), and against labels that wait for reports.
TEST_CASE("Higher priority goes first without starving lower priority")
{
    Fixture fixture;
    for (int i = 0; i < 10; ++i)
        fixture.push("planner", "report", Start);
    std::vector<Duration> reportWaits;
    Duration longestLabelWait{0};
    // Every 100 ms one request is dispatched and one new label arrives, so labels alone would use every
    // dispatch.
    for (int step = 0; step < 500; ++step) {
        const TimePoint now = Start + step * 100ms;
        fixture.push("cashier", "label", now);
        if (const auto sent = fixture.next(now)) {
            if (sent->className == "report")
                reportWaits.push_back(now - sent->enqueuedAt);
            else
                longestLabelWait = std::max(longestLabelWait, Duration(now - sent->enqueuedAt));
        }
    }
    REQUIRE(reportWaits.size() == 10);
    CHECK(reportWaits.front() <= 6s);
    CHECK(longestLabelWait <= 4s);
}

// Guards against an account that gets more than its share because it sends more or larger requests.
TEST_CASE("Accounts of one class share by weight and work")
{
    Fixture fixture;
    fixture.queue.setShare("large", 3);
    for (int i = 0; i < 14; ++i)
        fixture.push("large", "report", Start, 100);
    for (int i = 0; i < 6; ++i)
        fixture.push("small", "report", Start, 200);
    std::map<std::string, double> work;
    for (int i = 0; i < 10; ++i) {
        const auto sent = fixture.next(Start);
        work[sent->account] += sent->cost;
    }
    CHECK(work["large"] / work["small"] == Approx(3).margin(1.5));
}

// Guards against head-of-line blocking by a suspect, or by a request for which no target has headroom.
TEST_CASE("A request that no target accepts does not block others")
{
    Fixture fixture;
    fixture.push("big", "report", Start, 1, true);
    fixture.push("big", "report", Start);
    fixture.push("small", "report", Start);
    const auto offer = [](const WaitingRequest &request) { return !request.requiresIsolation; };
    CHECK(fixture.queue.dispatch(Start, offer).has_value());
    CHECK(fixture.queue.dispatch(Start, offer).has_value());
    CHECK_FALSE(fixture.queue.dispatch(Start, offer).has_value());
    CHECK(fixture.queue.size() == 1);
}

// Guards against callers that wait past their deadline without a reply.
TEST_CASE("Requests are refused at their deadline or at once if they would miss it")
{
    Fixture fixture;
    fixture.push("kiosk", "label", Start);
    CHECK(fixture.queue.nextDeadline() == Start + 10s);
    CHECK(fixture.queue.expire(Start + 9s).empty());
    CHECK_FALSE(fixture.next(Start + 10s).has_value());
    const auto expired = fixture.queue.expire(Start + 10s);
    REQUIRE(expired.size() == 1);
    CHECK(expired.front().reason == QueueRefused::Reason::DeadlinePassed);
    CHECK(expired.front().retryAfter >= 1s);

    // One label per second is dispatched, so the eleventh one in the queue would wait longer than 10 s.
    std::optional<QueueRefused> refused;
    for (int step = 0; step < 60 && !refused; ++step) {
        const TimePoint now = Start + 20s + step * 500ms;
        const auto result = fixture.push("kiosk", "label", now);
        if (std::holds_alternative<QueueRefused>(result))
            refused = std::get<QueueRefused>(result);
        if (step % 2 == 0)
            fixture.next(now);
    }
    REQUIRE(refused.has_value());
    CHECK(refused->reason == QueueRefused::Reason::DeadlineWouldPass);
    CHECK(refused->retryAfter >= 1s);
}

// Guards against load shedding that removes the wrong request: one of higher priority, an older one, or one
// of an account within its share.
TEST_CASE("A full queue sheds by priority then by account share and newest first")
{
    Fixture fixture;
    for (int i = 0; i < 15; ++i)
        fixture.push("large", "report", Start);
    const uint64_t newestOfLarge = fixture.lastId;
    for (int i = 0; i < 5; ++i)
        fixture.push("small", "report", Start);

    const auto overShare = fixture.push("large", "report", Start);
    CHECK(std::get<QueueRefused>(overShare).reason == QueueRefused::Reason::AccountShare);
    const auto withinShare = std::get<Queued>(fixture.push("small", "report", Start));
    REQUIRE(withinShare.displaced.size() == 1);
    CHECK(withinShare.displaced.front().id == newestOfLarge);
    CHECK(withinShare.displaced.front().reason == QueueRefused::Reason::AccountShare);

    for (int i = 0; i < 40; ++i)
        fixture.push("cashier", "label", Start);
    CHECK(fixture.queue.size() == 60);
    const auto better = std::get<Queued>(fixture.push("cashier", "label", Start));
    REQUIRE(better.displaced.size() == 1);
    CHECK(better.displaced.front().id == newestOfLarge - 1);
    CHECK(better.displaced.front().reason == QueueRefused::Reason::Shed);
    CHECK(fixture.queue.size() == 60);
    CHECK(std::get<QueueRefused>(fixture.push("x", "unlisted", Start)).reason ==
          QueueRefused::Reason::UnknownClass);
}

// Guards against queue capacity that requests of disconnected callers still use.
TEST_CASE("A removed request is not dispatched")
{
    Fixture fixture;
    fixture.push("kiosk", "label", Start);
    CHECK(fixture.queue.remove(1));
    CHECK_FALSE(fixture.queue.remove(1));
    CHECK_FALSE(fixture.next(Start).has_value());
}

// Guards against estimates that keep the default distribution, ignore the tokens already generated, or exceed
// the maximum output length.
TEST_CASE("Length estimates follow the samples and the generated tokens and the maximum length")
{
    LengthEstimator lengths;
    CHECK(lengths.expectedRemaining("kiosk", "report", 0, 65536) > 100);
    for (int i = 0; i < 30; ++i)
        lengths.record("planner", "report", 2000);
    CHECK(lengths.expectedRemaining("planner", "report", 0, 65536) == Approx(2000).epsilon(0.25));
    CHECK(lengths.expectedRemaining("kiosk", "report", 0, 65536) == Approx(2000).epsilon(0.25));
    CHECK(lengths.expectedRemaining("planner", "report", 1500, 65536) < 1000);
    CHECK(lengths.expectedRemaining("planner", "report", 9000, 65536) > 1000);
    CHECK(lengths.expectedRemaining("planner", "report", 1500, 1600) == Approx(100));
    for (int i = 0; i < 30; ++i)
        lengths.record("kiosk", "report", 50);
    CHECK(lengths.expectedRemaining("kiosk", "report", 0, 65536) == Approx(50).epsilon(0.25));

    double previous = 1;
    for (double tokens = 100; tokens < 60000; tokens *= 1.3) {
        const double probability = lengths.distribution("planner", "report").survival(100, tokens);
        CHECK(probability <= previous);
        previous = probability;
    }
}
