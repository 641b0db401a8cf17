#include "modelrequest.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace eelgrasslift;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr int EventCount = 40;
constexpr int EventsBeforeNotice = 12;
constexpr auto EventInterval = 20ms;
constexpr auto Notice = 2000ms;

const std::string NotExecuted = "X-Not-Executed: 1\r\n";
const std::string Paused = "Retry-After: 1\r\n";

/// Who announces that the runner leaves.
enum class Announcement {
    Runner,
    RunnerSoon, ///< The runner closes the stream at the announced time.
    HealthChecks
};

/// When the runner closes the stream.
enum class Close {
    OnCall,       ///< When it is called to end the run.
    ByItself,     ///< Before a call.
    AfterRefusal, ///< Some events after its first reply.
    AfterPause    ///< Some events after its first reply, before which there are none for a while.
};

/// What happens as the runner replies for the first time. The list of runners says that it has restarted,
/// that another one has its address, or nothing of it any more; or the session expires.
enum class Change { None, Restarted, Replaced, Removed, Expired };

/// What the generation could be continued from.
enum class Kept { Nothing, Copy, Backup, Request };

struct StopReply
{
    /// 0: the runner closes the connection.
    unsigned status = 404;
    std::string handle{};
    std::string fields{};
};

/// How the run ends.
enum class Outcome {
    Continued, ///< The runner stops it; the caller gets the whole stream nevertheless.
    Lost,      ///< The runner stops it, and the caller gets a part.
    Complete   ///< By itself; the caller gets the whole stream.
};

/// Whether the other runner accepts the generation.
enum class Other { Accepts, Refuses };

struct ReplyCase
{
    const char *name;
    Close close;
    Kept kept;
    /// To the calls that end the run, in their order; 404 to further ones.
    std::vector<StopReply> replies;
    Outcome outcome = Outcome::Continued;
    Other other = Other::Accepts;
    Change change = Change::None;
    Announcement announcement = Announcement::Runner;
};

/// For a runner that refuses all calls.
const std::vector<StopReply> Busy(10, StopReply{421});

using enum Close;
using enum Kept;
using enum Outcome;
using enum Other;
using enum Change;
using enum Announcement;

/// A leaving runner with a generation whose response has neither length nor chunks, and another one at the
/// same address.
class LeavingRunner
{
public:
    explicit LeavingRunner(const ReplyCase &replyCase)
        : fixture([this](tcp::socket &connection, int, std::string message) {
            return this->respond(connection, std::move(message));
        })
        , test(replyCase)
    {}

    CallerView play()
    {
        std::string path = "/generation/a";
        if (this->test.kept == Kept::Backup)
            path = "/backed/a";
        if (this->test.kept == Kept::Request)
            path = "/resumable/a";
        const CallerView view = this->fixture.call(path, "id-1");
        // Calls that are under way keep the session.
        this->fixture.runUntil([this] { return this->fixture.lastSession() == nullptr; });
        return view;
    }

    GatewayFixture fixture;
    /// Calls before the end of the stream.
    int earlyCallCount = 0;

private:
    bool isRunComplete() const { return this->test.outcome == Outcome::Complete; }

    asio::awaitable<void> respond(tcp::socket &connection, std::string message)
    {
        const std::string runnerId = valueOf(message, "X-Expect-Instance");
        if (message.starts_with("POST /v1/kv-move") && message.find(R"("last":true)") != std::string::npos) {
            co_await this->stop(connection);
        } else if (message.starts_with("POST /v1/kv-move")) {
            if (this->test.kept != Kept::Copy)
                co_await waitFor([this] { return this->isClosed; });
            StopReply answer{503};
            if (this->test.kept == Kept::Copy && !this->isClosed)
                answer = {200, "h"};
            co_await reply(connection, answer);
            this->isCopyReplied = true;
        } else if (message.starts_with("DELETE /v1/kv-handle/")) {
            const StopReply released{200};
            co_await reply(connection, released);
        } else if (this->sourceId.empty()) {
            co_await this->generate(connection, runnerId);
        } else {
            co_await this->continueRun(connection, message, runnerId == this->sourceId);
        }
    }

