#include "gatewayfixture.h"

#include "gateway/callsession.h"
#include "gateway/clock.h"
#include "gateway/streamsession.h"
#include "gateway/task.h"

#include <boost/asio/completion_condition.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <catch2/catch.hpp>

#include <algorithm>

namespace eelgrasslift {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto TestTimeout = std::chrono::seconds{20};
constexpr auto PollInterval = std::chrono::milliseconds{1};
constexpr int SmallBufferBytes = 4096;

const std::string Config = R"({"version":1,"routes":[
{"name":"safe","host":"h","path_prefix":"/safe/","kind":"safe","timeout_ms":3000,"slo_ms":100,"priority":0,
 "service":"p","max_attempts":1,"public":true},
{"name":"unsafe","host":"h","path_prefix":"/unsafe/","kind":"unsafe","timeout_ms":3000,"slo_ms":100,
 "priority":0,"service":"p","max_attempts":1,"public":true},
{"name":"stream","host":"h","path_prefix":"/stream/","kind":"streaming","timeout_ms":3000,"slo_ms":1000,
 "priority":0,"service":"p","max_attempts":2,"public":true,"stream_resume":true},
{"name":"generation","host":"h","path_prefix":"/generation/","kind":"streaming","timeout_ms":3000,
 "slo_ms":1000,"priority":0,"service":"m","max_attempts":1,"public":true,"gap_slo_ms":180},
{"name":"resumable","host":"h","path_prefix":"/resumable/","kind":"streaming","timeout_ms":3000,
 "slo_ms":1000,"priority":0,"service":"m","max_attempts":2,"public":true,"stream_resume":true},
{"name":"backed","host":"h","path_prefix":"/backed/","kind":"streaming","timeout_ms":3000,
 "slo_ms":1000,"priority":0,"service":"b","max_attempts":1,"public":true,"gap_slo_ms":180}],
"services":[{"name":"p"},
{"name":"m","health_path":"/health","engine":{"slots":24,"kv_capacity_tokens":20000,"kv_token_bytes":262144,
 "link_mbps":38000.0,"moves":true,"backups":false,"stride":4}},
{"name":"b","health_path":"/health","engine":{"slots":24,"kv_capacity_tokens":20000,"kv_token_bytes":262144,
 "link_mbps":38000.0,"moves":true,"backups":true,"stride":4}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]})";

NodeSettings settingsWithRetries()
{
    NodeSettings settings;
    settings.retryBudgetExtra = 100;
    return settings;
}

tcp::endpoint anyPort()
{
    return {asio::ip::address_v4::loopback(), 0};
}

size_t contentLength(const std::string &head)
{
    constexpr std::string_view Name = "Content-Length: ";
    const size_t at = head.find(Name);
    return at == std::string::npos ? 0 : std::stoul(head.substr(at + Name.size()));
}

