#include "libconsensus/codec.h"
#include "libconsensus/consensus.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace eelgrasslift;
using namespace eelgrasslift::raft;
using namespace std::chrono_literals;

namespace {

const ClusterId Cluster{1, 2, 3};

std::string addressOf(MemberId id)
{
    return "10.0.0." + std::to_string(id) + ":7000";
}

Membership members(std::initializer_list<MemberId> voters, std::initializer_list<MemberId> learners = {})
{
    Membership result;
    for (const MemberId id : voters)
        result[id] = ClusterMember{addressOf(id), true};
    for (const MemberId id : learners)
        result[id] = ClusterMember{addressOf(id), false};
    return result;
}

/// Member 1, driven by hand. Every list of actions is checked: nothing leaves the node before it is synced.
class Driver
{
public:
    explicit Driver(const Membership &membership = members({1, 2, 3}), std::vector<Term> terms = {},
                    RaftSettings settings = {})
        : node(std::move(settings), addressOf(1), recovered(membership, terms), 1, at(0ms))
    {}

    static TimePoint at(Duration time) { return TimePoint{} + time; }

    static RecoveredState recovered(const Membership &membership, const std::vector<Term> &terms)
    {
        RecoveredState state{Identity{Cluster, 1}, HardState{2, 0}, nullptr, {}};
        if (!membership.empty())
            state.entries.push_back(LogEntry{1, 1, EntryKind::Membership, encodeMembership(membership)});
        for (const Term term : terms)
            state.entries.push_back(LogEntry{state.entries.size() + 1, term, EntryKind::Command, "old"});
        return state;
    }

    void handle(const Event &event)
    {
        this->actions = this->node.handle(event, at(this->now));
        bool isSynced = true;
        for (const Action &action : this->actions) {
            const bool isStore = std::holds_alternative<StoreEntries>(action) ||
                                 std::holds_alternative<StoreHardState>(action) ||
                                 std::holds_alternative<StoreSnapshot>(action);
            isSynced = std::holds_alternative<SyncStorage>(action) || (isSynced && !isStore);
            // An error promises nothing that is stored, a success does.
            const auto *answer = std::get_if<Answer>(&action);
            const bool isSuccess = answer != nullptr && std::holds_alternative<LogIndex>(answer->result);
            const bool needsSync = std::holds_alternative<Send>(action) ||
                                   std::holds_alternative<Apply>(action) || isSuccess;
            CHECK((isSynced || !needsSync));
        }
        CHECK(isSynced);
    }

    void receive(MemberId from, Message message, ClusterId cluster = Cluster, MemberId to = 1)
    {
        this->handle(Receive{Envelope{cluster, from, to, addressOf(from), std::move(message)}});
    }

    void tickUntil(Duration time)
    {
        while (this->now < time) {
            this->now = std::min(this->now + Duration{50ms}, time);
            this->handle(Tick{});
        }
    }

    template <typename Kind>
    std::vector<Kind> sent() const
    {
        std::vector<Kind> result;
        for (const Action &action : this->actions) {
            const auto *send = std::get_if<Send>(&action);
            if (send != nullptr && std::holds_alternative<Kind>(send->envelope.message))
                result.push_back(std::get<Kind>(send->envelope.message));
        }
        return result;
    }

    template <typename Kind>
    bool hasAction() const
    {
        return std::any_of(this->actions.begin(), this->actions.end(),
                           [](const Action &action) { return std::holds_alternative<Kind>(action); });
    }

    /// Error of the only answer in the last actions; nothing if it succeeded or was not given yet.
    std::optional<RequestErrorKind> error() const
    {
        for (const Action &action : this->actions) {
            if (const auto *answer = std::get_if<Answer>(&action);
                answer != nullptr && std::holds_alternative<RequestError>(answer->result))
                return std::get<RequestError>(answer->result).kind;
        }
        return std::nullopt;
    }

    std::optional<RequestErrorKind> request(Event event)
    {
        this->handle(std::move(event));
        return this->error();
    }

