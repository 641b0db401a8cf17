#include "gateway/clock.h"
#include "gateway/fleetreader.h"
#include "modelrequest.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace eelgrasslift;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

const std::string StreamHead = "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";

// Longer than any of these tests lasts.
constexpr double LongPause = 30;

std::string pauseAnswer(double seconds, bool isPromised = true, const std::string &requestId = {})
{
    return "HTTP/1.1 503 Busy\r\nRetry-After: " + std::to_string(seconds) + "\r\n" +
           (requestId.empty() ? "" : "X-Attempt-Id: " + requestId + "\r\n") +
           (isPromised ? "X-Not-Executed: 1\r\n" : "") + "Content-Length: 0\r\n\r\n";
}

bool isStream(const std::string &path)
{
    return path.starts_with("/stream/") || path.starts_with("/generation/") || path.starts_with("/backed/");
}

std::string success(const std::string &path)
{
    if (isStream(path))
        return StreamHead + chunk(eventsBetween(1, 3)) + "0\r\n\r\n";
    return "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok";
}

/// Ids of the runners in the order in which their requests arrived.
class Arrivals
{
public:
    void add(const std::string &head) { this->ids.push_back(valueOf(head, "X-Expect-Instance")); }
    auto count(const std::string &id) const { return std::ranges::count(this->ids, id); }

    std::vector<std::string> ids;
};

struct RequestKind
{
    const char *name;
    std::string path;
    /// The 503 states that the request has not run.
    bool isPromised;
    /// Status that the caller of the refused request gets.
    unsigned status;
};

const auto RequestKinds = {
        RequestKind{"safe", "/safe/a", true, 200},
        RequestKind{"safe, no promise", "/safe/a", false, 502},
        RequestKind{"unsafe", "/unsafe/a", true, 200},
        RequestKind{"unsafe, no promise", "/unsafe/a", false, 502},
        RequestKind{"resumable stream", "/stream/a", true, 200},
        RequestKind{"resumable stream, no promise", "/stream/a", false, 200},
        RequestKind{"generation", "/generation/a", true, 200},
        RequestKind{"generation, no promise", "/generation/a", false, 502},
        RequestKind{"generation with backup", "/backed/a", true, 200},
};

/// One path of each kind.
const auto Paths = {std::string("/safe/a"), std::string("/unsafe/a"), std::string("/stream/a"),
                    std::string("/generation/a"), std::string("/backed/a")};

} // namespace

// Guards against requests that reach a runner during the pause that it has asked for: a retry, first sends of
// later requests, and backups.
TEST_CASE("A runner that asks for a pause gets nothing until its end", "[hostile][pause]")
{
    const auto test = GENERATE(values<RequestKind>(RequestKinds));
    INFO(test.name);
    constexpr int LaterRequests = 12;
    Arrivals arrivals;
    std::vector<std::string> backups;
    GatewayFixture fixture([&](tcp::socket &connection, int count,
                               std::string head) -> asio::awaitable<void> {
        arrivals.add(head);
        if (count > 1)
            backups.push_back(valueOf(head, "X-Kv-Backup"));
        const std::string answer = count == 1 ? pauseAnswer(LongPause, test.isPromised) : success(test.path);
        co_await sendBytes(connection, answer);
    });
    CHECK(fixture.call(test.path, "id-0").status == test.status);
    const std::string paused = arrivals.ids.front();
    for (int i = 1; i <= LaterRequests; ++i)
        CHECK(fixture.call(test.path, "id-" + std::to_string(i)).status == 200);
    CHECK(arrivals.count(paused) == 1);
    CHECK(arrivals.ids.size() >= 1 + LaterRequests);
    // The only other runner of the service keeps no backup of its own generations.
    CHECK(std::ranges::all_of(backups, [](const std::string &address) { return address.empty(); }));
    // The runner is sound.
    if (test.isPromised)
        CHECK(fixture.gateway.runners.find(paused)->failureRate == 0);
}

