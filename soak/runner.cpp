#include "runner.h"

#include "content.h"
#include "gateway/clock.h"
#include "gateway/task.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <charconv>

namespace eelgrasslift::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Json = nlohmann::json;

namespace {

constexpr uint64_t MinCallMs = 5;
constexpr uint64_t CallSpreadMs = 200;
constexpr Duration EventInterval = std::chrono::milliseconds{45};
constexpr Duration CopyTime = std::chrono::milliseconds{60};
constexpr int SlowFactor = 6;
constexpr uint64_t MemoryTokens = 40000;
// One runner in this many goes on with a stream whose connection is closed, until it is called to end it.
constexpr uint64_t PersistentRunnerShare = 3;
// One copy in this many finds no room at its destination.
constexpr uint64_t CopyRefusalShare = 8;
// One stream in this many has neither length nor chunks.
constexpr uint64_t UnframedShare = 2;
// One run in this many that is ended by a call ends inside an event.
constexpr uint64_t EndInsideEventShare = 5;
// One last copy in this many finds no room at its destination.
constexpr uint64_t LastCopyRefusalShare = 4;
constexpr uint64_t MinLateReplyMs = 100;
constexpr uint64_t LateReplySpreadMs = 300;
constexpr Duration RunEndPollInterval = std::chrono::milliseconds{5};
constexpr unsigned NotFound = 404;
constexpr unsigned Conflict = 409;

/// When a runner that is called to end a run replies.
enum class EndReply { First, Late, Never };
constexpr EndReply EndReplies[] = {EndReply::First, EndReply::Late, EndReply::Late, EndReply::Never};

uint64_t numberIn(std::string_view text)
{
    uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/// Takes the remainder of the number, and the quotient for the next choice.
uint64_t takeChoice(uint64_t &number, uint64_t count)
{
    const uint64_t choice = number % count;
    number /= count;
    return choice;
}

/// What ends the runner of the request: its content, or a part of its prompt; empty if nothing does.
std::string crashCauseOf(const Request &request)
{
    if (request.body().starts_with(CrashContentPrefix))
        return request.body();
    const std::string_view prompt = fieldOf(request, "X-Prompt-Prefix");
    const size_t from = prompt.find(CrashPartPrefix);
    if (from == std::string_view::npos)
        return {};
    return std::string(prompt.substr(from, prompt.find(':', from) - from));
}

} // namespace

void CopyStore::add(const std::string &name, const std::string &requestId, const std::string &destination)
{
    this->copies.insert_or_assign(name, Copy{requestId, destination, {}});
}

bool CopyStore::take(const std::string &name, const std::string &requestId, const std::string &runnerAddress)
{
    const auto found = this->copies.find(name);
    if (found == this->copies.end() || found->second.requestId != requestId ||
        (found->second.destination != runnerAddress && found->second.stoppedSource != runnerAddress))
        return false;
    // The runner that has ended the run continues it once.
    if (found->second.stoppedSource == runnerAddress)
        std::erase_if(this->copies, [&](const auto &entry) {
            return entry.second.requestId == requestId && entry.second.stoppedSource == runnerAddress;
        });
    else
        this->copies.erase(found);
    return true;
}

void CopyStore::stopSource(const std::string &requestId, const std::string &runnerAddress,
                           const std::string &lastName, const std::string &destination)
{
    if (!lastName.empty())
        this->add(lastName, requestId, destination);
    for (auto &[name, copy] : this->copies) {
        if (copy.requestId != requestId || !name.starts_with(runnerAddress + "/"))
            continue;
        copy.stoppedSource = runnerAddress;
        if (destination.empty())
            copy.destination.clear();
    }
}

std::vector<std::string> CopyStore::keptOnlyAt(const std::string &runnerAddress) const
{
    std::vector<std::string> requestIds;
    for (const auto &[name, copy] : this->copies) {
        if (copy.stoppedSource == runnerAddress && copy.destination.empty())
            requestIds.push_back(copy.requestId);
    }
    return requestIds;
}

/// Lists a run as active for as long as the object exists.
class Runner::ActiveRun
{
public:
    ActiveRun(Runner &owner, const std::string &requestId)
        : runner(owner)
        , run{requestId}
    {
        this->runner.runs.insert(&this->run);
    }
    ~ActiveRun()
    {
        this->runner.runs.erase(&this->run);
        this->runner.ledger.endRun(this->run.requestId, this->runner.spec.id);
    }
    ActiveRun(const ActiveRun &) = delete;
    ActiveRun &operator=(const ActiveRun &) = delete;

