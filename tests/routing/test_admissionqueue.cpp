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
        queue.setClass("label", {.priority = 1, .deadline = 10s, .limit = 50});
        queue.setClass("report", {.priority = 2, .deadline = 60s, .limit = 20});
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

// Guards against reports that never run under a steady load of labels, and labels that wait for reports.
TEST_CASE("Labels go first, but reports are not starved")
{
    Fixture fixture;
    for (int i = 0; i < 10; ++i)
        fixture.push("planner", "report", Start);
    std::vector<Duration> reportWaits;
    Duration longestLabelWait{0};
    // One place every 100 ms, one new label every 100 ms: labels alone would use every place.
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

// Guards against an account that takes more than its share by sending more or larger requests.
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

// Guards against one request without headroom, or one suspect, that holds up requests that could run.
TEST_CASE("A request that no target takes does not hold up others")
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

// Guards against callers that wait past their deadline without an answer.
TEST_CASE("Requests are refused at their deadline, or at once when it cannot be met")
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

    // One label per second leaves; the eleventh in line would wait longer than 10 s.
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

// Guards against shedding that hits the wrong caller: the better class, the older request or the account
// within its share.
TEST_CASE("A full queue sheds the worst class first, then the account over its share, newest first")
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

// Guards against places in the queue that are held by callers who have left.
TEST_CASE("A request whose caller has gone leaves the queue")
{
    Fixture fixture;
    fixture.push("kiosk", "label", Start);
    CHECK(fixture.queue.remove(1));
    CHECK_FALSE(fixture.queue.remove(1));
    CHECK_FALSE(fixture.next(Start).has_value());
}

// Guards against estimates that stay with the prior, that ignore the age of an output, or that exceed the
// model's limit.
TEST_CASE("Length estimates follow the account, the age and the model's limit")
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

    double last = 1;
    for (double tokens = 100; tokens < 60000; tokens *= 1.3) {
        const double alive = lengths.profile("planner", "report").survival(100, tokens);
        CHECK(alive <= last);
        last = alive;
    }
}