// Guards against callers that wait for runners which are known to refuse, and against a Retry-After that
// brings them back too early.
TEST_CASE("While all runners pause, requests are refused at once until the first may be used",
          "[hostile][pause]")
{
    const auto path = GENERATE(values<std::string>(Paths));
    INFO(path);
    GatewayFixture fixture([&](tcp::socket &connection, int count, std::string) -> asio::awaitable<void> {
        co_await sendBytes(connection, pauseAnswer(LongPause * count));
    });
    const TimePoint start = steadyNow();
    const CallerView first = fixture.call(path, "id-1");
    const CallerView second = fixture.call(path, "id-2");
    const double elapsed = toSeconds(steadyNow() - start);
    for (const CallerView &view : {first, second}) {
        CHECK(view.status == 503);
        CHECK(view.retryAfter >= LongPause - elapsed);
        // The runners' return after the pause, and the spread of the callers'.
        CHECK(view.retryAfter <= LongPause + 0.5);
    }
    CHECK(fixture.runner.requestCount() == 2);
}

// Guards against a request that is refused though a runner could have served it in time.
TEST_CASE("A request waits for the end of a pause that lies within its time", "[hostile][pause]")
{
    const auto path = GENERATE(values<std::string>(Paths));
    INFO(path);
    constexpr double ShortPause = 0.1;
    TimePoint lastPauseAt{};
    TimePoint servedAt{};
    GatewayFixture fixture([&](tcp::socket &connection, int count, std::string) -> asio::awaitable<void> {
        if (count > 2) {
            servedAt = steadyNow();
            co_await sendBytes(connection, success(path));
            co_return;
        }
        lastPauseAt = steadyNow();
        const std::string answer = pauseAnswer(count == 1 ? LongPause : ShortPause);
        co_await sendBytes(connection, answer);
    });
    CHECK(fixture.call(path, "id-1").status == 503);
    CHECK(fixture.call(path, "id-2").status == 200);
    CHECK(fixture.runner.requestCount() == 3);
    CHECK(toSeconds(servedAt - lastPauseAt) >= ShortPause);
}

// Guards against requests that all come back at once after a pause because the sessions do not count them.
TEST_CASE("A request to a runner that has paused delays the next one", "[hostile][pause]")
{
    const auto path = GENERATE(values<std::string>(Paths));
    INFO(path);
    // Enough for the longest interval between two requests of one gateway, a second.
    constexpr uint32_t GatewayCount = 10'000;
    constexpr Duration Interval = 1s;
    constexpr Duration Pause = 30s;
    GatewayFixture fixture([&](tcp::socket &connection, int, std::string) -> asio::awaitable<void> {
        co_await sendBytes(connection, success(path));
    });
    const char *service = path == "/generation/a" ? "m" : path == "/backed/a" ? "b" : "p";
    const auto entry = std::ranges::find(fixture.runners, service, &RunnerEntry::service);
    fixture.gateway.applyFleet(std::vector{*entry});
    RunnerPool &pool = fixture.gateway.runners;
    const RunnerPool::RunnerPointer runner = pool.find(entry->id);
    // Plays again if the processor was so busy that the interval has passed unused.
    bool isInTime = false;
    for (int i = 0; !isInTime; ++i) {
        Random random{1};
        const Duration offset = fromSeconds(toSeconds(Interval) * Random{1}.uniform());
        const TimePoint before = steadyNow();
        pool.recordPause(*runner, Pause, GatewayCount, before - Pause - offset - 1ms, random);
        REQUIRE_FALSE(pool.nextSend(*runner, before));
        CHECK(fixture.call(path, "id-" + std::to_string(i)).status == 200);
        isInTime = steadyNow() - before < Interval * 0.9;
        if (isInTime)
            CHECK(pool.nextSend(*runner, before).has_value());
    }
}