    /// A voter elected at 2 s in term 3, whose no-op is not committed yet.
    void elect()
    {
        this->tickUntil(2s);
        while (this->node.role() == RaftRole::PreCandidate || this->node.role() == RaftRole::Follower) {
            this->receive(2, PreVoteReply{this->node.term() + 1, true});
            this->receive(3, PreVoteReply{this->node.term() + 1, true});
        }
        this->receive(2, VoteReply{this->node.term(), true});
        this->receive(3, VoteReply{this->node.term(), true});
        REQUIRE(this->node.role() == RaftRole::Leader);
    }

    void acknowledge(MemberId from) { this->acknowledge(from, this->node.log().lastIndex(), at(this->now)); }

    void acknowledge(MemberId from, LogIndex match, TimePoint sentAt)
    {
        this->receive(from, AppendReply{this->node.term(), true, match, 0, sentAt});
    }

    void lead()
    {
        this->elect();
        for (const auto &[id, member] : Membership{this->node.log().membership()})
            this->acknowledge(id);
    }

    RaftNode node;
    Actions actions;
    Duration now{0};
};

VoteRequest vote(Term term, LogIndex lastIndex = 100, Term lastTerm = 2, LogIndex membershipIndex = 1)
{
    return VoteRequest{term, lastIndex, lastTerm, membershipIndex, false};
}

PreVoteRequest preVote(Term term, LogIndex lastIndex = 100, Term lastTerm = 2, LogIndex membershipIndex = 1)
{
    return PreVoteRequest{term, lastIndex, lastTerm, membershipIndex};
}

bool grantsVote(Driver &driver, MemberId from, const VoteRequest &request)
{
    driver.receive(from, request);
    const auto replies = driver.sent<VoteReply>();
    return !replies.empty() && replies[0].isGranted;
}

bool grantsPreVote(Driver &driver, MemberId from, const PreVoteRequest &request)
{
    driver.receive(from, request);
    return driver.sent<PreVoteReply>().at(0).isGranted;
}

} // namespace

// Guards against a second leader within the lease of the first.
TEST_CASE("A voter refuses other candidates for one election timeout after a heartbeat or its own start")
{
    const bool isRestart = GENERATE(true, false);
    Driver driver;
    Duration heard{0};
    if (!isRestart) {
        driver.tickUntil(500ms);
        driver.receive(2, AppendRequest{2, 1, 1, 0, {}, {}});
        heard = 500ms;
    }
    driver.now = heard + 599ms;
    CHECK_FALSE(grantsPreVote(driver, 3, preVote(3)));
    CHECK_FALSE(grantsVote(driver, 3, vote(3)));
    CHECK(driver.node.term() == 2);
    driver.now = heard + 600ms;
    CHECK(grantsPreVote(driver, 3, preVote(3)));
    CHECK(grantsVote(driver, 3, vote(3)));
}

// Guards against an isolated member that raises its term and deposes a working leader when it returns.
TEST_CASE("A member without a majority asks for pre-votes and keeps its term")
{
    Driver driver;
    driver.tickUntil(10s);
    CHECK(driver.node.role() == RaftRole::PreCandidate);
    CHECK(driver.node.term() == 2);
}

// Guards against votes by members that do not count, and against an election that a late promotion blocks.
TEST_CASE("A learner votes only for a candidate that knows a later membership")
{
    Driver driver{members({2, 3}, {1})};
    driver.now = 1s;
    CHECK_FALSE(grantsPreVote(driver, 2, preVote(3, 100, 2, 1)));
    CHECK_FALSE(grantsVote(driver, 2, vote(3, 100, 2, 1)));
    CHECK(grantsPreVote(driver, 2, preVote(4, 100, 2, 5)));
    CHECK(grantsVote(driver, 2, vote(4, 100, 2, 5)));
    driver.tickUntil(10s);
    CHECK(driver.node.role() == RaftRole::Learner);
}

// Guards against a leader that learners elected.
TEST_CASE("Votes of learners and strangers do not count")
{
    Driver driver{members({1, 2, 3}, {4})};
    driver.tickUntil(2s);
    for (const MemberId other : {4, 5})
        driver.receive(other, PreVoteReply{3, true});
    CHECK(driver.node.role() == RaftRole::PreCandidate);
    driver.receive(2, PreVoteReply{3, true});
    REQUIRE(driver.node.role() == RaftRole::Candidate);
    for (const MemberId other : {4, 5})
        driver.receive(other, VoteReply{3, true});
    CHECK(driver.node.role() == RaftRole::Candidate);
    driver.receive(3, VoteReply{3, true});
    CHECK(driver.node.role() == RaftRole::Leader);
}

