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

/// Runs member 1 with given events and times. Checks in every list of actions that what was stored is synced
/// before a message, an applied command or a successful answer depends on it.
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
            // A successful answer requires that the entry is synced, an error does not.
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

    /// Error of the first failed answer in the last actions, if any.
    std::optional<RequestErrorKind> error() const
    {
        for (const Action &action : this->actions) {
            if (const auto *answer = std::get_if<Answer>(&action);
                answer != nullptr && std::holds_alternative<RequestError>(answer->result))
                return std::get<RequestError>(answer->result).kind;
        }
        return std::nullopt;
    }

    /// Handles a request event and returns its error; std::nullopt if it succeeded or is not answered yet.
    std::optional<RequestErrorKind> requestError(Event event)
    {
        this->handle(std::move(event));
        return this->error();
    }

    /// Makes the node the leader at 2 s. Its no-op entry is not committed yet.
    void winElection()
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

    /// Acknowledges the whole log as of now.
    void acknowledge(MemberId from) { this->acknowledge(from, this->node.log().lastIndex(), at(this->now)); }

    void acknowledge(MemberId from, LogIndex match, TimePoint sentAt)
    {
        this->receive(from, AppendReply{this->node.term(), true, match, 0, sentAt});
    }

    /// Makes the node the leader at 2 s and commits its no-op entry.
    void winElectionAndCommit()
    {
        this->winElection();
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

// Guards against the election of a second leader during the lease of the first.
TEST_CASE("A voter rejects other candidates for one election timeout after a heartbeat or its own start")
{
    const bool isRestart = GENERATE(true, false);
    Driver driver;
    Duration lastContact{0};
    if (!isRestart) {
        driver.tickUntil(500ms);
        driver.receive(2, AppendRequest{2, 1, 1, 0, {}, {}});
        lastContact = 500ms;
    }
    driver.now = lastContact + 599ms;
    CHECK_FALSE(grantsPreVote(driver, 3, preVote(3)));
    CHECK_FALSE(grantsVote(driver, 3, vote(3)));
    CHECK(driver.node.term() == 2);
    driver.now = lastContact + 600ms;
    CHECK(grantsPreVote(driver, 3, preVote(3)));
    CHECK(grantsVote(driver, 3, vote(3)));
}

// Guards against an isolated member that raises its term and deposes a working leader when it returns.
TEST_CASE("A member without a majority requests pre-votes and keeps its term")
{
    Driver driver;
    driver.tickUntil(10s);
    CHECK(driver.node.role() == RaftRole::PreCandidate);
    CHECK(driver.node.term() == 2);
}

// Guards against votes of learners, and against an election that fails because a promoted learner has not
// received its promotion yet.
TEST_CASE("A learner votes only for a candidate with a later membership")
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

// Guards against a leader that was elected by members without a vote.
TEST_CASE("Votes of learners and of non-members do not count")
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
TEST_CASE("A candidate needs a log that is at least as up to date")
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

// Guards against two leaders in one term.
TEST_CASE("A voter votes once per term and stores the vote before it replies")
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

// Guards against a lease that lasts longer than the voters reject other candidates, because of message delay
// or different clock rates.
TEST_CASE("The lease lasts 450 ms from the send time of the heartbeat that a majority acknowledged")
{
    Driver driver;
    driver.winElection();
    CHECK_FALSE(driver.node.hasLease(Driver::at(2s)));
    CHECK(driver.requestError(Propose{1, "x"}) == RequestErrorKind::NoLease);
    const TimePoint sentAt = Driver::at(2s);
    driver.now = 2300ms;
    driver.acknowledge(2, driver.node.log().lastIndex(), sentAt);
    CHECK(driver.node.hasLease(sentAt + 449ms));
    CHECK_FALSE(driver.node.hasLease(sentAt + 450ms));
    driver.now = 2449ms;
    CHECK_FALSE(driver.requestError(Propose{2, "x"}).has_value());
    CHECK_FALSE(driver.requestError(ConfirmLeadership{3}).has_value());
    driver.now = 2450ms;
    CHECK(driver.requestError(Propose{4, "x"}) == RequestErrorKind::NoLease);
    CHECK(driver.requestError(ConfirmLeadership{5}) == RequestErrorKind::NoLease);
}

// Guards against callers that wait for an isolated leader, and against reporting a proposal as failed
// although its entry may still be committed.
TEST_CASE("A leader without replies steps down and reports the outcome of pending proposals as unknown")
{
    Driver driver;
    driver.winElectionAndCommit();
    driver.handle(Propose{1, "x"});
    driver.tickUntil(3250ms);
    CHECK(driver.node.role() != RaftRole::Leader);
    Driver other;
    other.winElectionAndCommit();
    other.handle(Propose{1, "x"});
    other.receive(2, AppendReply{9, false, 0, 1, {}});
    CHECK(other.error() == RequestErrorKind::OutcomeUnknown);
}

// Guards against an entry of an earlier term that is treated as committed and then replaced.
TEST_CASE("A leader commits entries of earlier terms only with an entry of its own term")
{
    Driver driver{members({1, 2, 3}), {2}};
    driver.winElection();
    REQUIRE(driver.node.log().lastIndex() == 3);
    driver.acknowledge(2, 2, Driver::at(2s));
    CHECK(driver.node.commitIndex() == 0);
    CHECK(driver.requestError(ConfirmLeadership{1}) == RequestErrorKind::NotReady);
    CHECK(driver.requestError(ChangeMembership{2, AddLearner{4, addressOf(4)}}) ==
          RequestErrorKind::ChangeInProgress);
    driver.acknowledge(2, 3, Driver::at(2s));
    CHECK(driver.node.commitIndex() == 3);
    CHECK_FALSE(driver.requestError(ConfirmLeadership{3}).has_value());
}

// Guards against a membership change while one of an earlier leader is uncommitted in the logs of other
// members.
TEST_CASE("A new leader changes the membership only after it has committed an entry of its term")
{
    Driver driver{members({1, 2, 3}), {2}};
    driver.receive(2, AppendRequest{2, 2, 2, 2, {}, {}});
    driver.winElection();
    REQUIRE(driver.node.commitIndex() == 2);
    driver.acknowledge(2, 2, Driver::at(2s));
    const ChangeMembership change{1, AddLearner{4, addressOf(4)}};
    CHECK(driver.requestError(change) == RequestErrorKind::ChangeInProgress);
    driver.acknowledge(2);
    CHECK_FALSE(driver.requestError(change).has_value());
}

// Guards against an answer before the entry is synced on the only disk. Driver checks the order.
TEST_CASE("A single voter commits after its own sync")
{
    Driver driver{members({1})};
    driver.tickUntil(2s);
    REQUIRE(driver.node.role() == RaftRole::Leader);
    driver.handle(Propose{1, "x"});
    CHECK(driver.hasAction<Apply>());
    CHECK(driver.hasAction<Answer>());
}

// Guards against a follower that applies entries before they are synced on its own disk. Driver checks the
// order.
TEST_CASE("A follower syncs entries before it applies or acknowledges them")
{
    Driver driver;
    driver.receive(2, AppendRequest{2, 1, 1, 2, {}, {LogEntry{2, 2, EntryKind::Command, "x"}}});
    CHECK(driver.hasAction<Apply>());
    CHECK(driver.sent<AppendReply>().at(0).matchIndex == 2);
}

// Guards against membership changes whose majorities do not overlap, and against changes that leave the
// cluster without a live majority.
TEST_CASE("Membership changes are checked one at a time")
{
    using enum RequestErrorKind;
    Driver driver{members({1, 2, 3}, {4})};
    driver.winElectionAndCommit();
    CHECK(driver.requestError(ChangeMembership{1, RemoveMember{1}}) == IsLeader);
    CHECK(driver.requestError(ChangeMembership{1, RemoveMember{9}}) == UnknownMember);
    CHECK(driver.requestError(ChangeMembership{1, AddLearner{2, "x"}}) == AlreadyMember);
    CHECK_FALSE(driver.requestError(ChangeMembership{1, AddLearner{5, addressOf(5)}}).has_value());
    CHECK(driver.requestError(ChangeMembership{2, AddLearner{6, addressOf(6)}}) == ChangeInProgress);
    driver.acknowledge(2);
    CHECK_FALSE(driver.requestError(ChangeMembership{2, AddLearner{6, addressOf(6)}}).has_value());
    driver.acknowledge(2);

    // Member 3 stops replying: without member 2, one of two voters would be live.
    for (int i = 0; i < 7; ++i) {
        driver.now += 100ms;
        driver.acknowledge(2);
    }
    CHECK(driver.requestError(ChangeMembership{3, RemoveMember{2}}) == WouldLoseMajority);
    CHECK_FALSE(driver.requestError(ChangeMembership{3, RemoveMember{3}}).has_value());
}

// Guards against a repair that is reported as complete although the new member lacks committed entries or is
// not live.
TEST_CASE("A learner is promoted only when it has caught up and is live")
{
    using enum RequestErrorKind;
    Driver driver{members({1, 2, 3}, {4})};
    driver.winElection();
    driver.acknowledge(2);
    driver.acknowledge(4, 0, Driver::at(2s));
    CHECK(driver.requestError(ChangeMembership{1, PromoteLearner{4}}) == NotCaughtUp);
    driver.acknowledge(4);
    driver.handle(Propose{2, "x"});
    for (int i = 0; i < 7; ++i) {
        driver.now += 100ms;
        driver.acknowledge(2);
    }
    CHECK(driver.requestError(ChangeMembership{3, PromoteLearner{4}}) == NotCaughtUp);
    // The missing replies made the catch-up round too long; the next round is short.
    driver.acknowledge(4);
    driver.acknowledge(4);
    CHECK_FALSE(driver.requestError(ChangeMembership{3, PromoteLearner{4}}).has_value());
    CHECK(driver.node.log().membership().at(4).isVoter);
}

// Guards against more voters than maxVoters.
TEST_CASE("An eighth voter is rejected")
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
    CHECK(driver.requestError(ChangeMembership{1, PromoteLearner{8}}) == RequestErrorKind::TooManyVoters);
}