// Guards against a request that has chosen its runner and reaches it after the pause has begun.
TEST_CASE("A request whose connection is established during a pause goes to another runner",
          "[hostile][pause]")
{
    const auto path = GENERATE(values<std::string>(Paths));
    INFO(path);
    Arrivals arrivals;
    GatewayFixture fixture([&](tcp::socket &connection, int, std::string head) -> asio::awaitable<void> {
        arrivals.add(head);
        co_await sendBytes(connection, success(path));
    });
    std::optional<CallerView> result;
    fixture.start(path, "id-1", [&](const CallerView &view) { result = view; });
    RunnerPool::RunnerPointer chosen;
    fixture.runUntil([&] {
        for (const auto &[id, runner] : fixture.gateway.runners.runners()) {
            if (runner->ownLoad.activeRequests > 0)
                chosen = runner;
        }
        return chosen != nullptr;
    });
    ResponseMetadata metadata;
    metadata.pause = fromSeconds(LongPause);
    fixture.gateway.recordPause(*chosen, metadata, "id-0");
    fixture.runUntil([&] { return result.has_value(); });
    CHECK(result->status == 200);
    CHECK(arrivals.ids.size() == 1);
    CHECK(arrivals.count(chosen->entry.id) == 0);
    CHECK(chosen->failureRate == 0);
}

namespace {

constexpr int EventCount = 40;

/// When the runner that should continue a generation asks for a pause, and what becomes of the first one.
struct ContinuationCase
{
    const char *name;
    std::string path;
    /// The runner announces after its tenth event that it stops this soon; 0: it announces nothing.
    Duration noticePeriod;
    /// The first runner closes its connection after its tenth event, instead of going on.
    bool isCut;
    /// Pause that the answer to the first continuation asks for, or the one to the copy request, in seconds.
    double pause;
    bool isCopyRefused;
    /// Requests that the other runner gets.
    int continuationCount;
    bool isComplete;
};

/// A generation that one runner begins and another one should continue.
class ContinuationScript
{
public:
    explicit ContinuationScript(const ContinuationCase &test)
        : test(test)
        , fixture([this](tcp::socket &connection, int, std::string head) {
            return this->respond(connection, std::move(head));
        })
    {}

    CallerView play() { return this->fixture.call(this->test.path, "id-1"); }

    /// The runner that has refused the continuation; nullptr if none has.
    RunnerPool::RunnerPointer pausedRunner() const
    {
        return this->fixture.gateway.runners.find(this->pausedId);
    }

