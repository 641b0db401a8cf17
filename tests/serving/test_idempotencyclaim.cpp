#include "libserving/idempotencyclaim.h"

#include <catch2/catch.hpp>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

constexpr Instant StartInstant{TimePoint{1h}, WallTime{std::chrono::hours{500'000}}};

Instant atOffset(Duration duration)
{
    return {StartInstant.now + duration, StartInstant.wall};
}

template <typename Action>
std::vector<Action> actionsOf(const std::vector<ClaimAction> &actions)
{
    std::vector<Action> found;
    for (const ClaimAction &action : actions) {
        if (const auto *match = std::get_if<Action>(&action))
            found.push_back(*match);
    }
    return found;
}

/// A claim that was started at StartInstant, with functions that pass replies of replicas to it.
struct StartedClaim
{
    explicit StartedClaim(std::vector<OwnerGroup> groups = {{"a", 3, {"0", "1", "2"}}})
        : claim({{"kiosk", "stock", "k"}, {}, "m", "entry", 1}, std::move(groups), {})
    {
        this->claim.start(StartInstant);
    }

    std::vector<ClaimAction> grant(const SlotId &slot, uint64_t incarnation = 1,
                                   std::vector<ReplicaIdentity> known = {},
                                   const std::string &claimId = "m.1")
    {
        Record record;
        record.claimId = claimId;
        return this->reply(slot, {RecordVerdict::Granted, record, 1, {slot, incarnation}, std::move(known)});
    }

    std::vector<ClaimAction> replyHeld(const SlotId &slot, RecordState state, const std::string &claimId,
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
        return this->claim.handle({slot, call, std::move(reply)}, atOffset(this->elapsed));
    }

    std::vector<ClaimAction> tick(Duration at)
    {
        this->elapsed = at;
        return this->claim.tick(atOffset(at));
    }

    IdempotencyClaim claim;
    Duration elapsed{0};
};

} // namespace

// Guards against a request that is sent without a majority of the configured slots, however few are live.
TEST_CASE("A claim is granted by a majority of the slots of every group")
{
    StartedClaim one{{{"a", 3, {"0", "1"}}}};
    CHECK(actionsOf<ClaimGranted>(one.grant("0")).empty());
    CHECK(actionsOf<ClaimGranted>(one.grant("0")).empty());
    CHECK(actionsOf<ClaimGranted>(one.grant("1")).size() == 1);

    StartedClaim moving{{{"a", 3, {"0", "1", "2"}}, {"b", 3, {"3", "4", "5"}}}};
    for (const char *slot : {"0", "1", "2", "3"})
        CHECK(actionsOf<ClaimGranted>(moving.grant(slot)).empty());
    CHECK(actionsOf<ClaimGranted>(moving.grant("4")).size() == 1);
}

// Guards against counting the grant of a replaced process, of which its successor has no record.
TEST_CASE("Grants of replaced processes do not count")
{
    StartedClaim startedClaim;
    startedClaim.grant("0", 1);
    CHECK(actionsOf<ClaimGranted>(startedClaim.grant("1", 1, {{"0", 2}})).empty());
    CHECK(actionsOf<ClaimGranted>(startedClaim.grant("0", 1)).empty());
    CHECK(actionsOf<ClaimGranted>(startedClaim.grant("0", 2)).size() == 1);
}

// Guards against counting a late grant of a released round for the next round.
TEST_CASE("Grants of an earlier round do not count")
{
    StartedClaim startedClaim;
    startedClaim.grant("0");
    startedClaim.replyHeld("1", RecordState::Claimed, "a.1");
    const auto released = startedClaim.replyHeld("2", RecordState::Claimed, "a.1");
    REQUIRE(actionsOf<SendResolve>(released).size() == 3);
    CHECK(actionsOf<SendResolve>(released)[0].request.record.state == RecordState::NotRun);
    for (const char *slot : {"0", "1"})
        startedClaim.verdict(slot, RecordVerdict::Absent, RecordCall::Lookup);
    CHECK(actionsOf<ClaimGranted>(startedClaim.grant("0")).empty());
    CHECK(actionsOf<ClaimGranted>(startedClaim.grant("1")).empty());
    startedClaim.grant("0", 1, {}, "m.2");
    CHECK(actionsOf<ClaimGranted>(startedClaim.grant("1", 1, {}, "m.2")).size() == 1);
}

// Guards against a refusal whose reason the replies do not prove.
TEST_CASE("A claim is refused with the reason that the replies prove")
{
    struct Row
    {
        uint32_t size;
        std::vector<RecordVerdict> verdicts;
        std::optional<RecordState> heldState;
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
    StartedClaim startedClaim{{{"a", row.size, {"0", "1", "2"}}}};
    std::vector<ClaimAction> allActions;
    const auto collect = [&](const std::vector<ClaimAction> &actions) {
        allActions.insert(allActions.end(), actions.begin(), actions.end());
    };
    for (size_t i = 0; i < row.verdicts.size(); ++i)
        collect(row.verdicts[i] == V::Granted ? startedClaim.grant(std::to_string(i))
                                              : startedClaim.verdict(std::to_string(i), row.verdicts[i]));
    if (row.heldState)
        collect(startedClaim.replyHeld("2", *row.heldState, "a.1"));
    collect(startedClaim.tick(1s));
    const auto refused = actionsOf<ClaimRefused>(allActions);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason == row.reason);
    CHECK(actionsOf<SendResolve>(allActions).size() >= 2);
    CHECK(actionsOf<ClaimGranted>(allActions).empty());
    CHECK(actionsOf<ClaimGranted>(startedClaim.grant("1")).empty());
}

// Guards against "not-run" while the entry that holds the key does not report an outcome, and against a key
// that remains claimed forever.
TEST_CASE("The outcome of a claim that is not resolved in time is stored as unknown")
{
    StartedClaim startedClaim;
    startedClaim.replyHeld("0", RecordState::Claimed, "a.1");
    startedClaim.replyHeld("1", RecordState::Claimed, "a.1");
    CHECK(actionsOf<SendLookup>(startedClaim.tick(200ms)).size() == 3);
    startedClaim.replyHeld("0", RecordState::Claimed, "a.1", RecordCall::Lookup);
    const auto actions = startedClaim.tick(5s);
    REQUIRE(actionsOf<ClaimRefused>(actions).size() == 1);
    CHECK(actionsOf<ClaimRefused>(actions)[0].reason == ClaimRefusal::Unknown);
    const auto changes = actionsOf<SendResolve>(actions);
    REQUIRE(changes.size() >= 3);
    CHECK(std::any_of(changes.begin(), changes.end(), [](const SendResolve &send) {
        return send.request.record.state == RecordState::Unknown && send.request.record.claimId == "a.1";
    }));
}

// Guards against an outcome that is stored by one replica only, and against endless messages while no
// majority replies.
TEST_CASE("An outcome is sent until a majority has confirmed it")
{
    const bool isConfirmed = GENERATE(true, false);
    StartedClaim startedClaim;
    startedClaim.grant("0");
    startedClaim.grant("1");
    CHECK(actionsOf<SendResolve>(startedClaim.claim.resolve(RecordState::Ran, 200, "text", "x", StartInstant))
                  .size() == 3);
    CHECK(actionsOf<SendResolve>(startedClaim.tick(150ms)).size() == 3);
    Record ran;
    ran.state = RecordState::Ran;
    ran.claimId = "m.1";
    for (const char *slot : {"0", "1"}) {
        if (isConfirmed)
            startedClaim.reply(slot, {RecordVerdict::Granted, ran, 1, {slot, 1}, {}}, RecordCall::Resolve);
    }
    CHECK(startedClaim.claim.isFinished() == isConfirmed);
    startedClaim.tick(11s);
    CHECK(startedClaim.claim.isFinished());
    CHECK_FALSE(startedClaim.claim.nextTick());
}