    asio::awaitable<void> stop(tcp::socket &connection)
    {
        const size_t call = this->callCount++;
        this->earlyCallCount += this->isClosed ? 0 : 1;
        const StopReply answer = call < this->test.replies.size() ? this->test.replies[call] : StopReply{};
        this->isCalled = true;
        if (this->test.close == Close::OnCall)
            co_await waitFor([this] { return this->isClosed; });
        if (call == 0)
            this->changeList();
        co_await reply(connection, answer);
        this->keptHandle = answer.handle.empty() ? this->keptHandle : answer.handle;
        this->isReplied = true;
        if (call == 0 && this->test.change == Change::Expired && this->fixture.lastSession())
            this->fixture.lastSession()->expire();
    }

    void changeList()
    {
        std::vector<RunnerEntry> &runners = this->fixture.runners;
        const auto source = std::ranges::find(runners, this->sourceId, &RunnerEntry::id);
        if (this->test.change == Change::Removed) {
            runners.erase(source);
        } else if (this->test.change == Change::Restarted || this->test.change == Change::Replaced) {
            source->report.reset();
            source->startedAtMs = 1;
            source->id = this->test.change == Change::Replaced ? "m9" : this->sourceId;
        }
        this->fixture.gateway.applyFleet(runners);
    }

    static asio::awaitable<void> reply(tcp::socket &connection, const StopReply &reply)
    {
        return sendReply(connection,
                         CopyReply{reply.status, reply.handle, CopyReply::DefaultMade, reply.fields});
    }

    asio::awaitable<int> sendEvents(tcp::socket &connection, int first, int last, const bool &isStopped)
    {
        int id = first;
        for (; id <= last && !isStopped; ++id) {
            co_await sendBytes(connection, eventsBetween(id, id));
            co_await wait(EventInterval);
        }
        co_return id;
    }

    asio::awaitable<void> generate(tcp::socket &connection, std::string runnerId)
    {
        constexpr auto ShortNotice = 600ms;
        constexpr auto Preemption = 500ms;
        constexpr int EventsAfterReply = 3;
        const bool isEndless = false;
        this->sourceId = std::move(runnerId);
        co_await sendBytes(connection, "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n\r\n");
        int id = co_await this->sendEvents(connection, 1, EventsBeforeNotice, isEndless);
        if (this->isRunComplete() && this->test.close == Close::ByItself)
            co_await this->sendEvents(connection, std::exchange(id, EventCount + 1), EventCount, isEndless);
        const auto announcedAt = std::chrono::steady_clock::now();
        const bool isSoon = this->test.announcement == Announcement::RunnerSoon;
        if (this->test.announcement == Announcement::HealthChecks)
            this->fixture.suspectStop();
        else
            this->fixture.announceStop(isSoon ? Duration(ShortNotice) : Duration(Notice));
        if (this->test.close == Close::ByItself) {
            if (this->test.kept == Kept::Copy)
                co_await waitFor([this] { return this->isCopyReplied; });
        } else if (this->test.close == Close::OnCall) {
            id = co_await this->sendEvents(connection, id, EventCount, this->isCalled);
        } else {
            id = co_await this->sendEvents(connection, id, EventCount, this->isReplied);
            if (this->test.close == Close::AfterPause)
                co_await wait(Preemption);
            const int last = this->isRunComplete() ? EventCount : id + EventsAfterReply - 1;
            if (this->test.close == Close::AfterPause && !this->isRunComplete())
                co_await sendBytes(connection, eventsBetween(id, last));
            else
                co_await this->sendEvents(connection, id, last, isEndless);
            id = last + 1;
        }
        if (this->isRunComplete() && id <= EventCount)
            co_await sendBytes(connection, eventsBetween(id, EventCount));
        while (isSoon && std::chrono::steady_clock::now() < announcedAt + ShortNotice)
            co_await wait(1ms);
        // The gateway has read the events.
        co_await wait(EventInterval);
        connection.close();
        this->isClosed = true;
    }

    asio::awaitable<void> continueRun(tcp::socket &connection, const std::string &message, bool isSource)
    {
        const std::string reference = valueOf(message, "Kv-From");
        const std::string handle = reference.substr(reference.rfind('/') + 1);
        bool isAccepted = this->test.other == Other::Accepts;
        if (isSource)
            isAccepted = !this->keptHandle.empty() && handle == this->keptHandle;
        else if (this->test.kept == Kept::Nothing)
            isAccepted = false;
        else if (this->test.kept != Kept::Request)
            isAccepted = isAccepted && handle == (this->test.kept == Kept::Copy ? "h" : "id-1");
        if (!isAccepted) {
            co_await sendBytes(connection, "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Attempt-Id: id-1\r\n"
                                           "Content-Length: 0\r\n\r\n");
            co_return;
        }
        co_await sendBytes(connection, "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n\r\n" +
                                               eventsBetween(std::stoi(valueOf(message, "Last-Event-Id")) + 1,
                                                             EventCount));
        connection.close();
    }