// Guards against a leader that lacks committed entries.
TEST_CASE("A candidate needs a log that is at least as long")
{
    struct Case
    {
        LogIndex lastIndex;
        Term lastTerm;
        bool isGranted;
    };
    const auto candidate =
            GENERATE(values<Case>({{3, 2, true}, {4, 2, true}, {2, 2, false}, {9, 1, false}, {1, 3, true}}));
    Driver driver{members({1, 2, 3}), {1, 2}};
    driver.now = 1s;
    CHECK(grantsPreVote(driver, 2, preVote(4, candidate.lastIndex, candidate.lastTerm)) ==
          candidate.isGranted);
    CHECK(grantsVote(driver, 2, vote(4, candidate.lastIndex, candidate.lastTerm)) == candidate.isGranted);
}

// Guards against two leaders of one term.
TEST_CASE("A voter votes once per term and stores the vote before it answers")
{
    Driver driver;
    driver.now = 1s;
    CHECK(grantsVote(driver, 2, vote(3)));
    const auto stored =
            std::find_if(driver.actions.rbegin(), driver.actions.rend(),
                         [](const Action &action) { return std::holds_alternative<StoreHardState>(action); });
    REQUIRE(stored != driver.actions.rend());
    CHECK(std::get<StoreHardState>(*stored).state == HardState{3, 2});
    CHECK_FALSE(grantsVote(driver, 3, vote(3)));
    CHECK(grantsVote(driver, 2, vote(3)));
    CHECK(grantsVote(driver, 3, vote(4)));
}

// Guards against a lease that outlives the promise of the voters, by delay or by clock rate.
TEST_CASE("The lease is 450 ms from the send time of the heartbeat that a majority answered")
{
    Driver driver;
    driver.elect();
    CHECK_FALSE(driver.node.hasLease(Driver::at(2s)));
    CHECK(driver.request(Propose{1, "x"}) == RequestErrorKind::NoLease);
    const TimePoint sentAt = Driver::at(2s);
    driver.now = 2300ms;
    driver.acknowledge(2, driver.node.log().lastIndex(), sentAt);
    CHECK(driver.node.hasLease(sentAt + 449ms));
    CHECK_FALSE(driver.node.hasLease(sentAt + 450ms));
    driver.now = 2449ms;
    CHECK_FALSE(driver.request(Propose{2, "x"}).has_value());
    CHECK_FALSE(driver.request(ConfirmLeadership{3}).has_value());
    driver.now = 2450ms;
    CHECK(driver.request(Propose{4, "x"}) == RequestErrorKind::NoLease);
    CHECK(driver.request(ConfirmLeadership{5}) == RequestErrorKind::NoLease);
}

// Guards against callers that wait for an isolated leader, and against a reported failure that may be wrong.
TEST_CASE("A leader without answers steps down and reports open proposals as unknown")
{
    Driver driver;
    driver.lead();
    driver.handle(Propose{1, "x"});
    driver.tickUntil(3250ms);
    CHECK(driver.node.role() != RaftRole::Leader);
    Driver other;
    other.lead();
    other.handle(Propose{1, "x"});
    other.receive(2, AppendReply{9, false, 0, 1, {}});
    CHECK(other.error() == RequestErrorKind::OutcomeUnknown);
}

// Guards against an entry of an earlier term that counts as committed and is then replaced.
TEST_CASE("A leader commits entries of earlier terms only with one of its own")
{
    Driver driver{members({1, 2, 3}), {2}};
    driver.elect();
    REQUIRE(driver.node.log().lastIndex() == 3);
    driver.acknowledge(2, 2, Driver::at(2s));
    CHECK(driver.node.commitIndex() == 0);
    CHECK(driver.request(ConfirmLeadership{1}) == RequestErrorKind::NotReady);
    CHECK(driver.request(ChangeMembership{2, AddLearner{4, addressOf(4)}}) ==
          RequestErrorKind::ChangeInProgress);
    driver.acknowledge(2, 3, Driver::at(2s));
    CHECK(driver.node.commitIndex() == 3);
    CHECK_FALSE(driver.request(ConfirmLeadership{3}).has_value());
}

