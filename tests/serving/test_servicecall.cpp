#include "libserving/servicecall.h"

#include "libcore/uuid.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

constexpr Instant At{TimePoint{1h}, WallTime{std::chrono::hours{500'000}}};
constexpr RetryPermit Permit{true, 10ms};

enum class Kind { Idempotent, WithoutKey, WithKey };

template <typename Action>
std::vector<Action> only(const std::vector<ServiceAction> &actions)
{
    std::vector<Action> found;
    for (const ServiceAction &action : actions) {
        if (const auto *match = std::get_if<Action>(&action))
            found.push_back(*match);
    }
    return found;
}

/// A call that has sent its first attempt.
struct Sent
{
    explicit Sent(Kind kind, const std::string &key = "k")
        : call(settings(kind), claim(kind, key))
    {
        this->add(this->call.start(At));
        for (const char *slot : {"0", "1"}) {
            Record record;
            record.claimId = "c.1";
            this->feed(ReplicaReplied{
                    slot, RecordCall::Claim, {RecordVerdict::Granted, record, 1, {slot, 1}, {}}});
        }
    }

    static ServiceCallSettings settings(Kind kind)
    {
        ServiceCallSettings settings;
        settings.isIdempotent = kind == Kind::Idempotent;
        return settings;
    }

    static std::optional<ServiceClaim> claim(Kind kind, const std::string &key)
    {
        if (kind != Kind::WithKey)
            return std::nullopt;
        return ServiceClaim{{{"kiosk", "stock", key}, {}, "c", "entry", 1}, {{"a", 3, {"0", "1", "2"}}}};
    }

    void feed(const ServiceCallEvent &event, Duration after = 0s)
    {
        this->add(this->call.handle(event, {At.now + after, At.wall}));
    }

    void add(const std::vector<ServiceAction> &actions)
    {
        this->all.insert(this->all.end(), actions.begin(), actions.end());
    }

    ServiceCall call;
    std::vector<ServiceAction> all;
};

} // namespace

// Guards against a second send of a request that must not be repeated, and against a wrong outcome.
TEST_CASE("Failures are retried and reported according to what may have run")
{
    struct Row
    {
        Kind kind;
        bool isStarted;
        ServiceCallEvent failure;
        size_t sends;
        std::optional<ServiceOutcome> outcome;
    };
    using K = Kind;
    const auto row = GENERATE(
            values<Row>({{K::Idempotent, true, SendInterrupted{1, Permit}, 2, std::nullopt},
                         {K::Idempotent, true, SendInterrupted{1, {}}, 1, ServiceOutcome::Unknown},
                         {K::Idempotent, true, TargetRefused{1, Permit}, 2, std::nullopt},
                         {K::Idempotent, false, RequestNotSent{1, {}}, 1, ServiceOutcome::NotRun},
                         {K::WithoutKey, false, RequestNotSent{1, Permit}, 2, std::nullopt},
                         {K::WithoutKey, false, RequestNotSent{1, {}}, 1, ServiceOutcome::NotRun},
                         {K::WithoutKey, true, RequestNotSent{1, Permit}, 1, ServiceOutcome::Unknown},
                         {K::WithoutKey, true, SendInterrupted{1, Permit}, 1, ServiceOutcome::Unknown},
                         {K::WithoutKey, false, SendInterrupted{1, Permit}, 1, ServiceOutcome::Unknown},
                         {K::WithoutKey, true, TargetRefused{1, Permit}, 1, ServiceOutcome::NotRun},
                         {K::WithKey, false, RequestNotSent{1, Permit}, 2, std::nullopt},
                         {K::WithKey, true, SendInterrupted{1, Permit}, 1, ServiceOutcome::Unknown},
                         {K::WithKey, true, TargetRefused{1, Permit}, 1, ServiceOutcome::NotRun},
                         {K::WithKey, true, ResponseReceived{1, {200, "t", "x"}}, 1, ServiceOutcome::Ran},
                         {K::WithKey, true, ResponseReceived{9, {200, "t", "x"}}, 1, std::nullopt}}));
    Sent sent{row.kind};
    if (row.isStarted)
        sent.feed(SendStarted{1});
    sent.feed(row.failure);
    CHECK(only<SendRequest>(sent.all).size() == row.sends);
    const auto replies = only<ReplyToCaller>(sent.all);
    REQUIRE(replies.size() == (row.outcome ? 1 : 0));
    if (!row.outcome)
        return;
    CHECK(replies[0].outcome == *row.outcome);
    const auto resolved = only<SendResolve>(sent.all);
    REQUIRE(resolved.size() == (row.kind == K::WithKey ? 3 : 0));
    if (row.kind == K::WithKey)
        CHECK(static_cast<int>(resolved[0].request.record.state) == static_cast<int>(*row.outcome) + 1);
}

// Guards against a timeout that is reported as "not-run" although the write may have begun unnoticed.
TEST_CASE("A timeout after the send was ordered is unknown")
{
    const bool isStarted = GENERATE(true, false);
    const Kind kind = GENERATE(Kind::WithoutKey, Kind::WithKey);
    Sent sent{kind};
    if (isStarted)
        sent.feed(SendStarted{1});
    sent.feed(ServiceTick{}, 4999ms);
    CHECK(only<ReplyToCaller>(sent.all).empty());
    sent.feed(ServiceTick{}, 5100ms);
    REQUIRE(only<ReplyToCaller>(sent.all).size() == 1);
    CHECK(only<ReplyToCaller>(sent.all)[0].outcome == ServiceOutcome::Unknown);
    CHECK(only<AbortSend>(sent.all).size() == 1);
    for (const SendResolve &send : only<SendResolve>(sent.all))
        CHECK(send.request.record.state == RecordState::Unknown);
    sent.feed(ResponseReceived{1, {200, "t", "late"}}, 6s);
    CHECK(only<ReplyToCaller>(sent.all).size() == 1);
}

// Guards against a record that stays claimed because its caller left.
TEST_CASE("A call goes on without its caller")
{
    Sent sent{Kind::WithKey};
    sent.feed(ServiceCallerDisconnected{});
    CHECK_FALSE(sent.call.isFinished());
    sent.feed(SendStarted{1});
    sent.feed(ResponseReceived{1, {200, "t", "x"}});
    CHECK(only<ReplyToCaller>(sent.all).empty());
    CHECK(only<SendResolve>(sent.all).size() == 3);
    Sent repeatable{Kind::Idempotent};
    repeatable.feed(ServiceCallerDisconnected{});
    CHECK(repeatable.call.isFinished());
}

// Guards against keys whose record may have ended or that another entry's clock may have accepted.
TEST_CASE("Keys outside the retention are refused with a true outcome")
{
    struct Row
    {
        Duration age;
        std::optional<ServiceOutcome> outcome;
        ServiceCause cause;
    };
    const auto row = GENERATE(values<Row>({{23h, std::nullopt, {}},
                                           {25h, ServiceOutcome::Unknown, ServiceCause::KeyExpired},
                                           {-1s, std::nullopt, {}},
                                           {-3s, ServiceOutcome::Unknown, ServiceCause::KeyInFuture},
                                           {-5s, ServiceOutcome::NotRun, ServiceCause::KeyInFuture}}));
    Random random{1};
    Sent sent{Kind::WithKey,
              makeUuidV7(At.wall - std::chrono::duration_cast<std::chrono::milliseconds>(row.age), random)};
    const auto replies = only<ReplyToCaller>(sent.all);
    REQUIRE(replies.size() == (row.outcome ? 1 : 0));
    CHECK(only<SendRequest>(sent.all).size() == (row.outcome ? 0 : 1));
    if (!row.outcome)
        return;
    CHECK(replies[0].outcome == *row.outcome);
    CHECK(replies[0].cause == row.cause);
    CHECK(sent.call.isFinished());
}

// Guards against an answer that reaches the caller of a repeated key incompletely without saying so.
TEST_CASE("A repeated key gets the recorded answer or is told that it was not kept")
{
    const bool isTruncated = GENERATE(true, false);
    ServiceCall call{Sent::settings(Kind::WithKey), Sent::claim(Kind::WithKey, "k")};
    call.start(At);
    Record record;
    record.claimId = "a.1";
    record.state = RecordState::Ran;
    record.status = 201;
    record.response = isTruncated ? "" : "tray 7";
    record.isResponseTruncated = isTruncated;
    const auto actions = call.handle(
            ReplicaReplied{"0", RecordCall::Claim, {RecordVerdict::Held, record, 1, {"0", 1}, {}}}, At);
    const auto replies = only<ReplyToCaller>(actions);
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].outcome == ServiceOutcome::Ran);
    CHECK(replies[0].cause == (isTruncated ? ServiceCause::ReplayTooLarge : ServiceCause::Replayed));
    CHECK(replies[0].response.body == record.response);
    CHECK(only<SendRequest>(actions).empty());
}