    ReplyCase test;
    size_t callCount = 0;
    std::string sourceId;
    std::string keptHandle;
    bool isCopyReplied = false;
    bool isCalled = false;
    bool isReplied = false;
    bool isClosed = false;
};

void checkEnd(const ReplyCase &test)
{
    INFO(test.name);
    LeavingRunner runner(test);
    const CallerView view = runner.play();
    const std::string all = eventsBetween(1, EventCount);
    CHECK((runner.earlyCallCount > 0) == (test.close != Close::ByItself));
    CHECK(view.status == 200);
    CHECK(view.isComplete == (test.outcome != Outcome::Lost));
    CHECK((!view.isComplete || view.body == all));
    CHECK(all.starts_with(view.body));
}

} // namespace

// Guards against a part that is delivered as complete because another runner, or a later start of the same
// one, replies in the place of the runner that has closed the stream.
TEST_CASE("The reply of a successor does not tell how a run has ended", "[hostile]")
{
    const auto test = GENERATE(values<ReplyCase>({
            {"restarted, check", ByItself, Copy, {{404}}, Continued, Accepts, Restarted},
            {"replaced, check", ByItself, Copy, {{404}}, Continued, Accepts, Replaced},
            {"removed, check", ByItself, Copy, {{404}}, Continued, Accepts, Removed},
            {"restarted, backup, check", ByItself, Backup, {{404}}, Continued, Accepts, Restarted},
            {"restarted, resumable, check", ByItself, Request, {{404}}, Continued, Accepts, Restarted},
            {"restarted, call", OnCall, Copy, {{404}}, Continued, Accepts, Restarted},
            {"replaced, call", OnCall, Copy, {{404}}, Continued, Accepts, Replaced},
            {"removed, call", OnCall, Copy, {{404}}, Continued, Accepts, Removed},
            {"restarted, call, nobody accepts", OnCall, Copy, {{404}}, Lost, Refuses, Restarted},
    }));
    checkEnd(test);
}

// Guards against a failure in place of a complete response whose runner is listed no more, and against a part
// that is delivered as complete because a reply names another runner.
TEST_CASE("A run whose runner is listed no more is judged by what remains", "[hostile]")
{
    const std::string other = "X-Instance-Id: i-0\r\n";
    const auto test = GENERATE_COPY(values<ReplyCase>({
            {"restarted, check", ByItself, Copy, {{404}}, Complete, Accepts, Restarted},
            {"restarted, check, nobody accepts", ByItself, Copy, {{404}}, Complete, Refuses, Restarted},
            {"removed, check", ByItself, Nothing, {{404}}, Complete, Accepts, Removed},
            {"removed, call", OnCall, Copy, {{404}}, Complete, Accepts, Removed},
            {"removed, call, nobody accepts", OnCall, Copy, {{404}}, Complete, Refuses, Removed},
            {"reply names another, call", OnCall, Copy, {{404, "", other}}},
            {"reply names another, check", ByItself, Copy, {{404, "", other}}},
    }));
    checkEnd(test);
}

// Guards against a part that is delivered as complete because its runner was busy, or still copied the run
// for an earlier call, as it was asked how the run had ended.
TEST_CASE("A check that tells nothing is repeated", "[hostile]")
{
    const auto test = GENERATE(values<ReplyCase>({
            {"busy", ByItself, Nothing, {{429}, {503, "k"}}},
            {"wrong runner", ByItself, Nothing, {{421}, {503, "k"}}},
            {"not executed", ByItself, Nothing, {{503, "", NotExecuted}, {503, "k"}}},
            {"copies", ByItself, Nothing, {{409}, {503, "k"}}},
            {"copies twice", ByItself, Nothing, {{409}, {409}, {200, "k"}}},
            {"fails", ByItself, Nothing, {{500}, {503, "k"}}},
            {"closes", ByItself, Nothing, {{0}, {503, "k"}}},
            {"suspect", ByItself, Nothing, {{429}, {503, "k"}}, Continued, Accepts, None, HealthChecks},
    }));
    checkEnd(test);
}

