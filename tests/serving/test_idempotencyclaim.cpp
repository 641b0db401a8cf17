#include "libserving/idempotencyclaim.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

constexpr Instant At{TimePoint{1h}, WallTime{std::chrono::hours{500'000}}};

Instant later(Duration duration)
{
    return {At.now + duration, At.wall};
}

template <typename Action>
std::vector<Action> only(const std::vector<ClaimAction> &actions)
{
    std::vector<Action> found;
    for (const ClaimAction &action : actions) {
        if (const auto *match = std::get_if<Action>(&action))
            found.push_back(*match);
    }
    return found;
}

struct Claiming
{
    explicit Claiming(std::vector<OwnerGroup> groups = {{"a", 3, {"0", "1", "2"}}})
        : claim({{"kiosk", "stock", "k"}, {}, "m", "entry", 1}, std::move(groups), {})
    {
        this->claim.start(At);
    }

    std::vector<ClaimAction> grant(const SlotId &slot, uint64_t incarnation = 1,
                                   std::vector<ReplicaIdentity> known = {},
                                   const std::string &claimId = "m.1")
    {
        Record record;
        record.claimId = claimId;
        return this->reply(slot, {RecordVerdict::Granted, record, 1, {slot, incarnation}, std::move(known)});
    }

    std::vector<ClaimAction> held(const SlotId &slot, RecordState state, const std::string &claimId,
                                  RecordCall call = RecordCall::Claim)
    {
        Record record;
        record.claimId = claimId;
        record.state = state;
        return this->reply(slot, {RecordVerdict::Held, record, 1, {slot, 1}, {}}, call);
    }

    std::vector<ClaimAction> verdict(const SlotId &slot, RecordVerdict verdict,
                                     RecordCall call = RecordCall::Claim)
    {
        return this->reply(slot, {verdict, std::nullopt, 1, {slot, 1}, {}}, call);
    }

    std::vector<ClaimAction> reply(const SlotId &slot, RecordReply reply, RecordCall call = RecordCall::Claim)
    {
        return this->claim.handle({slot, call, std::move(reply)}, later(this->elapsed));
    }

    std::vector<ClaimAction> tick(Duration at)
    {
        this->elapsed = at;
        return this->claim.tick(later(at));
    }

    IdempotencyClaim claim;
    Duration elapsed{0};
};

} // namespace

// Guards against a send without a majority of the configured slots, whatever the number of live ones.
TEST_CASE("A claim is granted by a majority of the slots of every group")
{
    Claiming one{{{"a", 3, {"0", "1"}}}};
    CHECK(only<ClaimGranted>(one.grant("0")).empty());
    CHECK(only<ClaimGranted>(one.grant("0")).empty());
    CHECK(only<ClaimGranted>(one.grant("1")).size() == 1);

    Claiming moving{{{"a", 3, {"0", "1", "2"}}, {"b", 3, {"3", "4", "5"}}}};
    for (const char *slot : {"0", "1", "2", "3"})
        CHECK(only<ClaimGranted>(moving.grant(slot)).empty());
    CHECK(only<ClaimGranted>(moving.grant("4")).size() == 1);
}

// Guards against a grant that a slot's replaced process gave and its successor does not know.
TEST_CASE("Grants of replaced processes do not count")
{
    Claiming claiming;
    claiming.grant("0", 1);
    CHECK(only<ClaimGranted>(claiming.grant("1", 1, {{"0", 2}})).empty());
    CHECK(only<ClaimGranted>(claiming.grant("0", 1)).empty());
    CHECK(only<ClaimGranted>(claiming.grant("0", 2)).size() == 1);
}

// Guards against a late grant of a released round that is taken for a grant of the next one.
TEST_CASE("Grants of an earlier round do not count")
{
    Claiming claiming;
    claiming.grant("0");
    claiming.held("1", RecordState::Claimed, "a.1");
    const auto released = claiming.held("2", RecordState::Claimed, "a.1");
    REQUIRE(only<SendResolve>(released).size() == 3);
    CHECK(only<SendResolve>(released)[0].request.record.state == RecordState::NotRun);
    for (const char *slot : {"0", "1"})
        claiming.verdict(slot, RecordVerdict::Absent, RecordCall::Lookup);
    CHECK(only<ClaimGranted>(claiming.grant("0")).empty());
    CHECK(only<ClaimGranted>(claiming.grant("1")).empty());
    claiming.grant("0", 1, {}, "m.2");
    CHECK(only<ClaimGranted>(claiming.grant("1", 1, {}, "m.2")).size() == 1);
}

// Guards against a rejection that says more than the records show.
TEST_CASE("A refused claim states what is known")
{
    struct Row
    {
        uint32_t size;
        std::vector<RecordVerdict> verdicts;
        std::optional<RecordState> held;
        ClaimRefusal reason;
    };
    using V = RecordVerdict;
    const auto row = GENERATE(values<Row>(
            {{3, {V::Granted}, std::nullopt, ClaimRefusal::RecordsUnreachable},
             {3, {V::Granted, V::Abstain, V::Abstain}, std::nullopt, ClaimRefusal::RecordsUnreachable},
             {3, {V::NotOwner, V::NotOwner, V::NotOwner}, std::nullopt, ClaimRefusal::RecordsUnreachable},
             {2, {V::Granted}, std::nullopt, ClaimRefusal::NotRun},
             {3, {V::Granted, V::BodyMismatch}, std::nullopt, ClaimRefusal::BodyMismatch},
             {3, {V::Granted}, RecordState::Ran, ClaimRefusal::Ran},
             {3, {V::Granted}, RecordState::Unknown, ClaimRefusal::Unknown}}));
    Claiming claiming{{{"a", row.size, {"0", "1", "2"}}}};
    std::vector<ClaimAction> all;
    const auto collect = [&](const std::vector<ClaimAction> &actions) {
        all.insert(all.end(), actions.begin(), actions.end());
    };
    for (size_t i = 0; i < row.verdicts.size(); ++i)
        collect(row.verdicts[i] == V::Granted ? claiming.grant(std::to_string(i))
                                              : claiming.verdict(std::to_string(i), row.verdicts[i]));
    if (row.held)
        collect(claiming.held("2", *row.held, "a.1"));
    collect(claiming.tick(1s));
    const auto refused = only<ClaimRefused>(all);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason == row.reason);
    CHECK(only<SendResolve>(all).size() >= 2);
    CHECK(only<ClaimGranted>(all).empty());
    CHECK(only<ClaimGranted>(claiming.grant("1")).empty());
}

// Guards against "not-run" while the entry that holds the key is silent, and against a key that stays open.
TEST_CASE("The outcome of a silent claimant is recorded as unknown")
{
    Claiming claiming;
    claiming.held("0", RecordState::Claimed, "a.1");
    claiming.held("1", RecordState::Claimed, "a.1");
    CHECK(only<SendLookup>(claiming.tick(200ms)).size() == 3);
    claiming.held("0", RecordState::Claimed, "a.1", RecordCall::Lookup);
    const auto actions = claiming.tick(5s);
    REQUIRE(only<ClaimRefused>(actions).size() == 1);
    CHECK(only<ClaimRefused>(actions)[0].reason == ClaimRefusal::Unknown);
    const auto changes = only<SendResolve>(actions);
    REQUIRE(changes.size() >= 3);
    CHECK(std::any_of(changes.begin(), changes.end(), [](const SendResolve &send) {
        return send.request.record.state == RecordState::Unknown && send.request.record.claimId == "a.1";
    }));
}

// Guards against an outcome that only one replica has, and against endless messages when no majority answers.
TEST_CASE("An outcome is sent until a majority has confirmed it")
{
    const bool isConfirmed = GENERATE(true, false);
    Claiming claiming;
    claiming.grant("0");
    claiming.grant("1");
    CHECK(only<SendResolve>(claiming.claim.resolve(RecordState::Ran, 200, "text", "x", At)).size() == 3);
    CHECK(only<SendResolve>(claiming.tick(150ms)).size() == 3);
    Record ran;
    ran.state = RecordState::Ran;
    ran.claimId = "m.1";
    for (const char *slot : {"0", "1"}) {
        if (isConfirmed)
            claiming.reply(slot, {RecordVerdict::Granted, ran, 1, {slot, 1}, {}}, RecordCall::Resolve);
    }
    CHECK(claiming.claim.isFinished() == isConfirmed);
    claiming.tick(11s);
    CHECK(claiming.claim.isFinished());
    CHECK_FALSE(claiming.claim.nextTick());
}
