#include "modelrequest.h"

#include "gateway/fleetreader.h"
#include "gateway/generationscheduler.h"
#include "gateway/task.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <algorithm>

using namespace eelgrasslift;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

const std::string Leaving = "Server-Leaving: 1\r\n";
const std::string Sealed = "X-Server-Seal: s\r\n";
const std::string EventBody = "Transfer-Encoding: chunked\r\n\r\n"
                              "b\r\nid: 1\ndata:\r\n2\r\n\n\n\r\n0\r\n\r\n";

/// A request that was sent to a runner.
struct SentRequest
{
    std::string runnerId;
    std::string backupAddress;
    std::string continueFrom;
    bool isCopy = false;
};

/// Two runners for each service, each at an address of its own; the one with number 1 is `first`.
class TwoRunners
{
public:
    using Respond = std::function<asio::awaitable<void>(tcp::socket &connection, const SentRequest &request,
                                                        size_t number)>;

    explicit TwoRunners(Respond respondTo)
        : respond(std::move(respondTo))
        , fixture([this](tcp::socket &connection, int, std::string head) {
            return this->handle(connection, std::move(head));
        })
        , second(this->fixture.io, [this](tcp::socket &connection, int, std::string head) {
            return this->handle(connection, std::move(head));
        })
    {
        for (RunnerEntry &entry : this->fixture.runners) {
            entry.startedAtMs = 5;
            if (entry.id.ends_with("2"))
                entry.address = this->second.address();
        }
        this->fixture.gateway.applyFleet(this->fixture.runners);
    }

    const RunnerEntry &entry(std::string_view id)
    {
        return *std::ranges::find(this->fixture.runners, id, &RunnerEntry::id);
    }

    /// The other runner of the same service.
    const RunnerEntry &otherThan(const std::string &id)
    {
        return this->entry(id.substr(0, 1) + (id.ends_with("1") ? "2" : "1"));
    }

    /// Lists only this runner, as serving.
    void listOnly(const std::string &id) { this->fixture.gateway.applyFleet(std::vector{this->entry(id)}); }

    void stateLeaving(const RunnerEntry &runner)
    {
        ResponseMetadata metadata;
        metadata.isRunnerLeaving = true;
        this->fixture.gateway.recordAnswer(runner, 200, metadata, "other-request");
    }

    /// Handles events until a request has chosen its runner; nothing was sent to it by then.
    std::string runUntilChosen()
    {
        std::string chosen;
        this->fixture.runUntil([&] {
            for (const RunnerEntry &runner : this->fixture.runners) {
                if (this->fixture.gateway.runners.find(runner.id)->ownLoad.activeRequests > 0)
                    chosen = runner.id;
            }
            return !chosen.empty();
        });
        REQUIRE(this->sent.empty());
        return chosen;
    }

    size_t countSentTo(const std::string &id) const
    {
        return static_cast<size_t>(std::ranges::count(this->sent, id, &SentRequest::runnerId));
    }

private:
    asio::awaitable<void> handle(tcp::socket &connection, std::string head)
    {
        SentRequest request{valueOf(head, "X-Expect-Instance"), valueOf(head, "X-Kv-Backup"),
                            valueOf(head, "Kv-From"), head.starts_with("POST /v1/kv-move")};
        this->sent.push_back(request);
        co_await this->respond(connection, request, this->sent.size());
    }

    Respond respond;

public:
    std::vector<SentRequest> sent;
    GatewayFixture fixture;
    ScriptedRunner second;
};

/// Stands in for a coordinator with an outdated list, which chooses the same runners again and again.
class OutdatedScheduler : public FleetScheduler
{
public:
    explicit OutdatedScheduler(std::string runner, std::string copyDestination = {})
        : runnerId(std::move(runner))
        , destinationId(std::move(copyDestination))
    {}