    int continuationCount = 0;
    int copyCount = 0;
    TimePoint pausedAt{};
    std::optional<TimePoint> continuedAt;

private:
    asio::awaitable<void> respond(tcp::socket &connection, std::string head)
    {
        if (head.starts_with("POST /v1/kv-move")) {
            ++this->copyCount;
            if (this->test.isCopyRefused)
                co_await sendBytes(connection, pauseAnswer(this->test.pause));
            else
                co_await sendReply(connection, 200, "h", 1);
        } else if (head.starts_with("DELETE /v1/kv-handle/")) {
            co_await sendBytes(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        } else if (std::exchange(this->isStarted, true)) {
            co_await this->continueGeneration(connection, head);
        } else {
            co_await this->generate(connection);
        }
    }

    asio::awaitable<void> generate(tcp::socket &connection)
    {
        bool isOpen = co_await sendBytes(connection, StreamHead);
        for (int id = 1; id <= EventCount && isOpen; ++id) {
            isOpen = co_await sendBytes(connection, chunk(eventsBetween(id, id)));
            if (id == 10 && this->test.noticePeriod > Duration::zero())
                this->fixture.announceStop(this->test.noticePeriod);
            if (id == 10 && this->test.isCut) {
                connection.close();
                co_return;
            }
            co_await wait(20ms);
        }
        if (isOpen)
            co_await sendBytes(connection, "0\r\n\r\n");
    }

    asio::awaitable<void> continueGeneration(tcp::socket &connection, const std::string &head)
    {
        if (++this->continuationCount == 1 && !this->test.isCopyRefused) {
            this->pausedAt = steadyNow();
            this->pausedId = valueOf(head, "X-Expect-Instance");
            std::string answer = pauseAnswer(this->test.pause, true, valueOf(head, "X-Attempt-Id"));
            co_await sendBytes(connection, std::move(answer));
            co_return;
        }
        this->continuedAt = steadyNow();
        co_await sendBytes(connection, StreamHead);
        for (int id = std::stoi(valueOf(head, "Last-Event-Id")) + 1; id <= EventCount; ++id)
            co_await sendBytes(connection, chunk(eventsBetween(id, id)));
        co_await sendBytes(connection, "0\r\n\r\n");
    }

    ContinuationCase test;
    bool isStarted = false;
    std::string pausedId;
    GatewayFixture fixture;
};

} // namespace

// Guards against continuations that are tried at a runner again and again during its pause, and against a
// generation that is cut though the runner with its copy would have taken it a moment later.
TEST_CASE("A continuation respects the pause of the runner with the copy", "[hostile][pause]")
{
    const auto test = GENERATE(values<ContinuationCase>({
            {"backup of a leaving runner", "/backed/a", 150ms, false, LongPause, false, 1, true},
            {"copy of a leaving runner", "/generation/a", 500ms, false, LongPause, false, 1, true},
            {"copy, the source pauses", "/generation/a", 1500ms, false, LongPause, true, 0, true},
            {"backup after a crash, short pause", "/backed/a", 0ms, true, 0.3, false, 2, true},
            {"backup after a crash, long pause", "/backed/a", 0ms, true, LongPause, false, 1, false},
            {"resumed stream, all others pause", "/stream/a", 0ms, true, LongPause, false, 1, false},
    }));
    INFO(test.name);
    ContinuationScript script(test);
    const CallerView view = script.play();
    CHECK(view.status == 200);
    CHECK(view.isComplete == test.isComplete);
    CHECK(view.body == eventsBetween(1, test.isComplete ? EventCount : 10));
    CHECK(script.continuationCount == test.continuationCount);
    if (test.isCopyRefused)
        CHECK(script.copyCount == 1);
    if (script.continuedAt)
        CHECK(toSeconds(*script.continuedAt - script.pausedAt) >= test.pause);
}

// Guards against a runner that is sound, and gets no requests after its pause because it counts as failed.
TEST_CASE("A runner that asks for a pause instead of a continuation does not count as failed",
          "[hostile][pause]")
{
    const auto test = GENERATE(values<ContinuationCase>({
            {"backup of a leaving runner", "/backed/a", 150ms, false, LongPause, false, 1, true},
            {"copy of a leaving runner", "/generation/a", 500ms, false, LongPause, false, 1, true},
            {"backup after a crash", "/backed/a", 0ms, true, LongPause, false, 1, false},
            {"resumed stream", "/stream/a", 0ms, true, LongPause, false, 1, false},
    }));
    INFO(test.name);
    ContinuationScript script(test);
    script.play();
    const RunnerPool::RunnerPointer paused = script.pausedRunner();
    REQUIRE(paused);
    CHECK(paused->failureRate == 0);
    CHECK_FALSE(paused->ejectedUntil);
}

namespace {

/// A coordinator that places all generations at one runner.
class StubbornScheduler : public FleetScheduler
{
public:
    asio::awaitable<std::optional<PlacementResult>> place(FleetPlacementRequest request) override
    {
        this->excluded = request.excluded;
        co_return PlacementResult{this->runnerId, std::nullopt};
    }
    asio::awaitable<std::optional<TransferPermit>> requestTransfer(TransferRequest request) override
    {
        this->excluded = request.excluded;
        co_return TransferPermit{1, this->runnerId};
    }
    void finishTransfer(uint64_t) override { this->isFinished = true; }

