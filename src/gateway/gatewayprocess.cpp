#include "gateway/gatewayprocess.h"

#include "eelgrasslift/logging.h"
#include "gateway/callsession.h"
#include "gateway/clock.h"
#include "gateway/coordinatorclient.h"
#include "gateway/httpservice.h"
#include "gateway/sharedbuffer.h"
#include "gateway/streamsession.h"
#include "gateway/task.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <list>
#include <sys/socket.h>
#include <utility>

namespace eelgrasslift {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;

// The load balancer checks readiness once per second and stops sending requests after two failures.
constexpr Duration AcceptWindow = std::chrono::milliseconds{2600};
// Part of the grace period reserved for sending the last bytes and exiting.
constexpr Duration ShutdownReserve = std::chrono::milliseconds{350};
// Part of it in which the requests that are still open get their error responses.
constexpr Duration FinalResponseTime = std::chrono::milliseconds{200};
// Maximum wait of requests that arrive before the first configuration. Shorter than the latency objective of
// generations and than the time that callers wait for their request to be read.
constexpr Duration ConfigurationWait = std::chrono::milliseconds{700};
// Maximum wait of a request with a large body for memory. Runners answer such requests within some hundred
// milliseconds, and callers give up a request that is not read within a second.
constexpr Duration BodyMemoryWait = std::chrono::milliseconds{700};
constexpr std::string_view BodyMemoryRetryAfter = "0.6";
constexpr Duration DrainCheckInterval = std::chrono::milliseconds{50};

/// Counts a request as open for as long as the object exists.
class OpenRequest
{
public:
    explicit OpenRequest(size_t &openRequests)
        : count(openRequests)
    {
        ++this->count;
    }
    ~OpenRequest() { --this->count; }
    OpenRequest(const OpenRequest &) = delete;
    OpenRequest &operator=(const OpenRequest &) = delete;

private:
    size_t &count;
};

/// Memory of a request's body until the request has been handled.
class RequestBody
{
public:
    explicit RequestBody(GatewayState &state)
        : gateway(state)
        , memory(state.bufferedRequestBytes, MaxBufferedRequestBytes)
    {}
    ~RequestBody()
    {
        if (this->size > SharedBuffer::SmallMessageBytes)
            this->gateway.notifyCapacityFreed();
    }
    RequestBody(const RequestBody &) = delete;
    RequestBody &operator=(const RequestBody &) = delete;

    /// Waits until there is memory for newSize bytes; returns false if there is none in time.
    asio::awaitable<bool> reserve(size_t newSize, TimePoint waitUntil)
    {
        const size_t previousSize = std::exchange(this->size, newSize);
        while (!this->memory.resize(newSize)) {
            this->memory.resize(previousSize);
            const TimePoint now = steadyNow();
            if (now >= waitUntil)
                co_return false;
            co_await this->gateway.waitForCapacity(waitUntil - now);
        }
        co_return true;
    }

private:
    GatewayState &gateway;
    SharedBuffer memory;
    size_t size = 0;
};

/// A caller's connection; handles its requests one after the other.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(GatewayState &state, tcp::socket socket)
        : gateway(state)
        , stream(std::move(socket))
    {}

    asio::awaitable<void> run()
    {
        const auto self = this->shared_from_this();
        boost::system::error_code error;
        this->stream.socket().set_option(tcp::no_delay(true), error);
        for (bool isPersistent = true; isPersistent;)
            isPersistent = co_await this->serveRequest();
        if (this->stream.socket().is_open())
            this->stream.socket().shutdown(tcp::socket::shutdown_send, error);
    }

    /// Closes the connection if it is waiting for a request.
    void closeIfIdle()
    {
        boost::system::error_code ignored;
        if (this->isIdle && !this->hasUnreadBytes())
            this->stream.socket().close(ignored);
    }

    /// Lets the current request, if any, fail as at its deadline.
    void expireRequest()
    {
        if (const auto session = this->watchedSession.lock())
            session->expire();
    }

    /// Whether a part of a request has arrived that is not counted as open yet.
    bool hasPartialRequest() { return this->isReadingRequest || this->hasUnreadBytes(); }

private:
    using Parser = http::request_parser<http::string_body>;

    bool hasUnreadBytes()
    {
        boost::system::error_code ignored;
        return this->stream.socket().is_open() && this->stream.socket().available(ignored) > 0;
    }

    CallerLimits limits() const
    {
        return this->gateway.routes() ? this->gateway.routes()->config().limits : CallerLimits{};
    }