    asio::awaitable<std::optional<PlacementResult>> place(FleetPlacementRequest) override
    {
        ++this->placementCount;
        co_return PlacementResult{this->runnerId, std::nullopt};
    }
    asio::awaitable<std::optional<TransferPermit>> requestTransfer(TransferRequest) override
    {
        co_return TransferPermit{1, this->destinationId};
    }
    void finishTransfer(uint64_t) override {}

    std::string runnerId;
    std::string destinationId;
    int placementCount = 0;
};

std::string answerBody(bool isStream)
{
    return Sealed + (isStream ? EventBody : "Content-Length: 1\r\n\r\na");
}

asio::awaitable<void> sendAnswer(tcp::socket &connection, bool isStream)
{
    co_await sendBytes(connection, "HTTP/1.1 200 OK\r\n" + answerBody(isStream));
}

struct AnswerCase
{
    const char *name;
    /// Without the body; %L stands for the header, and %B for the seal and a whole body.
    std::string answer;
    /// The runner breaks off after the answer.
    bool isBroken = false;
    /// The answer states that the runner is leaving.
    bool isLeaving = true;
};

const std::vector<AnswerCase> AnswerCases{
        {"success", "HTTP/1.1 200 OK\r\n%L%B"},
        {"error", "HTTP/1.1 500 Error\r\n%LContent-Length: 0\r\n\r\n"},
        {"refusal", "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n%LContent-Length: 0\r\n\r\n"},
        {"other runner", "HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\n%LContent-Length: 0\r\n\r\n"},
        {"after an interim head", "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\n%L%B"},
        {"interim head", "HTTP/1.1 103 Hints\r\n%L\r\nHTTP/1.1 200 OK\r\n%B"},
        {"head only", "HTTP/1.1 200 OK\r\n%LX-Server-Seal: s\r\nContent-Length: 5\r\n\r\na", true},
        {"answer to another request", "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-0\r\n%LContent-Length: 0\r\n\r\n",
         true},
        {"twice", "HTTP/1.1 200 OK\r\n%L%L%B"},
        {"other value", "HTTP/1.1 200 OK\r\nServer-Leaving: 0\r\n%B", false, false},
        {"no header", "HTTP/1.1 200 OK\r\n%B", false, false},
};

std::string filled(std::string answer, bool isStream)
{
    const std::pair<std::string, std::string> parts[] = {{"%L", Leaving}, {"%B", answerBody(isStream)}};
    for (const auto &[mark, text] : parts) {
        for (size_t at = answer.find(mark); at != std::string::npos; at = answer.find(mark))
            answer.replace(at, mark.size(), text);
    }
    return answer;
}

} // namespace

// Guards against new work for a runner that has stated in an answer that it is leaving, also after a newer
// list with that runner alone, and against requests that wait although all runners are leaving.
TEST_CASE("A runner whose answer states that it is leaving gets no further request", "[hostile]")
{
    const std::string path = GENERATE("/safe/a", "/unsafe/a", "/stream/a", "/generation/a", "/backed/a");
    const auto test = GENERATE(from_range(AnswerCases));
    INFO(path << ", " << test.name);
    const bool isStream = path != "/safe/a" && path != "/unsafe/a";
    TwoRunners runners(
            [&](tcp::socket &connection, const SentRequest &, size_t number) -> asio::awaitable<void> {
                if (number > 1) {
                    co_await sendAnswer(connection, isStream);
                    co_return;
                }
                co_await sendBytes(connection, filled(test.answer, isStream));
                if (test.isBroken)
                    connection.close();
            });
    const CallerView first = runners.fixture.call(path, "id-1");
    REQUIRE_FALSE(runners.sent.empty());
    const std::string leavingId = runners.sent.front().runnerId;
    // The answer is passed on with its header.
    if (std::string_view(test.name) == "success")
        CHECK(first.header["Server-Leaving"] == "1");
    for (const char *id : {"id-2", "id-3"}) {
        CHECK(runners.fixture.call(path, id).status == 200);
        if (test.isLeaving) {
            CHECK(runners.countSentTo(leavingId) == 1);
            CHECK(runners.sent.back().backupAddress != runners.entry(leavingId).address);
        }
    }
    runners.listOnly(leavingId);
    const CallerView last = runners.fixture.call(path, "id-4");
    if (!test.isLeaving) {
        CHECK(last.status == 200);
        return;
    }
    CHECK(runners.countSentTo(leavingId) == 1);
    CHECK(last.status == 503);
    CHECK(last.header.count(http::field::retry_after) == 1);
    RunnerEntry restarted = runners.entry(leavingId);
    restarted.startedAtMs = 6;
    runners.fixture.gateway.applyFleet(std::vector{restarted});
    CHECK(runners.fixture.call(path, "id-5").status == 200);
}

