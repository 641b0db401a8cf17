#include "gateway/clock.h"
#include "modelrequest.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace eelgrasslift;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Longer than any of these tests lasts, also when half of it has passed.
constexpr Duration LongPause = 120s;
constexpr Duration ShortFreeze = LongPause / 2;
constexpr Duration LongFreeze = LongPause + 1s;

constexpr int LaterRequests = 4;

struct RequestKind
{
    const char *name;
    std::string path;
    /// First character of the ids of the service's runners.
    std::string service;
    /// A runner breaks off after the first event, and the request continues at another one.
    bool isContinuation = false;

    bool isStream() const { return this->path != "/safe/a" && this->path != "/unsafe/a"; }
};

const auto RequestKinds = {
        RequestKind{"safe", "/safe/a", "p"},
        RequestKind{"unsafe", "/unsafe/a", "p"},
        RequestKind{"resumable stream", "/stream/a", "p"},
        RequestKind{"resumable generation", "/resumable/a", "m"},
        RequestKind{"generation", "/generation/a", "m"},
        RequestKind{"generation with backup", "/backed/a", "b"},
        RequestKind{"continuation of a resumable stream", "/stream/a", "p", true},
        RequestKind{"continuation of a resumable generation", "/resumable/a", "m", true},
        RequestKind{"continuation from a backup", "/backed/a", "b", true},
};

/// What a runner states in an answer.
struct Statement
{
    const char *name;
    bool isLeaving;
    bool isPausing;
};

const auto Statements = {
        Statement{"leaving", true, false},
        Statement{"pause", false, true},
        Statement{"leaving and pause", true, true},
};

struct Situation
{
    const char *name;
    /// A coordinator that has not heard of the answer places generations at the runner; otherwise none can be
    /// reached.
    bool isInTouch = true;
    bool isDraining = false;
    /// Time that the gateway has not run since the answer; 0: it was not frozen.
    Duration freeze{};
    /// The runner is replaced by another one at its address, which is listed instead.
    bool isReplaced = false;
};

const auto Situations = {
        Situation{"in touch"},
        Situation{"cut off", false},
        Situation{"draining", true, true},
        Situation{"frozen for a part of the pause", true, false, ShortFreeze},
        Situation{"frozen beyond the pause", true, false, LongFreeze},
        Situation{"address used again", true, false, 0s, true},
};

std::string streamHead(const std::string &fields)
{
    return "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n";
}

/// A coordinator that places generations at one runner, if any, whatever the gateway excludes.
class StubbornScheduler : public FleetScheduler
{
public:
    explicit StubbornScheduler(const std::string &runner)
        : runnerId(runner)
    {}

    asio::awaitable<std::optional<PlacementResult>> place(FleetPlacementRequest) override
    {
        co_return this->runnerId.empty() ? std::nullopt
                                         : std::optional(PlacementResult{this->runnerId, std::nullopt});
    }
    asio::awaitable<std::optional<TransferPermit>> requestTransfer(TransferRequest) override
    {
        co_return std::nullopt;
    }
    void finishTransfer(uint64_t) override {}

private:
    const std::string &runnerId;
};

/// A gateway to which one of two runners makes a statement.
class MatrixCell
{
public:
    MatrixCell(const RequestKind &requestKind, const Statement &statement, const Situation &situation)
        : kind(requestKind)
        , statement(statement)
        , situation(situation)
        , fixture([this](tcp::socket &connection, int, std::string head) {
            return this->respond(connection, std::move(head));
        })
        , scheduler(this->statedBy)
    {
        if (situation.isInTouch)
            this->fixture.gateway.fleetScheduler = &this->scheduler;
        this->fixture.gateway.isDraining = situation.isDraining;
        if (situation.isDraining)
            this->fixture.gateway.shutdown = ShutdownTimes{steadyNow() + 3s, steadyNow() + 10s};
    }

    /// Whether the runner gets nothing more.
    bool isBlocked() const { return this->statement.isLeaving || this->situation.freeze < LongPause; }

    /// Lets a runner make the statement, before the freeze if there is one.
    void state()
    {
        RunnerPool &pool = this->fixture.gateway.runners;
        if (this->situation.freeze == 0s) {
            const CallerView view = this->call();
            CHECK(view.status == 200);
            CHECK(view.isComplete == (!this->kind.isContinuation || !this->statement.isPausing));
        } else {
            this->statedBy = this->kind.service + "1";
            const TimePoint answeredAt = steadyNow() - this->situation.freeze;
            if (this->statement.isLeaving)
                pool.recordLeavingAnswer(this->statedEntry(), AnswerSender::Expected);
            if (this->statement.isPausing)
                pool.recordPause(*pool.find(this->statedBy), LongPause, 1, answeredAt,
                                 this->fixture.gateway.random);
            // A list that was sent before.
            this->fixture.gateway.applyFleet(this->fixture.runners);
        }
        REQUIRE_FALSE(this->statedBy.empty());
        CHECK(pool.listedLeaving().size() == (this->statement.isLeaving ? 1 : 0));
        CHECK(pool.find(this->statedBy)->failureRate == 0);
        this->arrivals.clear();
        this->backupCount = 0;
    }