// Guards against a change that overlaps with one that an earlier leader left behind in other members' logs.
TEST_CASE("A new leader changes the membership only after it has committed an entry of its term")
{
    Driver driver{members({1, 2, 3}), {2}};
    driver.receive(2, AppendRequest{2, 2, 2, 2, {}, {}});
    driver.elect();
    REQUIRE(driver.node.commitIndex() == 2);
    driver.acknowledge(2, 2, Driver::at(2s));
    const ChangeMembership change{1, AddLearner{4, addressOf(4)}};
    CHECK(driver.request(change) == RequestErrorKind::ChangeInProgress);
    driver.acknowledge(2);
    CHECK_FALSE(driver.request(change).has_value());
}

// Guards against an answer before the only disk has the entry. The order is checked by Driver.
TEST_CASE("A single voter commits after its own sync")
{
    Driver driver{members({1})};
    driver.tickUntil(2s);
    REQUIRE(driver.node.role() == RaftRole::Leader);
    driver.handle(Propose{1, "x"});
    CHECK(driver.hasAction<Apply>());
    CHECK(driver.hasAction<Answer>());
}

// Guards against a follower that applies what its own disk does not have. The order is checked by Driver.
TEST_CASE("A follower syncs entries before it applies or acknowledges them")
{
    Driver driver;
    driver.receive(2, AppendRequest{2, 1, 1, 2, {}, {LogEntry{2, 2, EntryKind::Command, "x"}}});
    CHECK(driver.hasAction<Apply>());
    CHECK(driver.sent<AppendReply>().at(0).matchIndex == 2);
}

// Guards against changes whose majorities do not overlap, and against a cluster that changes itself to death.
TEST_CASE("Membership changes are checked one at a time")
{
    using enum RequestErrorKind;
    Driver driver{members({1, 2, 3}, {4})};
    driver.lead();
    CHECK(driver.request(ChangeMembership{1, RemoveMember{1}}) == IsLeader);
    CHECK(driver.request(ChangeMembership{1, RemoveMember{9}}) == UnknownMember);
    CHECK(driver.request(ChangeMembership{1, AddLearner{2, "x"}}) == AlreadyMember);
    CHECK_FALSE(driver.request(ChangeMembership{1, AddLearner{5, addressOf(5)}}).has_value());
    CHECK(driver.request(ChangeMembership{2, AddLearner{6, addressOf(6)}}) == ChangeInProgress);
    driver.acknowledge(2);
    CHECK_FALSE(driver.request(ChangeMembership{2, AddLearner{6, addressOf(6)}}).has_value());
    driver.acknowledge(2);

    // Member 3 falls silent: removing member 2 would leave one live voter of two.
    for (int i = 0; i < 7; ++i) {
        driver.now += 100ms;
        driver.acknowledge(2);
    }
    CHECK(driver.request(ChangeMembership{3, RemoveMember{2}}) == WouldLoseMajority);
    CHECK_FALSE(driver.request(ChangeMembership{3, RemoveMember{3}}).has_value());
}

// Guards against a repair that counts as complete while the new member lacks committed entries or is gone.
TEST_CASE("A learner is promoted only when it has caught up and is live")
{
    using enum RequestErrorKind;
    Driver driver{members({1, 2, 3}, {4})};
    driver.elect();
    driver.acknowledge(2);
    driver.acknowledge(4, 0, Driver::at(2s));
    CHECK(driver.request(ChangeMembership{1, PromoteLearner{4}}) == NotCaughtUp);
    driver.acknowledge(4);
    driver.handle(Propose{2, "x"});
    for (int i = 0; i < 7; ++i) {
        driver.now += 100ms;
        driver.acknowledge(2);
    }
    CHECK(driver.request(ChangeMembership{3, PromoteLearner{4}}) == NotCaughtUp);
    // The silence made the round too long; the next one is short.
    driver.acknowledge(4);
    driver.acknowledge(4);
    CHECK_FALSE(driver.request(ChangeMembership{3, PromoteLearner{4}}).has_value());
    CHECK(driver.node.log().membership().at(4).isVoter);
}