// Guards against a part that is delivered as complete because its runner has asked for a pause, during which
// it is not asked how the run has ended.
TEST_CASE("A runner that pauses is asked later how a run has ended", "[hostile]")
{
    const std::string paused = NotExecuted + Paused;
    const auto test = GENERATE_COPY(values<ReplyCase>({
            {"not executed", AfterRefusal, Copy, {{503, "", paused}, {503, "k"}}, Lost, Refuses},
            {"check not executed", ByItself, Nothing, {{503, "", paused}, {503, "k"}}, Lost},
    }));
    checkEnd(test);
}

// Guards against a failure in place of a complete response because of a reply that tells nothing about runs.
TEST_CASE("A reply of 503 without a handle does not tell that a run was stopped", "[hostile]")
{
    const auto test = GENERATE(values<ReplyCase>({
            {"nothing", ByItself, Nothing, {{503, "", Paused}}, Complete},
            {"copy refused", ByItself, Copy, {{503, "", Paused}}, Complete, Refuses},
            {"copy", ByItself, Copy, {{503}}, Complete},
            {"backup", ByItself, Backup, {{503, "", Paused}}, Complete},
            {"resumable", ByItself, Request, {{503, "", Paused}}, Complete},
    }));
    checkEnd(test);
}

// Guards against a part that is delivered as complete, and against a failure in place of a complete response,
// if a reply tells nothing about the run.
TEST_CASE("A run is judged by what its runner does after a reply that tells nothing", "[hostile]")
{
    const std::string paused = NotExecuted + Paused;
    const auto test = GENERATE_COPY(values<ReplyCase>({
            {"complete, busy", ByItself, Nothing, {{429}}, Complete},
            {"complete, copies", ByItself, Nothing, {{409}}, Complete},
            {"complete, copies, copy refused", ByItself, Copy, {{409}}, Complete, Refuses},
            {"complete, always busy", ByItself, Nothing, {{429}, {429}, {429}, {429}, {429}}, Complete},
            {"complete, busy, backup", ByItself, Backup, {{429}}, Complete},
            {"complete, busy, resumable", ByItself, Request, {{429}}, Complete},
            {"complete, busy, suspect", ByItself, Nothing, {{429}}, Complete, Accepts, None, HealthChecks},
            {"complete, busy, due", ByItself, Nothing, {{429}}, Complete, Accepts, None, RunnerSoon},
            {"complete, paused", AfterRefusal, Copy, {{503, "", paused}}, Complete, Refuses},
            {"busy until its end", AfterRefusal, Copy, {{429}, {429}}, Continued, Accepts, None, RunnerSoon},
            {"busy, refused", AfterRefusal, Copy, Busy, Lost, Refuses, None, RunnerSoon},
            {"no reply, refused", AfterRefusal, Copy, {{429}, {0}, {0}}, Lost, Refuses, None, RunnerSoon},
            {"no handle", AfterRefusal, Copy, {{503, "", Paused}, {503, "k"}}},
            {"no handle, refused", AfterRefusal, Copy, {{503, "", Paused}, {503, "k"}}, Lost, Refuses},
            {"no handle, stopped", OnCall, Copy, {{503, "", Paused}}, Lost, Refuses},
            {"paused, suspect", ByItself, Copy, {{503, "", paused}}, Continued, Accepts, None, HealthChecks},
            {"resumable, paused", ByItself, Request, {{503, "", Paused}}},
            {"resumable, copies", ByItself, Request, {{409}, {503, "k"}}},
            {"preempted, no such run", AfterPause, Copy, {{404}, {503, "k"}}},
            {"preempted, copies", AfterPause, Copy, {{409}, {503, "k"}}},
            {"preempted, copies, complete", AfterPause, Copy, {{409}}, Complete, Refuses},
            {"preempted, no such run, complete", AfterPause, Copy, {{404}}, Complete, Refuses},
            {"expired, busy", AfterRefusal, Copy, {{429}}, Lost, Refuses, Expired},
            {"expired, no reply", OnCall, Copy, {{0}}, Lost, Refuses, Expired},
            {"expired, checked", ByItself, Copy, {{503, "k"}}, Lost, Refuses, Expired},
    }));
    checkEnd(test);
}