// Guards against a member that processes messages for another cluster, or for another member id at its
// address.
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

// Guards against a member of another cluster that is admitted with the entries of that cluster.
TEST_CASE("A join request from a member of another cluster is rejected")
{
    Driver driver;
    driver.winElectionAndCommit();
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

// Guards against a learner that never catches up because the entry that added it was lost with its leader.
TEST_CASE("A learner without leader contact sends another join request")
{
    RaftSettings settings;
    settings.joinAddresses = {addressOf(2)};
    Driver driver{members({2, 3}, {1}), {}, settings};
    driver.tickUntil(2400ms);
    CHECK(driver.sent<JoinRequest>().empty());
    driver.tickUntil(2450ms);
    CHECK(driver.sent<JoinRequest>().size() == 1);
}

// Guards against a leadership transfer to a member that cannot win the election, and against proposals that
// the old leader accepts after the target may have been elected.
TEST_CASE("A leadership transfer waits for its target and rejects proposals and releases the lease")
{
    Driver driver;
    driver.winElectionAndCommit();
    driver.handle(Propose{1, "x"});
    driver.handle(TransferLeadership{2, 3});
    CHECK(driver.sent<TimeoutNow>().empty());
    CHECK(driver.requestError(Propose{3, "y"}) == RequestErrorKind::TransferInProgress);
    CHECK(driver.node.hasLease(Driver::at(2s)));
    driver.acknowledge(3);
    CHECK(driver.sent<TimeoutNow>().size() == 1);
    CHECK_FALSE(driver.node.hasLease(Driver::at(2s)));
    driver.now = 2600ms;
    driver.handle(Tick{});
    CHECK(driver.error() == RequestErrorKind::TransferFailed);
    CHECK(driver.node.role() == RaftRole::Follower);
}

// Guards against a delayed TimeoutNow that deposes a later leader.
TEST_CASE("TimeoutNow is accepted only from the leader of the current term")
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