    Run &operator*() { return this->run; }

private:
    Runner &runner;
    Run run;
};

Runner::Runner(asio::io_context &io, RunnerSpec runnerSpec, Ledger &runLedger, CopyStore &copyStore)
    : io(io)
    , spec(std::move(runnerSpec))
    , ledger(runLedger)
    , copies(copyStore)
    , acceptor(io)
{}

TimePoint Runner::after(Duration duration)
{
    return steadyNow() + duration;
}

void Runner::start()
{
    const tcp::endpoint address(asio::ip::make_address(this->spec.endpoint.address),
                                this->spec.endpoint.port);
    this->acceptor.open(address.protocol());
    this->acceptor.set_option(tcp::acceptor::reuse_address(true));
    this->acceptor.bind(address);
    this->acceptor.listen();
    spawnTask(this->io, "soak-runner",
              [self = this->shared_from_this()]() -> asio::awaitable<void> { return self->accept(); });
}

void Runner::leave(Duration duration, LeavingNotice leavingNotice)
{
    this->notice = leavingNotice;
    this->leavesAt = after(duration);
}

void Runner::stop()
{
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    this->resetConnections();
}

void Runner::overload(Duration duration)
{
    this->overloadedUntil = after(duration);
    this->disturbKeptRuns();
}

void Runner::fallSilent(Duration duration)
{
    this->silentUntil = after(duration);
    this->disturbRuns();
}

void Runner::disturbRuns()
{
    for (const Run *run : this->runs)
        this->ledger.disturb(run->requestId);
    this->disturbKeptRuns();
}

void Runner::disturbKeptRuns()
{
    for (const std::string &requestId : this->copies.keptOnlyAt(this->spec.endpoint.toString()))
        this->ledger.disturb(requestId);
}

void Runner::resetConnections()
{
    this->disturbRuns();
    this->ledger.noteBreak();
    boost::system::error_code ignored;
    for (const auto &weakConnection : this->connections) {
        const auto connection = weakConnection.lock();
        if (!connection || !connection->socket().is_open())
            continue;
        connection->socket().set_option(asio::socket_base::linger(true, 0), ignored);
        connection->socket().close(ignored);
    }
    this->connections.clear();
}

Json Runner::listEntry() const
{
    return {{"id", this->spec.id},
            {"service", this->spec.service},
            {"address", this->spec.endpoint.toString()},
            {"zone", "zone-a"},
            {"version", "v1"},
            {"slots", this->spec.slots},
            {"state", this->isLeaveAnnounced() ? "draining" : "ready"},
            {"cold_left_ms", 0}};
}

asio::awaitable<void> Runner::accept()
{
    while (this->acceptor.is_open()) {
        boost::system::error_code error;
        tcp::socket socket =
                co_await this->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        // A connection may have been accepted just before the runner ended.
        if (error || this->hasEnded())
            continue;
        std::erase_if(this->connections, [](const auto &connection) { return connection.expired(); });
        auto connection = std::make_shared<Connection>(std::move(socket));
        this->connections.push_back(connection);
        spawnTask(this->io, "soak-runner-connection",
                  [self = this->shared_from_this(), connection]() -> asio::awaitable<void> {
                      return self->serve(connection);
                  });
    }
}

asio::awaitable<void> Runner::serve(std::shared_ptr<Connection> connection)
{
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    connection->socket().set_option(tcp::no_delay(true), error);
    for (bool isOpen = true; isOpen;) {
        Request request;
        co_await http::async_read(*connection, buffer, request,
                                  asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return;
        const std::string id(fieldOf(request, "X-Attempt-Id"));
        const std::string_view expectedRunner = fieldOf(request, "X-Expect-Instance");
        // Requests for another runner are not counted; they get 421.
        if (expectedRunner.empty() || expectedRunner == this->spec.id)
            this->ledger.reach(id, this->spec.id);
        if (const std::string cause = crashCauseOf(request);
            expectedRunner == this->spec.id && !cause.empty())
            this->ledger.crashes().recordArrival(cause, id);
        if (steadyNow() < this->silentUntil)
            this->ledger.disturb(id);
        co_await this->waitWhileSilent();
        isOpen = connection->socket().is_open() && co_await this->respond(*connection, std::move(request));
    }
    connection->socket().shutdown(tcp::socket::shutdown_send, error);
}

asio::awaitable<bool> Runner::respond(Connection &connection, Request request)
{
    const std::string target(request.target());
    const std::string id(fieldOf(request, "X-Attempt-Id"));
    if (target == "/v1/report")
        co_return co_await this->send(connection, this->makeResponse(200, {}, this->report()));
    if (target == "/health") {
        const unsigned status = this->isLeaveAnnounced() ? 503 : 200;
        co_return co_await this->send(connection, this->makeResponse(status, {}));
    }
    if (target == "/v1/kv-move")
        co_return co_await this->copy(connection, request.body());
    if (target.starts_with("/v1/"))
        co_return co_await this->send(connection, this->makeResponse(200, {}, "{}"));
    const std::string_view expectedRunner = fieldOf(request, "X-Expect-Instance");
    if (!expectedRunner.empty() && expectedRunner != this->spec.id)
        co_return co_await this->send(connection, this->refusal(421, id));
    if (steadyNow() < this->overloadedUntil)
        co_return co_await this->refuseAndAskForPause(connection, id);
    const std::string copyName(fieldOf(request, "Kv-From"));
    if (this->runs.size() >= this->spec.slots ||
        (!copyName.empty() && !this->copies.take(copyName, id, this->spec.endpoint.toString())))
        co_return co_await this->send(connection, this->refusal(503, id));
    this->ledger.beginRun(id, this->spec.id, !copyName.empty());
    ActiveRun run(*this, id);
    if (!crashCauseOf(request).empty()) {
        co_await this->crash(connection, std::move(request));
        co_return false;
    }
    const std::string backup(fieldOf(request, "X-Kv-Backup"));
    if (!backup.empty())
        this->copies.add(backup + "/" + id, id, backup);
    if (!target.starts_with("/events/")) {
        co_await this->work(std::chrono::milliseconds{MinCallMs + hashOf(id) % CallSpreadMs}, id);
        Response response = this->makeResponse(200, id, bodyOf(id));
        response.set("X-Server-Seal", sealOf(id));
        co_return co_await this->send(connection, std::move(response));
    }
    const uint64_t last = numberIn(std::string_view(target).substr(target.rfind('/') + 1));
    const uint64_t first = numberIn(fieldOf(request, "Last-Event-Id")) + 1;
    const bool isComplete = co_await this->sendStream(connection, *run, first, last);
    if (isComplete && !backup.empty())
        this->copies.erase(backup + "/" + id);
    co_return isComplete && (*run).isChunked && !this->isLeaveAnnounced();
}

asio::awaitable<void> Runner::crash(Connection &connection, Request request)
{
    const std::string cause = crashCauseOf(request);
    const std::string id(fieldOf(request, "X-Attempt-Id"));
    co_await this->work(EventInterval, id);
    // Half of the contents end the runner before its response, the others after the first event. A part of a
    // prompt ends it as it begins to respond, half of the time without framing and within the first event.
    const bool isPart = cause.starts_with(CrashPartPrefix) && !this->spec.endsUnanswered;
    const uint64_t next = numberIn(fieldOf(request, "Last-Event-Id")) + 1;
    if (isPart && hashOf(id) % 2 == 0) {
        std::string bytes = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: " + sealOf(id) +
                            "\r\nContent-Type: text/event-stream\r\n\r\n" + eventOf(id, next).substr(0, 4);
        boost::system::error_code error;
        co_await asio::async_write(connection, asio::buffer(bytes),
                                   asio::redirect_error(asio::use_awaitable, error));
    } else if (isPart || (!this->spec.endsUnanswered && request.target().starts_with("/events/") &&
                          hashOf(cause) % 2 == 0)) {
        Response response = this->makeResponse(200, id, eventOf(id, next));
        response.set("X-Server-Seal", sealOf(id));
        response.set(http::field::content_type, "text/event-stream");
        response.content_length(response.body().size() + 1);
        boost::system::error_code error;
        co_await http::async_write(connection, response, asio::redirect_error(asio::use_awaitable, error));
    }
    if (this->hasEnded())
        co_return;
    this->ledger.crashes().recordCrash(cause);
    this->crashCallback();
}

asio::awaitable<bool> Runner::sendStream(Connection &connection, Run &run, uint64_t first, uint64_t last)
{
    boost::system::error_code error;
    co_await this->work(EventInterval, run.requestId);
    http::response<http::empty_body> head{this->makeResponse(200, run.requestId).base()};
    head.erase(http::field::content_length);
    head.set(http::field::content_type, "text/event-stream");
    head.set("X-Server-Seal", sealOf(run.requestId));
    // Without an event, a response that ends with its connection is no statement.
    const uint64_t choice = hashOf(run.requestId + " " + this->spec.id) >> 32U;
    run.isChunked = first > last || choice % UnframedShare != 0;
    head.chunked(run.isChunked);
    http::response_serializer<http::empty_body> serializer(head);
    co_await http::async_write_header(connection, serializer,
                                      asio::redirect_error(asio::use_awaitable, error));
    run.events = first - 1;
    run.lastEvent = last;
    const auto send = [&](std::string bytes) -> asio::awaitable<void> {
        if (run.isChunked)
            co_await asio::async_write(connection, http::make_chunk(asio::buffer(bytes)),
                                       asio::redirect_error(asio::use_awaitable, error));
        else
            co_await asio::async_write(connection, asio::buffer(bytes),
                                       asio::redirect_error(asio::use_awaitable, error));
    };
    const bool isPersistent = hashOf(this->spec.id) % PersistentRunnerShare == 0;
    for (uint64_t number = first; number <= last && (!error || isPersistent); ++number) {
        const std::string event = eventOf(run.requestId, number);
        if (run.isEndedByCall && run.endsInsideEvent && !error)
            co_await send(event.substr(0, event.size() / 2));
        if (run.isEndedByCall || this->hasEnded())
            co_return false;
        run.events = number;
        if (!error)
            co_await send(event);
        co_await this->work(EventInterval, run.requestId);
    }
    if (!error && run.isChunked)
        co_await asio::async_write(connection, http::make_chunk_last(),
                                   asio::redirect_error(asio::use_awaitable, error));
    co_return !error && connection.socket().is_open();
}

asio::awaitable<bool> Runner::copy(Connection &connection, const std::string &body)
{
    const Json call = Json::parse(body, nullptr, false);
    if (call.is_discarded() || !call.contains("id") || !call.contains("to"))
        co_return co_await this->send(connection, this->makeResponse(400, {}));
    const std::string id = call.at("id");
    const std::string destination = call.at("to");
    const auto isOfRequest = [&](const Run *run) { return run->requestId == id; };
    const auto active = std::ranges::find_if(this->runs, isOfRequest);
    if (active == this->runs.end())
        co_return co_await this->send(connection, this->makeResponse(NotFound, {}));
    if (call.value("last", false))
        co_return co_await this->endRunByCall(connection, **active, destination);
    co_await sleepFor(CopyTime);
    const auto run = std::ranges::find_if(this->runs, isOfRequest);
    if (run == this->runs.end() || hashOf(id + destination) % CopyRefusalShare == 0)
        co_return co_await this->send(connection,
                                      this->makeResponse(run == this->runs.end() ? NotFound : 503, {}));
    const std::string handle = this->copies.nextHandle();
    this->copies.add(this->spec.endpoint.toString() + "/" + handle, id, destination);
    const Json result{{"handle", handle}, {"made", (*run)->events}};
    co_return co_await this->send(connection, this->makeResponse(200, {}, result.dump()));
}

asio::awaitable<bool> Runner::endRunByCall(Connection &connection, Run &run, std::string destination)
{
    if (run.isEndedByCall)
        co_return co_await this->send(connection, this->makeResponse(Conflict, {}));
    // After its last event the run ends by itself.
    if (run.lastEvent != 0 && run.events == run.lastEvent)
        co_return co_await this->send(connection, this->makeResponse(NotFound, {}));
    const std::string id = run.requestId;
    const std::string address = this->spec.endpoint.toString();
    uint64_t choices = hashOf("end " + id + " " + this->spec.id) >> 32U;
    const EndReply reply = EndReplies[takeChoice(choices, std::size(EndReplies))];
    run.isEndedByCall = true;
    run.endsInsideEvent = takeChoice(choices, EndInsideEventShare) == 0;
    // Without a reply or while the runner refuses requests, only the destination may have the memory.
    const bool isRefused = takeChoice(choices, LastCopyRefusalShare) == 0 && reply != EndReply::Never &&
                           steadyNow() >= this->overloadedUntil;
    if (isRefused)
        destination.clear();
    const std::string handle = reply == EndReply::Never ? std::string{} : this->copies.nextHandle();
    const Json result{{"handle", handle}, {"made", run.events}};
    this->copies.stopSource(id, address, handle.empty() ? handle : address + "/" + handle, destination);
    const auto isEnding = [&] {
        return std::ranges::any_of(this->runs, [&](const Run *active) {
            return active->requestId == id && active->isEndedByCall;
        });
    };
    while (reply != EndReply::First && isEnding())
        co_await sleepFor(RunEndPollInterval);
    if (reply == EndReply::Never)
        co_return false;
    if (reply == EndReply::Late)
        co_await sleepFor(std::chrono::milliseconds{MinLateReplyMs + choices % LateReplySpreadMs});
    co_return co_await this->send(connection, this->makeResponse(isRefused ? 503 : 200, {}, result.dump()));
}

asio::awaitable<void> Runner::work(Duration duration, const std::string &requestId)
{
    if (steadyNow() < this->slowUntil) {
        duration *= SlowFactor;
        this->ledger.disturb(requestId);
    }
    co_await sleepFor(duration);
    co_await this->waitWhileSilent();
}

asio::awaitable<void> Runner::waitWhileSilent()
{
    for (TimePoint now = steadyNow(); now < this->silentUntil; now = steadyNow())
        co_await sleepFor(this->silentUntil - now);
}

Response Runner::makeResponse(unsigned status, const std::string &requestId, std::string body) const
{
    constexpr unsigned Http11 = 11;
    Response response(static_cast<http::status>(status), Http11);
    response.set("X-Instance-Id", this->spec.id);
    if (!requestId.empty())
        response.set("X-Attempt-Id", requestId);
    if (this->isLeaving())
        response.set("Server-Leaving", "1");
    response.body() = std::move(body);
    return response;
}

Response Runner::refusal(unsigned status, const std::string &requestId) const
{
    Response response = this->makeResponse(status, requestId);
    response.set("X-Not-Executed", "1");
    return response;
}

asio::awaitable<bool> Runner::refuseAndAskForPause(Connection &connection, const std::string &requestId)
{
    // Rounded down, so that the time that is checked is not longer than the one that is stated.
    const std::chrono::milliseconds pause{toMilliseconds(this->overloadedUntil - steadyNow())};
    Response response = this->refusal(503, requestId);
    response.set(http::field::retry_after, std::to_string(toSeconds(pause)));
    const bool isOpen = co_await this->send(connection, std::move(response));
    this->ledger.askForPause(requestId, this->spec.id, pause);
    co_return isOpen;
}

asio::awaitable<bool> Runner::send(Connection &connection, Response response) const
{
    boost::system::error_code error;
    response.keep_alive(!this->isLeaveAnnounced());
    response.prepare_payload();
    co_await http::async_write(connection, response, asio::redirect_error(asio::use_awaitable, error));
    co_return !error && response.keep_alive();
}

std::string Runner::report() const
{
    constexpr uint64_t TokensPerRun = 400;
    Json report{{"queue_depth", 0},
                {"running", this->runs.size()},
                {"kv_used", this->runs.size() * TokensPerRun},
                {"kv_total", MemoryTokens},
                {"handles", 0},
                {"state", this->isLeaveAnnounced() ? "draining" : "ready"}};
    if (this->isLeaveAnnounced())
        report["leaves_ms"] = std::max<int64_t>(toMilliseconds(*this->leavesAt - steadyNow()), 0);
    return report.dump();
}

} // namespace eelgrasslift::soak