// Guards against requests that reach a leaving runner under the ids of earlier runners at its address.
TEST_CASE("A leaving runner that is not the expected one gets no request under another id", "[hostile]")
{
    const std::string path = GENERATE("/safe/a", "/unsafe/a", "/stream/a", "/generation/a", "/backed/a");
    INFO(path);
    GatewayFixture fixture([](tcp::socket &connection, int, std::string) -> asio::awaitable<void> {
        co_await sendBytes(connection, "HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\n" + Leaving +
                                               "Content-Length: 0\r\n\r\n");
    });
    CHECK(fixture.call(path, "id-1").status == 503);
    CHECK(fixture.runner.requestCount() == 1);
}

// Guards against a request that has chosen its runner, and is sent to it although the runner has stated in
// the meantime that it is leaving.
TEST_CASE("A request that waits for its connection turns to another runner", "[hostile]")
{
    const std::string path = GENERATE("/safe/a", "/unsafe/a", "/stream/a", "/generation/a", "/backed/a");
    INFO(path);
    const bool isStream = path != "/safe/a" && path != "/unsafe/a";
    TwoRunners runners([&](tcp::socket &connection, const SentRequest &, size_t) {
        return sendAnswer(connection, isStream);
    });
    std::optional<CallerView> view;
    runners.fixture.start(path, "id-1", [&](const CallerView &result) { view = result; });
    const std::string chosen = runners.runUntilChosen();
    runners.stateLeaving(runners.entry(chosen));
    runners.fixture.runUntil([&] { return view.has_value(); });
    CHECK(view->status == 200);
    CHECK(view->isComplete);
    CHECK(runners.countSentTo(chosen) == 0);
    CHECK(runners.sent.size() == 1);
}

// Guards against a backup that is sent to a runner that has stated in the meantime that it is leaving.
TEST_CASE("A generation that waits for its connection gets no backup at a leaving runner", "[hostile]")
{
    const bool isLeaving = GENERATE(false, true);
    TwoRunners runners([&](tcp::socket &connection, const SentRequest &, size_t) {
        return sendAnswer(connection, true);
    });
    std::optional<CallerView> view;
    runners.fixture.start("/backed/a", "id-1", [&](const CallerView &result) { view = result; });
    const std::string chosen = runners.runUntilChosen();
    if (isLeaving)
        runners.stateLeaving(runners.otherThan(chosen));
    runners.fixture.runUntil([&] { return view.has_value(); });
    REQUIRE(runners.sent.size() == 1);
    CHECK(runners.sent.front().backupAddress.empty() == isLeaving);
}

// Guards against a coordinator that has not heard yet and places generations at a leaving runner.
TEST_CASE("A placement at a leaving runner is not followed", "[hostile]")
{
    const std::string path = GENERATE("/generation/a", "/backed/a");
    const std::string leavingId = path == "/backed/a" ? "b1" : "m1";
    TwoRunners runners([&](tcp::socket &connection, const SentRequest &, size_t) {
        return sendAnswer(connection, true);
    });
    OutdatedScheduler scheduler(leavingId);
    runners.fixture.gateway.fleetScheduler = &scheduler;
    runners.stateLeaving(runners.entry(leavingId));
    CHECK(runners.fixture.call(path, "id-1").status == 200);
    CHECK(scheduler.placementCount == 1);
    CHECK(runners.countSentTo(leavingId) == 0);
}

