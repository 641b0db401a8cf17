#include "libserving/servicecall.h"

#include "libcore/uuid.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

constexpr Instant StartInstant{TimePoint{1h}, WallTime{std::chrono::hours{500'000}}};
constexpr RetryPermit Permit{true, 10ms};

enum class Kind { Idempotent, WithoutKey, WithKey };

template <typename Action>
std::vector<Action> actionsOf(const std::vector<ServiceAction> &actions)
{
    std::vector<Action> found;
    for (const ServiceAction &action : actions) {
        if (const auto *match = std::get_if<Action>(&action))
            found.push_back(*match);
    }
    return found;
}

/// A call whose first attempt was sent. Collects the actions of the call.
struct SentCall
{
    explicit SentCall(Kind kind, const std::string &key = "k")
        : call(settings(kind), claim(kind, key))
    {
        this->add(this->call.start(StartInstant));
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
        this->add(this->call.handle(event, {StartInstant.now + after, StartInstant.wall}));
    }

    void add(const std::vector<ServiceAction> &actions)
    {
        this->allActions.insert(this->allActions.end(), actions.begin(), actions.end());
    }

    ServiceCall call;
    std::vector<ServiceAction> allActions;
};

} // namespace

// Guards against a second send of a request that may run only once, and against a wrong outcome.
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
    SentCall sentCall{row.kind};
    if (row.isStarted)
        sentCall.feed(SendStarted{1});
    sentCall.feed(row.failure);
    CHECK(actionsOf<SendRequest>(sentCall.allActions).size() == row.sends);
    const auto replies = actionsOf<ReplyToCaller>(sentCall.allActions);
    REQUIRE(replies.size() == (row.outcome ? 1 : 0));
    if (!row.outcome)
        return;
    CHECK(replies[0].outcome == *row.outcome);
    const auto resolved = actionsOf<SendResolve>(sentCall.allActions);
    REQUIRE(resolved.size() == (row.kind == K::WithKey ? 3 : 0));
    if (row.kind == K::WithKey)
        CHECK(static_cast<int>(resolved[0].request.record.state) == static_cast<int>(*row.outcome) + 1);
}

// Guards against a timeout that is reported as "not-run" although the write may have begun and SendStarted is
// on its way.
TEST_CASE("A timeout after the send was requested has an unknown outcome")
{
    const bool isStarted = GENERATE(true, false);
    const Kind kind = GENERATE(Kind::WithoutKey, Kind::WithKey);
    SentCall sentCall{kind};
    if (isStarted)
        sentCall.feed(SendStarted{1});
    sentCall.feed(ServiceTick{}, 4999ms);
    CHECK(actionsOf<ReplyToCaller>(sentCall.allActions).empty());
    sentCall.feed(ServiceTick{}, 5100ms);
    REQUIRE(actionsOf<ReplyToCaller>(sentCall.allActions).size() == 1);
    CHECK(actionsOf<ReplyToCaller>(sentCall.allActions)[0].outcome == ServiceOutcome::Unknown);
    CHECK(actionsOf<AbortSend>(sentCall.allActions).size() == 1);
    for (const SendResolve &send : actionsOf<SendResolve>(sentCall.allActions))
        CHECK(send.request.record.state == RecordState::Unknown);
    sentCall.feed(ResponseReceived{1, {200, "t", "late"}}, 6s);
    CHECK(actionsOf<ReplyToCaller>(sentCall.allActions).size() == 1);
}

// Guards against a record that remains claimed because its caller disconnected.
TEST_CASE("A call with a claim continues after its caller disconnected")
{
    SentCall sentCall{Kind::WithKey};
    sentCall.feed(ServiceCallerDisconnected{});
    CHECK_FALSE(sentCall.call.isFinished());
    sentCall.feed(SendStarted{1});
    sentCall.feed(ResponseReceived{1, {200, "t", "x"}});
    CHECK(actionsOf<ReplyToCaller>(sentCall.allActions).empty());
    CHECK(actionsOf<SendResolve>(sentCall.allActions).size() == 3);
    SentCall idempotentCall{Kind::Idempotent};
    idempotentCall.feed(ServiceCallerDisconnected{});
    CHECK(idempotentCall.call.isFinished());
}

// Guards against a wrong outcome for keys whose record may have expired or that another entry's clock may
// have accepted.
TEST_CASE("Keys outside the retention are refused with the outcome that is certain")
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
    SentCall sentCall{
            Kind::WithKey,
            makeUuidV7(StartInstant.wall - std::chrono::duration_cast<std::chrono::milliseconds>(row.age),
                       random)};
    const auto replies = actionsOf<ReplyToCaller>(sentCall.allActions);
    REQUIRE(replies.size() == (row.outcome ? 1 : 0));
    CHECK(actionsOf<SendRequest>(sentCall.allActions).size() == (row.outcome ? 0 : 1));
    if (!row.outcome)
        return;
    CHECK(replies[0].outcome == *row.outcome);
    CHECK(replies[0].cause == row.cause);
    CHECK(sentCall.call.isFinished());
}

// Guards against a truncated response to a repeated key that is not reported as truncated.
TEST_CASE("A repeated key gets the stored response or an error that it was not stored")
{
    const bool isTruncated = GENERATE(true, false);
    ServiceCall call{SentCall::settings(Kind::WithKey), SentCall::claim(Kind::WithKey, "k")};
    call.start(StartInstant);
    Record record;
    record.claimId = "a.1";
    record.state = RecordState::Ran;
    record.status = 201;
    record.response = isTruncated ? "" : "tray 7";
    record.isResponseTruncated = isTruncated;
    const auto actions = call.handle(
            ReplicaReplied{"0", RecordCall::Claim, {RecordVerdict::Held, record, 1, {"0", 1}, {}}},
            StartInstant);
    const auto replies = actionsOf<ReplyToCaller>(actions);
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].outcome == ServiceOutcome::Ran);
    CHECK(replies[0].cause == (isTruncated ? ServiceCause::ReplayTooLarge : ServiceCause::Replayed));
    CHECK(replies[0].response.body == record.response);
    CHECK(actionsOf<SendRequest>(actions).empty());
}