    asio::awaitable<bool> serveRequest()
    {
        const CallerLimits callerLimits = this->limits();
        Parser parser;
        parser.header_limit(callerLimits.maxHeaderBytes);
        parser.body_limit(callerLimits.maxBodyBytes);
        boost::system::error_code error;
        // Separate timeouts for the header and the body. The first one does not apply to the wait for the
        // first byte, which bypasses the tcp_stream.
        this->stream.expires_after(callerLimits.idleTimeout);
        if (this->buffer.size() == 0) {
            this->isIdle = true;
            co_await this->stream.socket().async_wait(tcp::socket::wait_read,
                                                      asio::redirect_error(asio::use_awaitable, error));
            this->isIdle = false;
            if (error)
                co_return false;
        }
        this->isReadingRequest = true;
        this->stream.expires_after(callerLimits.headerTimeout);
        co_await http::async_read_header(this->stream, this->buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, error));
        const TimePoint arrived = steadyNow();
        RequestBody body(this->gateway);
        bool fitsMemory = true;
        if (!error) {
            this->stream.expires_after(callerLimits.idleTimeout);
            fitsMemory = co_await this->readBody(parser, body, error);
        }
        this->isReadingRequest = false;
        if (!fitsMemory) {
            co_await this->refuseUnreadBody(parser.get().base());
            co_return false;
        }
        ResponseWriter writer(this->stream, !error && parser.keep_alive(), this->gateway.isDraining);
        if (error) {
            co_await this->sendParseError(writer, error);
            co_return false;
        }
        this->stream.expires_never();
        const OpenRequest openRequest(this->gateway.openRequests);
        co_await this->handleRequest(writer, parser.release(), arrived);
        co_return writer.isKeptAlive() && this->stream.socket().is_open();
    }

    /// Reads the body. Waits for memory if it is large; returns false if there is none in time.
    asio::awaitable<bool> readBody(Parser &parser, RequestBody &body, boost::system::error_code &error)
    {
        const TimePoint waitUntil = steadyNow() + BodyMemoryWait;
        // The memory for a body of unknown length is taken as it arrives.
        size_t size = parser.content_length().value_or(0);
        while (!error) {
            if (!co_await body.reserve(size, waitUntil))
                co_return false;
            if (parser.is_done())
                break;
            co_await http::async_read_some(this->stream, this->buffer, parser,
                                           asio::redirect_error(asio::use_awaitable, error));
            size = std::max(size, parser.get().body().size());
        }
        co_return true;
    }

    asio::awaitable<void> refuseUnreadBody(const RequestHeader &header)
    {
        logInfo("request-refused", {{"request", this->gateway.format.decodeRequest(header).id},
                                    {"status", "503"},
                                    {"cause", "body-memory"},
                                    {"buffered_bytes", std::to_string(this->gateway.bufferedRequestBytes)}});
        const bool isPersistent = false;
        ResponseWriter writer(this->stream, isPersistent, this->gateway.isDraining);
        HttpResponse response = makeResponse(503, R"({"error":"body-memory"})");
        response.set(http::field::retry_after, {BodyMemoryRetryAfter.data(), BodyMemoryRetryAfter.size()});
        co_await writer.send(std::move(response));
    }

    static asio::awaitable<void> sendParseError(ResponseWriter &writer,
                                                const boost::system::error_code &error)
    {
        unsigned status = 0;
        if (error == http::error::header_limit)
            status = 431;
        else if (error == http::error::body_limit)
            status = 413;
        else if (error == beast::error::timeout)
            status = 408;
        else if (error.category() == http::make_error_code(http::error::bad_method).category() &&
                 error != http::error::end_of_stream && error != http::error::partial_message)
            status = 400;
        if (status != 0)
            co_await writer.send(makeResponse(status, R"({"error":"unreadable request"})"));
    }

    asio::awaitable<void> handleRequest(ResponseWriter &writer, HttpRequest request, TimePoint arrived)
    {
        RequestContext context;
        context.metadata = this->gateway.format.decodeRequest(request);
        // A gateway that has just started receives the configuration at the latest after an election of the
        // coordinators.
        const TimePoint waitUntil = arrived + ConfigurationWait;
        while (!this->gateway.isServing() && steadyNow() < waitUntil)
            co_await this->gateway.waitForCapacity(waitUntil - steadyNow());
        context.table = this->gateway.routes();
        context.arrived = arrived;
        const auto host = request[http::field::host];
        const auto target = request.target();
        if (!context.table)
            co_return co_await this->sendError(writer, context, 503, "no-configuration");
        context.route = context.table->match({host.data(), host.size()}, {target.data(), target.size()});
        if (context.route == nullptr)
            co_return co_await this->sendError(writer, context, 404, "no-route");
        if (context.table->config().hasAccounts && !context.route->isPublic) {
            const ClientAccount *account = context.table->accountOfKey(context.metadata.apiKey);
            if (account == nullptr)
                co_return co_await this->sendError(writer, context, 401, "unknown-key");
            context.account = account->name;
            context.accountPriority = account->priority;
        }
        context.service = RouteTable::chooseService(*context.route, this->gateway.random.uniform());
        context.deadline = arrived + std::min(context.metadata.maxWait.value_or(context.route->timeout),
                                              context.route->timeout);
        const TimePoint now = steadyNow();
        const RequestDuringShutdown duringShutdown{context.metadata.size, context.route->isIdempotent(),
                                                   context.deadline - now};
        if (this->gateway.shutdown && !fitsBeforeShutdown(duringShutdown, *this->gateway.shutdown, now))
            co_return co_await this->sendError(writer, context, 503, "shutting-down");
        context.request = std::move(request);
        const bool isStream = context.route->kind == RouteKind::Streaming;
        std::shared_ptr<RequestSession> session;
        if (isStream)
            session = std::make_shared<StreamSession>(this->gateway, writer, std::move(context));
        else
            session = std::make_shared<CallSession>(this->gateway, writer, std::move(context));
        this->watchForDisconnect(session);
        co_await session->run();
        this->watchedSession.reset();
    }

    /// Abandons the session when the caller closes its connection.
    void watchForDisconnect(const std::shared_ptr<RequestSession> &session)
    {
        this->watchedSession = session;
        spawnTask(this->gateway.io, "disconnect-watch",
                  [self = this->shared_from_this(),
                   weakSession = std::weak_ptr<RequestSession>(session)]() -> asio::awaitable<void> {
                      boost::system::error_code error;
                      co_await self->stream.socket().async_wait(
                              tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
                      const auto activeSession = weakSession.lock();
                      if (!activeSession || self->watchedSession.lock() != activeSession)
                          co_return;
                      char byte = 0;
                      const auto received = error ? 0
                                                  : ::recv(self->stream.socket().native_handle(), &byte,
                                                           sizeof byte, MSG_PEEK | MSG_DONTWAIT);
                      const bool isDisconnected =
                              received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
                      if (isDisconnected)
                          activeSession->abandon();
                  });
    }

    asio::awaitable<void> sendError(ResponseWriter &writer, const RequestContext &context, unsigned status,
                                    std::string_view cause)
    {
        logInfo("request-refused",
                {{"request", context.metadata.id},
                 {"status", std::to_string(status)},
                 {"cause", std::string(cause)},
                 {"config", context.table ? std::to_string(context.table->version()) : "none"}});
        HttpResponse response = makeResponse(status, R"({"error":")" + std::string(cause) + "\"}");
        // While this gateway drains, another one can take the request at once.
        if (status == 503)
            response.set(http::field::retry_after, this->gateway.isDraining ? "0" : "0.5");
        co_await writer.send(std::move(response));
    }

    GatewayState &gateway;
    beast::tcp_stream stream;
    beast::flat_buffer buffer{MaxParseBufferBytes};
    std::weak_ptr<RequestSession> watchedSession;
    bool isIdle = false;
    bool isReadingRequest = false;
};