// Guards against requests that wait for memory until their objective has passed while no runner will be
// usable.
TEST_CASE("A generation is refused at once if all runners of its service are leaving", "[hostile]")
{
    const std::string path = GENERATE("/generation/a", "/backed/a");
    TwoRunners runners([&](tcp::socket &connection, const SentRequest &, size_t) {
        return sendAnswer(connection, true);
    });
    OutdatedScheduler scheduler("");
    runners.fixture.gateway.fleetScheduler = &scheduler;
    for (const RunnerEntry &entry : runners.fixture.runners)
        runners.stateLeaving(entry);
    const CallerView view = runners.fixture.call(path, "id-1");
    CHECK(view.status == 503);
    CHECK(view.header.count(http::field::retry_after) == 1);
    CHECK(scheduler.placementCount == 1);
    CHECK(runners.sent.empty());
}

// Guards against a stream that is cut because its runner has stated that it is leaving.
TEST_CASE("A stream goes on at its runner after a head that states that it is leaving", "[hostile]")
{
    const std::string path = GENERATE("/stream/a", "/generation/a", "/backed/a");
    INFO(path);
    constexpr int EventCount = 20;
    std::string events;
    TwoRunners runners([&](tcp::socket &connection, const SentRequest &request,
                           size_t) -> asio::awaitable<void> {
        if (request.isCopy || !request.continueFrom.empty()) {
            co_await sendBytes(connection,
                               "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            co_return;
        }
        co_await sendBytes(connection,
                           "HTTP/1.1 200 OK\r\n" + Leaving + Sealed + "Transfer-Encoding: chunked\r\n\r\n");
        asio::steady_timer pause(runners.fixture.io);
        for (int id = 10; id < 10 + EventCount; ++id) {
            const std::string event = "id: " + std::to_string(id) + "\ndata:\n\n";
            events += event;
            co_await sendBytes(connection, "e\r\n" + event + "\r\n");
            pause.expires_after(20ms);
            co_await pause.async_wait(asio::use_awaitable);
        }
        co_await sendBytes(connection, "0\r\n\r\n");
    });
    const CallerView view = runners.fixture.call(path, "id-1");
    CHECK(view.status == 200);
    CHECK(view.isComplete);
    CHECK(view.body == events);
    CHECK(view.header["Server-Leaving"] == "1");
}

// Guards against a continuation at a runner that has stated that it is leaving, after the first one broke
// off.
TEST_CASE("An interrupted stream does not continue at a leaving runner", "[hostile]")
{
    const std::string path = GENERATE("/stream/a", "/backed/a");
    const bool isLeaving = GENERATE(false, true);
    INFO(path << ", other runner leaving: " << isLeaving);
    TwoRunners runners(
            [&](tcp::socket &connection, const SentRequest &request, size_t number) -> asio::awaitable<void> {
                if (number > 1) {
                    co_await sendAnswer(connection, true);
                    co_return;
                }
                co_await sendBytes(connection, "HTTP/1.1 200 OK\r\n" + Sealed +
                                                       "Transfer-Encoding: chunked\r\n\r\n"
                                                       "d\r\nid: 0\ndata:\n\n\r\n");
                asio::steady_timer pause(runners.fixture.io, 50ms);
                co_await pause.async_wait(asio::use_awaitable);
                if (isLeaving)
                    runners.stateLeaving(runners.otherThan(request.runnerId));
                connection.close();
            });
    const CallerView view = runners.fixture.call(path, "id-1");
    CHECK(view.isComplete != isLeaving);
    CHECK(runners.sent.size() == (isLeaving ? 1 : 2));
}

// Guards against a KV cache that is copied to a runner that has stated that it is leaving, by the permit of a
// coordinator that has not heard yet.
TEST_CASE("A generation is not copied to a leaving runner", "[hostile]")
{
    const bool isLeaving = GENERATE(false, true);
    size_t copyCount = 0;
    TwoRunners runners(
            [&](tcp::socket &connection, const SentRequest &request, size_t) -> asio::awaitable<void> {
                if (request.isCopy) {
                    ++copyCount;
                    co_await sendBytes(connection, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
                    co_return;
                }
                co_await sendBytes(connection, "HTTP/1.1 200 OK\r\n" + Sealed +
                                                       "Transfer-Encoding: chunked\r\n\r\n"
                                                       "d\r\nid: 0\ndata:\n\n\r\n");
                asio::steady_timer pause(runners.fixture.io, 20ms);
                co_await pause.async_wait(asio::use_awaitable);
                if (isLeaving)
                    runners.stateLeaving(runners.entry("m2"));
                runners.fixture.announceStop(1500ms);
                pause.expires_after(200ms);
                co_await pause.async_wait(asio::use_awaitable);
                co_await sendBytes(connection, "d\r\nid: 1\ndata:\n\n\r\n0\r\n\r\n");
            });
    OutdatedScheduler scheduler("m1", "m2");
    runners.fixture.gateway.fleetScheduler = &scheduler;
    const CallerView view = runners.fixture.call("/generation/a", "id-1");
    CHECK(view.isComplete);
    CHECK(view.body == "id: 0\ndata:\n\nid: 1\ndata:\n\n");
    CHECK((copyCount > 0) != isLeaving);
}

namespace {

/// Plays the platform's list and one model runner, which answers reports and health checks.
class ListedRunner
{
public:
    explicit ListedRunner(std::string leavingPath)
        : path(std::move(leavingPath))
        , runner(this->io, [this](tcp::socket &connection, int,
                                  std::string head) { return this->respond(connection, std::move(head)); })
        , reader(this->io, this->format, this->connections, this->leavingRunners, this->settings())
    {
        this->reader.setEngineServices({{"m", "/health"}});
        this->reader.onUpdate([this] { ++this->updateCount; });
        this->reader.setActive(true);
    }

    bool isLeaving() const
    {
        return !this->reader.entries().empty() && this->reader.entries().front().isLeaving;
    }

    void runUntil(const std::function<bool()> &condition)
    {
        const auto deadline = std::chrono::steady_clock::now() + 20s;
        while (!condition() && std::chrono::steady_clock::now() < deadline)
            this->io.run_one_for(100ms);
        REQUIRE(condition());
    }

    /// Reads that many further lists.
    void readLists(int count)
    {
        const int target = this->listCount + count;
        this->runUntil([&] { return this->listCount >= target; });
    }

private:
    FleetReaderSettings settings() const
    {
        FleetReaderSettings result{*parseEndpoint(this->runner.address())};
        result.listInterval = 10ms;
        result.reportInterval = 10ms;
        result.healthInterval = 10ms;
        return result;
    }

    asio::awaitable<void> respond(tcp::socket &connection, std::string head)
    {
        std::string body;
        if (head.starts_with("GET /instances")) {
            ++this->listCount;
            body = R"({"instances":[)" +
                   (this->isListed ? R"({"service":"m","address":")" + this->runner.address() +
                                             R"(","zone":"z","version":"v1","slots":64,"state":"ready",)"
                                             R"("cold_left_ms":0,"id":"m1","born":)" +
                                             std::to_string(this->startedAtMs) + "}"
                                   : std::string{}) +
                   R"(],"next":null})";
        } else if (head.starts_with("GET /v1/report")) {
            body = R"({"queue_depth":0,"running":0,"kv_used":0,"kv_total":100})";
        }
        const std::string leaving =
                !this->path.empty() && head.starts_with("GET " + this->path) && this->startedAtMs == 5
                        ? Leaving
                        : "";
        co_await sendBytes(connection, "HTTP/1.1 " + this->status + "\r\n" + leaving + "Content-Length: " +
                                               std::to_string(body.size()) + "\r\n\r\n" + body);
    }

public:
    asio::io_context io{1};
    platform::PlatformFormat format;
    ConnectionPool connections{this->io.get_executor()};
    LeavingRunners leavingRunners;
    std::string path;
    std::string status = "200 OK";
    bool isListed = true;
    int64_t startedAtMs = 5;
    int listCount = 0;
    int updateCount = 0;
    ScriptedRunner runner;
    FleetReader reader;
};

} // namespace