    bool isFinished = false;
    std::string runnerId;
    std::vector<std::string> excluded;
};

} // namespace

// Guards against generations that a coordinator, which does not know of the pause, sends to the runner.
TEST_CASE("A coordinator does not place generations at a runner that pauses for the gateway",
          "[hostile][pause]")
{
    const auto *path = GENERATE("/generation/a", "/backed/a");
    INFO(path);
    Arrivals arrivals;
    GatewayFixture fixture(
            [&](tcp::socket &connection, int count, std::string head) -> asio::awaitable<void> {
                arrivals.add(head);
                const std::string answer = count == 1 ? pauseAnswer(LongPause) : success(path);
                co_await sendBytes(connection, answer);
            });
    StubbornScheduler scheduler;
    scheduler.runnerId = std::string(path == std::string("/generation/a") ? "m" : "b") + "1";
    fixture.gateway.fleetScheduler = &scheduler;
    CHECK(fixture.call(path, "id-1").status == 200);
    CHECK(fixture.call(path, "id-2").status == 200);
    CHECK(scheduler.excluded == std::vector{scheduler.runnerId});
    CHECK(arrivals.count(scheduler.runnerId) == 1);
    CHECK(arrivals.ids.size() == 3);
}

// Guards against polls of a runner during the pause that it has asked for in answer to an earlier one. The
// failed reads of the platform's list show that the reader goes on.
TEST_CASE("A runner that asks for a pause gets no report requests and health checks", "[hostile][pause]")
{
    const std::string polled = GENERATE("GET /v1/report", "GET /health");
    INFO(polled);
    constexpr int ListReads = 20;
    int listCount = 0;
    int pausedPolls = 0;
    int otherPolls = 0;
    GatewayFixture fixture([&](tcp::socket &connection, int, std::string head) -> asio::awaitable<void> {
        const bool isReport = head.starts_with("GET /v1/report");
        if (!isReport && !head.starts_with("GET /health")) {
            ++listCount;
            co_await sendBytes(connection, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n");
            co_return;
        }
        const bool isPolled = head.starts_with(polled);
        ++(isPolled ? pausedPolls : otherPolls);
        const std::string answer =
                isPolled ? pauseAnswer(LongPause) : "HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n";
        co_await sendBytes(connection, answer);
    });
    const auto address = parseEndpoint(fixture.runner.address());
    REQUIRE(address);
    FleetReaderSettings settings;
    settings.listEndpoint = *address;
    settings.listInterval = 20ms;
    settings.reportInterval = 20ms;
    settings.healthInterval = 20ms;
    FleetReader reader(fixture.io, fixture.format, fixture.gateway.connections,
                       fixture.gateway.runners.leavingRunners(), settings);
    int statedPauses = 0;
    reader.onResponse([&](const RunnerEntry &entry, const ResponseMetadata &metadata) {
        CHECK(entry.id == "m1");
        statedPauses += metadata.pause ? 1 : 0;
    });
    reader.setEngineServices({{"m", "/health"}});
    reader.setKnownRunners({fixture.runners[2]});
    reader.setActive(true);
    fixture.runUntil([&] { return statedPauses > 0; });
    // What was on its way.
    const int pausedPollsAtStart = pausedPolls;
    const int otherPollsAtStart = otherPolls;
    fixture.runUntil([&, start = listCount] { return listCount >= start + ListReads; });
    CHECK(pausedPolls <= pausedPollsAtStart);
    CHECK(otherPolls <= otherPollsAtStart + 1);
}

namespace {

/// A generation whose runner pauses or leaves in its middle, while the same or the other one asks for a
/// pause.
struct MidwayCase
{
    const char *name;
    std::string path;
    /// Whether its own runner pauses instead of the other one.
    bool isSourcePaused;
    /// Time until the runner stops; 0: it is slow instead.
    Duration noticePeriod;
};

/// Waits until the gateway has the first event of the generation at the runner.
asio::awaitable<void> waitForFirstEvent(asio::steady_timer &timer, const RunnerPool::Runner &runner)
{
    while (runner.ownLoad.prefillTokens > 0) {
        timer.expires_after(5ms);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace

// Guards against a generation that is copied, or continued from its backup, during a pause of a runner that
// takes part in it, and against the events that each such try holds up.
TEST_CASE("A generation stays at its runner while a pause rules out each other one", "[hostile][pause]")
{
    const auto test = GENERATE(values<MidwayCase>({
            {"leaving, backup's runner pauses", "/backed/a", false, 150ms},
            {"slow, backup's runner pauses", "/backed/a", false, 0ms},
            {"leaving, copy's destination pauses", "/generation/a", false, 1500ms},
            {"leaving, copy's source pauses", "/generation/a", true, 1500ms},
    }));
    INFO(test.name);
    std::string paused;
    StubbornScheduler scheduler;
    GatewayFixture fixture(
            [&](tcp::socket &connection, int count, std::string head) -> asio::awaitable<void> {
                if (count > 1) {
                    co_await sendBytes(connection, pauseAnswer(LongPause));
                    co_return;
                }
                const std::string own = valueOf(head, "X-Expect-Instance");
                const std::string other = own.substr(0, 1) + (own.ends_with("1") ? "2" : "1");
                co_await sendBytes(connection, StreamHead + chunk(eventsBetween(1, 1)));
                asio::steady_timer timer(fixture.io);
                co_await waitForFirstEvent(timer, *fixture.gateway.runners.find(own));
                paused = test.isSourcePaused ? own : other;
                scheduler.runnerId = other;
                scheduler.excluded.clear();
                ResponseMetadata metadata;
                metadata.pause = fromSeconds(LongPause);
                fixture.gateway.recordPause(*fixture.gateway.runners.find(paused), metadata, "id-0");
                if (test.noticePeriod > Duration::zero())
                    fixture.announceStop(test.noticePeriod);
                timer.expires_after(300ms);
                co_await timer.async_wait(asio::use_awaitable);
                co_await sendBytes(connection, chunk(eventsBetween(2, 3)) + "0\r\n\r\n");
            });
    scheduler.runnerId = test.path == "/backed/a" ? "b1" : "m1";
    fixture.gateway.fleetScheduler = &scheduler;
    const CallerView view = fixture.call(test.path, "id-1");
    CHECK(view.isComplete);
    CHECK(view.body == eventsBetween(1, 3));
    CHECK(fixture.runner.requestCount() == 1);
    CHECK(fixture.gateway.metrics.serialize().find(R"(done="false")") == std::string::npos);
    if (test.path == "/generation/a")
        CHECK(scheduler.excluded == std::vector{paused});
}

// Guards against a statement that is lost because it comes in the answer to a copy request.
TEST_CASE("What a runner states in its answer to a copy request holds", "[hostile][pause]")
{
    const auto [fields, isPaused, isLeaving] = GENERATE(table<std::string, bool, bool>({
            {"", false, false},
            {"Retry-After: 30\r\n", true, false},
            {"Server-Leaving: 1\r\n", false, true},
            {"Retry-After: 30\r\nServer-Leaving: 1\r\n", true, true},
    }));
    INFO(fields);
    RunnerPool::RunnerPointer source;
    StubbornScheduler scheduler;
    GatewayFixture fixture([&, refusal = "HTTP/1.1 503 Busy\r\n" + fields + "Content-Length: 0\r\n\r\n"](
                                   tcp::socket &connection, int, std::string head) -> asio::awaitable<void> {
        if (head.starts_with("POST /v1/kv-move")) {
            co_await sendBytes(connection, refusal);
            co_return;
        }
        source = fixture.gateway.runners.find(valueOf(head, "X-Expect-Instance"));
        co_await sendBytes(connection, StreamHead + chunk(eventsBetween(1, 1)));
        asio::steady_timer timer(fixture.io);
        co_await waitForFirstEvent(timer, *source);
        scheduler.runnerId = source->entry.id == "m1" ? "m2" : "m1";
        fixture.announceStop(1500ms);
        while (!scheduler.isFinished) {
            timer.expires_after(5ms);
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_await sendBytes(connection, chunk(eventsBetween(2, 3)) + "0\r\n\r\n");
    });
    scheduler.runnerId = "m1";
    fixture.gateway.fleetScheduler = &scheduler;
    CHECK(fixture.call("/generation/a", "id-1").isComplete);
    REQUIRE(source);
    CHECK(fixture.gateway.runners.isPaused(*source, steadyNow()) == isPaused);
    CHECK(fixture.gateway.runners.hasStatedLeaving(source->entry) == isLeaving);
}