/// Listeners, signal handlers and drain of a gateway.
class GatewayProcess
{
public:
    GatewayProcess(asio::io_context &context, const NodeSettings &nodeSettings, const WireFormat &format,
                   const SettingsLoader &settingsLoader)
        : io(context)
        , settings(nodeSettings)
        , state(context, nodeSettings, format)
        , coordinatorClient(this->state, settingsLoader)
        , loadSettings(settingsLoader)
        , acceptor(context)
        , readiness(context,
                    [this](HttpRequest request) { return this->answerReadiness(std::move(request)); })
        , signals(context, SIGTERM, SIGINT)
        , reloadSignal(context, SIGHUP)
        , drainTimer(context)
        , exitTimer(context)
        , drainState(DrainSettings{AcceptWindow, nodeSettings.gracePeriod - ShutdownReserve})
    {}

    int run()
    {
        if (!this->settings.callerListen || !this->settings.readinessListen) {
            logError("setting-missing", {{"setting", "caller and readiness addresses"}});
            return ExitFailed;
        }
        if (!openAcceptor(this->acceptor, *this->settings.callerListen) ||
            !this->readiness.listen(*this->settings.readinessListen))
            return ExitFailed;
        spawnLoop(this->io, "accept", [this] { return this->accept(); });
        this->coordinatorClient.start();
        this->signals.async_wait([this](const boost::system::error_code &error, int) {
            if (!error)
                this->terminate();
        });
        this->waitForReload();
        logInfo("gateway-started",
                {{"callers", this->settings.callerListen->toString()}, {"domain", this->settings.domain}});
        this->io.run();
        logInfo("gateway-stopped", {{"open_requests", std::to_string(this->state.openRequests)},
                                    {"partial_requests", std::to_string(this->countPartialRequests())}});
        return ExitOk;
    }

private:
    asio::awaitable<void> accept()
    {
        while (this->acceptor.is_open()) {
            boost::system::error_code error;
            tcp::socket socket =
                    co_await this->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error)
                continue;
            auto session = std::make_shared<CallerSession>(this->state, std::move(socket));
            std::erase_if(this->sessions, [](const auto &weakSession) { return weakSession.expired(); });
            this->sessions.push_back(session);
            spawnTask(this->io, "caller", session->run());
        }
    }

    asio::awaitable<HttpResponse> answerReadiness(HttpRequest request)
    {
        if (request.target() == "/metrics") {
            this->state.metrics.openRequests.Set(static_cast<double>(this->state.openRequests));
            this->state.metrics.bufferedRequestBytes.Set(
                    static_cast<double>(this->state.bufferedRequestBytes));
            co_return makeResponse(200, this->state.metrics.serialize(), "text/plain; version=0.0.4");
        }
        if (!this->state.format.isReadinessCheck(request))
            co_return makeResponse(404);
        const bool isReady = !this->state.isDraining && this->state.isServing();
        co_return makeResponse(isReady ? 200 : 503);
    }

    void waitForReload()
    {
        this->reloadSignal.async_wait([this](const boost::system::error_code &error, int) {
            if (error)
                return;
            const auto newSettings = this->loadSettings();
            if (const auto *problem = std::get_if<SettingsError>(&newSettings)) {
                logError("settings-reload-failed", {{"cause", describe(*problem)}});
            } else {
                this->coordinatorClient.addSeeds(std::get<NodeSettings>(newSettings).seeds);
                logInfo("settings-reload", {{"changed", "seeds"}});
            }
            this->waitForReload();
        });
    }

    void terminate()
    {
        logInfo("terminating", {{"open_requests", std::to_string(this->state.openRequests)}});
        this->state.isDraining = true;
        const TimePoint now = steadyNow();
        this->state.shutdown =
                ShutdownTimes{now + AcceptWindow, now + this->settings.gracePeriod - ShutdownReserve};
        this->performActions(this->drainState.terminate(steadyNow()));
        this->updateDrain();
    }

    void updateDrain()
    {
        this->performActions(this->drainState.update(this->state.openRequests + this->countPartialRequests(),
                                                     steadyNow()));
        this->drainTimer.expires_after(DrainCheckInterval);
        this->drainTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error)
                this->updateDrain();
        });
    }

    size_t countPartialRequests() const
    {
        return static_cast<size_t>(std::ranges::count_if(this->sessions, [](const auto &weakSession) {
            const auto session = weakSession.lock();
            return session && session->hasPartialRequest();
        }));
    }

    void performActions(const std::vector<DrainAction> &actions)
    {
        boost::system::error_code ignored;
        for (const DrainAction action : actions) {
            if (action == DrainAction::CloseListener) {
                this->acceptor.close(ignored);
                for (const auto &weakSession : this->sessions) {
                    if (const auto session = weakSession.lock())
                        session->closeIfIdle();
                }
            }
            if (action == DrainAction::AbortRemaining)
                this->expireRequests();
            if (action == DrainAction::Exit)
                this->io.stop();
        }
    }

    void expireRequests()
    {
        logWarning("requests-cut-at-shutdown", {{"count", std::to_string(this->state.openRequests)}});
        for (const auto &weakSession : this->sessions) {
            if (const auto session = weakSession.lock())
                session->expireRequest();
        }
        this->exitTimer.expires_after(FinalResponseTime);
        this->exitTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error)
                this->io.stop();
        });
    }

    asio::io_context &io;
    const NodeSettings &settings;
    GatewayState state;
    CoordinatorClient coordinatorClient;
    SettingsLoader loadSettings;
    tcp::acceptor acceptor;
    HttpService readiness;
    asio::signal_set signals;
    asio::signal_set reloadSignal;
    asio::steady_timer drainTimer;
    asio::steady_timer exitTimer;
    DrainState drainState;
    std::list<std::weak_ptr<CallerSession>> sessions;
};

} // namespace

int runGateway(const NodeSettings &settings, const WireFormat &format, const SettingsLoader &settingsLoader)
{
    // Never destroyed: suspended coroutines refer to both until the process exits.
    auto *io = new asio::io_context{1};
    auto *process = new GatewayProcess(*io, settings, format, settingsLoader);
    return process->run();
}

} // namespace eelgrasslift