    CallerView call()
    {
        return this->fixture.call(this->kind.path, "id-" + std::to_string(++this->callCount));
    }

    void list(std::vector<RunnerEntry> entries) { this->fixture.gateway.applyFleet(entries); }

    const RunnerEntry &statedEntry() const { return this->entry(this->statedBy); }
    /// The other runner of the same service.
    const RunnerEntry &otherEntry() const
    {
        return this->entry(this->kind.service + (this->statedBy.ends_with("1") ? "2" : "1"));
    }

    auto countArrivals(const std::string &id) const { return std::ranges::count(this->arrivals, id); }

    int backupCount = 0;

private:
    const RunnerEntry &entry(const std::string &id) const
    {
        return *std::ranges::find(this->fixture.runners, id, &RunnerEntry::id);
    }

    asio::awaitable<void> respond(tcp::socket &connection, std::string head)
    {
        const std::string id = valueOf(head, "X-Expect-Instance");
        this->arrivals.push_back(id);
        this->backupCount += valueOf(head, "X-Kv-Backup").empty() ? 0 : 1;
        const bool isContinued = !valueOf(head, "Last-Event-Id").empty();
        if (this->kind.isContinuation && !isContinued) {
            co_await sendBytes(connection, streamHead({}) + "d\r\nid: 1\ndata:\n\n\r\n");
            connection.close();
            co_return;
        }
        const bool isStatement = this->statedBy.empty();
        if (isStatement)
            this->statedBy = id;
        co_await sendBytes(connection, this->answer(isStatement, isContinued ? 2 : 1));
    }

    std::string answer(bool isStatement, int eventId) const
    {
        const std::string leaving =
                isStatement && this->statement.isLeaving ? "Server-Leaving: 1\r\n" : std::string{};
        if (isStatement && this->statement.isPausing)
            return "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nRetry-After: " +
                   std::to_string(toSeconds(LongPause)) + "\r\n" + leaving + "Content-Length: 0\r\n\r\n";
        if (!this->kind.isStream())
            return "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n" + leaving + "Content-Length: 2\r\n\r\nok";
        return streamHead(leaving) + "d\r\nid: " + std::to_string(eventId) + "\ndata:\n\n\r\n0\r\n\r\n";
    }

    RequestKind kind;
    Statement statement;
    Situation situation;
    std::string statedBy;
    /// Ids of the runners in the order in which their requests arrived.
    std::vector<std::string> arrivals;
    int callCount = 0;
    GatewayFixture fixture;
    StubbornScheduler scheduler;
};

} // namespace

// Guards against requests of any kind that reach a runner after it has stated that it is leaving or wants a
// pause, in each situation of the gateway, and against a successor that gets none.
TEST_CASE("A runner's statement holds for each kind of request in each situation", "[hostile][matrix]")
{
    const auto kind = GENERATE(values<RequestKind>(RequestKinds));
    const auto statement = GENERATE(values<Statement>(Statements));
    const auto situation = GENERATE(values<Situation>(Situations));
    INFO(kind.name << ", " << statement.name << ", " << situation.name);
    MatrixCell cell(kind, statement, situation);
    cell.state();
    const RunnerEntry stated = cell.statedEntry();
    RunnerEntry successor = stated;
    successor.id += "b";
    successor.startedAtMs = 9;
    if (situation.isReplaced && kind.isContinuation)
        cell.list({successor, cell.otherEntry()});
    else if (situation.isReplaced)
        cell.list({successor});
    const bool hasTwoRunners = situation.isReplaced || !cell.isBlocked();
    for (int i = 0; i < LaterRequests; ++i) {
        const CallerView view = cell.call();
        CHECK(view.status == 200);
        CHECK(view.isComplete == (!kind.isContinuation || hasTwoRunners));
    }
    if (cell.isBlocked()) {
        CHECK(cell.countArrivals(stated.id) == 0);
        if (!situation.isReplaced)
            CHECK(cell.backupCount == 0);
    }
    if (situation.isReplaced)
        CHECK(cell.countArrivals(successor.id) >= LaterRequests);

    cell.list({stated});
    const CallerView alone = cell.call();
    CHECK(alone.status == (cell.isBlocked() ? 503 : 200));
    CHECK((alone.retryAfter > 0) == cell.isBlocked());
    // The runner's own time, unless it never comes back.
    if (alone.status == 503 && !statement.isLeaving)
        CHECK(alone.retryAfter > toSeconds(LongPause) / 3);
    successor.id = stated.id;
    cell.list({successor});
    CHECK(cell.call().status == 200);
}