// Guards against more voters than the design allows.
TEST_CASE("An eighth voter is refused")
{
    Driver driver{members({1, 2, 3, 4, 5, 6, 7}, {8})};
    driver.tickUntil(2s);
    for (const MemberId id : {2, 3, 4})
        driver.receive(id, PreVoteReply{driver.node.term() + 1, true});
    for (const MemberId id : {2, 3, 4})
        driver.receive(id, VoteReply{driver.node.term(), true});
    REQUIRE(driver.node.role() == RaftRole::Leader);
    for (const MemberId id : {2, 3, 4, 5, 6, 7, 8})
        driver.acknowledge(id);
    CHECK(driver.request(ChangeMembership{1, PromoteLearner{8}}) == RequestErrorKind::TooManyVoters);
}

// Guards against two clusters, or two members at one address, that take each other's messages.
TEST_CASE("Messages for another cluster or member id are dropped")
{
    Driver driver;
    const AppendRequest request{9, 1, 1, 0, {}, {}};
    driver.receive(2, request, ClusterId{9});
    driver.receive(2, request, Cluster, 77);
    CHECK(driver.node.term() == 2);
    CHECK(driver.actions.empty());
    CHECK(driver.node.status(Driver::at(0ms)).foreignMessages == 2);
}

// Guards against a member of another cluster that is taken in with its old entries.
TEST_CASE("A joining member of another cluster is refused and is told so")
{
    Driver driver;
    driver.lead();
    driver.receive(7, JoinRequest{}, ClusterId{9}, 0);
    CHECK(driver.sent<JoinReply>().at(0).status == JoinStatus::ForeignCluster);
    CHECK(driver.node.log().membership().size() == 3);
    driver.receive(7, JoinRequest{}, ClusterId{}, 0);
    CHECK(driver.sent<JoinReply>().at(0).status == JoinStatus::Accepted);
    CHECK_FALSE(driver.node.log().membership().at(7).isVoter);

    Driver joining;
    joining.receive(2, JoinReply{JoinStatus::ForeignCluster, {}}, ClusterId{9});
    CHECK(joining.hasAction<JoinRejected>());
}

// Guards against a learner that waits forever because the entry that admitted it was lost with its leader.
TEST_CASE("A learner that hears from no leader asks for admission again")
{
    RaftSettings settings;
    settings.joinAddresses = {addressOf(2)};
    Driver driver{members({2, 3}, {1}), {}, settings};
    driver.tickUntil(2400ms);
    CHECK(driver.sent<JoinRequest>().empty());
    driver.tickUntil(2450ms);
    CHECK(driver.sent<JoinRequest>().size() == 1);
}

// Guards against a transfer to a member that cannot win, and against an acknowledged write behind its back.
TEST_CASE("A transfer waits for its target, refuses proposals and ends the lease")
{
    Driver driver;
    driver.lead();
    driver.handle(Propose{1, "x"});
    driver.handle(TransferLeadership{2, 3});
    CHECK(driver.sent<TimeoutNow>().empty());
    CHECK(driver.request(Propose{3, "y"}) == RequestErrorKind::TransferInProgress);
    CHECK(driver.node.hasLease(Driver::at(2s)));
    driver.acknowledge(3);
    CHECK(driver.sent<TimeoutNow>().size() == 1);
    CHECK_FALSE(driver.node.hasLease(Driver::at(2s)));
    driver.now = 2600ms;
    driver.handle(Tick{});
    CHECK(driver.error() == RequestErrorKind::TransferFailed);
    CHECK(driver.node.role() == RaftRole::Follower);
}

// Guards against a late TimeoutNow that deposes a later leader.
TEST_CASE("TimeoutNow counts only from the leader of the current term")
{
    Driver driver;
    driver.receive(2, AppendRequest{5, 1, 1, 0, {}, {}});
    driver.receive(2, TimeoutNow{4});
    CHECK(driver.sent<VoteRequest>().empty());
    driver.receive(3, TimeoutNow{5});
    CHECK(driver.sent<VoteRequest>().empty());
    driver.receive(2, TimeoutNow{5});
    REQUIRE(driver.sent<VoteRequest>().size() == 2);
    CHECK(driver.sent<VoteRequest>()[0].isTransfer);
}