asio::awaitable<void> readResponse(tcp::socket caller, const bool &isReading,
                                   std::function<void(const CallerView &)> ended)
{
    for (asio::steady_timer timer(caller.get_executor()); !isReading;) {
        timer.expires_after(PollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    boost::system::error_code error;
    co_await http::async_read(caller, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    CallerView view;
    view.status = parser.is_header_done() ? parser.get().result_int() : 0;
    view.version = parser.get().version();
    view.header = parser.get().base();
    view.body = parser.get().body();
    if (const auto value = parser.get()[http::field::retry_after]; !value.empty())
        view.retryAfter = std::stod(std::string(value));
    view.isComplete = !error && parser.is_done();
    ended(view);
}

} // namespace

const std::string &fixtureConfig()
{
    return Config;
}

asio::awaitable<bool> sendBytes(tcp::socket &connection, std::string bytes)
{
    boost::system::error_code error;
    co_await asio::async_write(connection, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

void resetConnection(tcp::socket &connection)
{
    connection.set_option(asio::socket_base::linger(true, 0));
    connection.close();
}

asio::awaitable<uint64_t> sendEndlessly(tcp::socket &connection, std::string bytes)
{
    while (bytes.size() < 4096)
        bytes += bytes;
    uint64_t count = 0;
    while (co_await sendBytes(connection, bytes))
        count += bytes.size();
    co_return count;
}

ScriptedRunner::ScriptedRunner(asio::io_context &context, Script runnerScript)
    : io(context)
    , acceptor(context, anyPort())
    , listenAddress("127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()))
    , script(std::move(runnerScript))
{
    spawnTask(this->io, "runner", this->accept());
}

void ScriptedRunner::end()
{
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
}

void ScriptedRunner::resume()
{
    const std::string port = this->listenAddress.substr(this->listenAddress.find(':') + 1);
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), static_cast<uint16_t>(std::stoi(port)));
    this->acceptor = tcp::acceptor(this->io, endpoint);
    spawnTask(this->io, "runner", this->accept());
}

asio::awaitable<void> ScriptedRunner::accept()
{
    while (this->acceptor.is_open()) {
        boost::system::error_code error;
        tcp::socket connection =
                co_await this->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error)
            continue;
        if (this->resetsConnections) {
            resetConnection(connection);
            continue;
        }
        spawnTask(this->io, "runner-connection", this->serve(std::move(connection)));
    }
}

asio::awaitable<void> ScriptedRunner::serve(tcp::socket connection)
{
    std::string received;
    for (;;) {
        boost::system::error_code error;
        const size_t size =
                co_await asio::async_read_until(connection, asio::dynamic_buffer(received), "\r\n\r\n",
                                                asio::redirect_error(asio::use_awaitable, error));
        if (error)
            break;
        std::string head = received.substr(0, size);
        received.erase(0, size);
        const size_t bodySize = std::min(contentLength(head), this->maxBodyBytes);
        if (received.size() < bodySize)
            co_await asio::async_read(connection, asio::dynamic_buffer(received),
                                      asio::transfer_exactly(bodySize - received.size()),
                                      asio::redirect_error(asio::use_awaitable, error));
        head += received.substr(0, bodySize);
        received.erase(0, bodySize);
        co_await this->script(connection, ++this->requests, std::move(head));
        if (!connection.is_open())
            break;
    }
    ++this->closed;
}

asio::awaitable<std::optional<PlacementResult>> UnreachableScheduler::place(FleetPlacementRequest)
{
    ++this->placementCount;
    asio::steady_timer delay(co_await asio::this_coro::executor, this->placementDelay);
    co_await delay.async_wait(asio::use_awaitable);
    co_return std::nullopt;
}

asio::awaitable<std::optional<TransferPermit>> UnreachableScheduler::requestTransfer(TransferRequest)
{
    co_return std::nullopt;
}

GatewayFixture::GatewayFixture(ScriptedRunner::Script script)
    : settings(settingsWithRetries())
    , gateway(this->io, this->settings, this->format)
    , runner(this->io, std::move(script))
{
    this->gateway.fleetScheduler = &this->scheduler;
    REQUIRE(this->gateway.applyConfig(Config));
    for (const char *service : {"p", "m", "b"}) {
        for (const char *number : {"1", "2"}) {
            RunnerEntry entry;
            entry.id = std::string(service) + number;
            entry.service = service;
            entry.address = this->runner.address();
            entry.slots = 6;
            this->runners.push_back(entry);
        }
    }
    this->gateway.applyFleet(this->runners);
}

asio::awaitable<void> GatewayFixture::runSession(boost::beast::tcp_stream caller, RequestContext context,
                                                 std::function<void()> ended)
{
    const bool isDraining = false;
    ResponseWriter writer(caller, true, isDraining);
    std::shared_ptr<RequestSession> running;
    if (context.route->kind == RouteKind::Streaming)
        running = std::make_shared<StreamSession>(this->gateway, writer, std::move(context));
    else
        running = std::make_shared<CallSession>(this->gateway, writer, std::move(context));
    this->session = running;
    co_await running->run();
    boost::system::error_code ignored;
    caller.socket().shutdown(tcp::socket::shutdown_send, ignored);
    running.reset();
    ended();
}

void GatewayFixture::announceStop(Duration timeUntilStop)
{
    const auto busy = std::ranges::find_if(this->runners, [&](const RunnerEntry &entry) {
        return this->gateway.runners.find(entry.id)->ownLoad.activeRequests > 0;
    });
    REQUIRE(busy != this->runners.end());
    busy->report.emplace();
    busy->report->isLeaving = true;
    busy->report->timeUntilStop = timeUntilStop;
    this->gateway.applyFleet(this->runners);
}

void GatewayFixture::suspectStop()
{
    const auto busy = std::ranges::find_if(this->runners, [&](const RunnerEntry &entry) {
        return this->gateway.runners.find(entry.id)->ownLoad.activeRequests > 0;
    });
    REQUIRE(busy != this->runners.end());
    busy->seemsLeaving = true;
    this->gateway.applyFleet(this->runners);
}

void GatewayFixture::runUntil(const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + TestTimeout;
    while (!condition() && std::chrono::steady_clock::now() < deadline)
        this->io.run_one_for(std::chrono::milliseconds{100});
    REQUIRE(condition());
}

CallerView GatewayFixture::call(const std::string &path, const std::string &requestId)
{
    std::optional<CallerView> result;
    this->start(path, requestId, [&](const CallerView &view) { result = view; });
    // A copy that is being made keeps the session, which must not outlive the gateway.
    this->runUntil([&] { return result.has_value() && this->session.expired(); });
    return *result;
}

void GatewayFixture::start(const std::string &path, const std::string &requestId,
                           std::function<void(const CallerView &)> ended)
{
    tcp::acceptor acceptor(this->io, anyPort());
    tcp::socket caller(this->io);
    caller.open(tcp::v4());
    if (!this->areCallersReading)
        caller.set_option(asio::socket_base::receive_buffer_size(SmallBufferBytes));
    caller.connect(acceptor.local_endpoint());
    boost::beast::tcp_stream accepted(acceptor.accept());
    if (!this->areCallersReading)
        accepted.socket().set_option(asio::socket_base::send_buffer_size(SmallBufferBytes));
    RequestContext context;
    context.request = HttpRequest(http::verb::get, path, 11);
    context.request.set(http::field::host, "h");
    context.request.set("X-Attempt-Id", requestId);
    if (!this->body.empty()) {
        context.request.method(http::verb::post);
        context.request.body() = this->body;
    }
    if (path.starts_with("/generation/") || path.starts_with("/backed/") || path.starts_with("/resumable/")) {
        context.request.set("X-Token-Usage", "100,2000");
        context.request.set("X-Length-Hint", "1000");
    }
    if (!this->prompt.empty())
        context.request.set("X-Prompt-Prefix", this->prompt);
    context.metadata = this->format.decodeRequest(context.request);
    context.table = this->gateway.routes();
    context.route = context.table->match("h", path);
    REQUIRE(context.route != nullptr);
    context.service = RouteTable::chooseService(*context.route, 0);
    context.arrived = steadyNow();
    context.deadline = context.arrived + context.route->timeout;
    // The session uses the gateway until it has ended, which is after its caller has the whole response.
    struct Call
    {
        std::function<void(const CallerView &)> ended;
        std::optional<CallerView> view;
        bool isSessionEnded = false;
        void check() const
        {
            if (this->view && this->isSessionEnded)
                this->ended(*this->view);
        }
    };
    const auto state = std::make_shared<Call>(Call{std::move(ended), std::nullopt, false});
    std::function<void()> sessionEnded = [state] {
        state->isSessionEnded = true;
        state->check();
    };
    std::function<void(const CallerView &)> callerEnded = [state](const CallerView &view) {
        state->view = view;
        state->check();
    };
    spawnTask(this->io, "session",
              this->runSession(std::move(accepted), std::move(context), std::move(sessionEnded)));
    spawnTask(this->io, "caller",
              readResponse(std::move(caller), this->areCallersReading, std::move(callerEnded)));
}

} // namespace eelgrasslift