// Guards against a runner that states it in the answers to reports or health checks only, and against lists,
// good reports and good health checks that end it. The process may be a coordinator or a gateway.
TEST_CASE("The answer to a report or a health check states that a runner is leaving", "[hostile]")
{
    const std::string path = GENERATE("/v1/report", "/health");
    INFO(path);
    ListedRunner listed(path);
    listed.runUntil([&] { return listed.isLeaving(); });
    CHECK(listed.updateCount > 0);
    listed.path.clear();
    listed.readLists(3);
    CHECK(listed.isLeaving());
    listed.isListed = false;
    listed.runUntil([&] { return listed.reader.entries().empty(); });
    listed.isListed = true;
    listed.runUntil([&] { return !listed.reader.entries().empty(); });
    CHECK(listed.isLeaving());
    listed.startedAtMs = 6;
    listed.runUntil([&] { return listed.reader.entries().front().startedAtMs == 6; });
    CHECK_FALSE(listed.isLeaving());
}

// Guards against placements at a leaving runner until the next list arrives.
TEST_CASE("A runner whose report or health answer states it counts as leaving before the next list",
          "[hostile]")
{
    const std::string path = GENERATE("/v1/report", "/health");
    INFO(path);
    ListedRunner listed({});
    listed.readLists(2);
    const int updatesBefore = listed.updateCount;
    listed.reader.setListInterval(1h);
    listed.runUntil([&] { return listed.updateCount > updatesBefore; });
    REQUIRE_FALSE(listed.isLeaving());
    listed.path = path;
    listed.runUntil([&] { return listed.isLeaving(); });
}

// Guards against a coordinator that places generations at a runner of which a gateway has heard that it is
// leaving, and against a gateway's old status about an earlier start of the runner.
TEST_CASE("A coordinator takes a runner for leaving by the status of a gateway", "[hostile]")
{
    const auto [startedAtMs, isLeaving] = GENERATE(table<int64_t, bool>({{5, true}, {4, false}}));
    ListedRunner listed({});
    listed.readLists(2);
    REQUIRE_FALSE(listed.isLeaving());
    const int updatesBefore = listed.updateCount;
    const std::vector<RunnerIncarnation> stated{{"m1", listed.runner.address(), startedAtMs}};
    listed.reader.recordLeaving("g1", stated);
    CHECK(listed.isLeaving() == isLeaving);
    CHECK(listed.updateCount == updatesBefore + 1);
    listed.reader.recordLeaving("g2", stated);
    CHECK(listed.updateCount == updatesBefore + 1);
    GenerationScheduler scheduler(listed.io);
    scheduler.setEngines({{"m", EngineTraits{64, 34000, 262144, true, true, 4}}});
    scheduler.setFleet(listed.reader.entries());
    const FleetPlacementRequest request{"g3", "m", "z", GenerationSize{2200, 12, 32}, 0.9, 0.6, {},
                                        0,    0,   0ms};
    std::string placedAt = "none";
    spawnTask(listed.io, "placement", [&]() -> asio::awaitable<void> {
        const HttpResponse response = co_await scheduler.place(encodePlacementRequest(request));
        placedAt = std::get<PlacementResult>(decodePlacementResult(response.body())).runnerId;
    });
    listed.runUntil([&] { return placedAt != "none"; });
    CHECK(placedAt == (isLeaving ? "" : "m1"));
    listed.readLists(3);
    CHECK(listed.isLeaving() == isLeaving);
}
