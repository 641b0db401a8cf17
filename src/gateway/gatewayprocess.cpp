#include "gateway/gatewayprocess.h"

#include "eelgrasslift/logging.h"
#include "gateway/callsession.h"
#include "gateway/clock.h"
#include "gateway/coordinatorclient.h"
#include "gateway/httpservice.h"
#include "gateway/streamsession.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <list>
#include <sys/socket.h>

namespace eelgrasslift {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;

// The balancer asks once a second and takes two misses.
constexpr Duration AcceptWindow = std::chrono::milliseconds{2600};
// Left of the grace period for the last bytes and the end of the process.
constexpr Duration GraceReserve = std::chrono::milliseconds{350};
// Requests that reach a gateway without a configuration wait this long: below the objective of generations,
// and shorter than callers wait for their request to be read.
constexpr Duration StartPatience = std::chrono::milliseconds{700};
constexpr Duration DrainCheckInterval = std::chrono::milliseconds{50};

/// A caller's connection: requests one after the other.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(GatewayState &state, tcp::socket socket)
        : gateway(state)
        , stream(std::move(socket))
    {}

    asio::awaitable<void> run()
    {
        const auto keepAlive = this->shared_from_this();
        boost::system::error_code error;
        this->stream.socket().set_option(tcp::no_delay(true), error);
        for (bool isKept = true; isKept;)
            isKept = co_await this->serveOne();
        if (this->stream.socket().is_open())
            this->stream.socket().shutdown(tcp::socket::shutdown_send, error);
    }

    /// Ends a connection that waits for a request.
    void closeIfIdle()
    {
        boost::system::error_code ignored;
        const bool hasBytes = this->stream.socket().is_open() && this->stream.socket().available(ignored) > 0;
        if (this->isIdle && !hasBytes)
            this->stream.socket().close(ignored);
    }

private:
    using Parser = http::request_parser<http::string_body>;

    CallerLimits limits() const
    {
        return this->gateway.routes() ? this->gateway.routes()->config().limits : CallerLimits{};
    }

    asio::awaitable<bool> serveOne()
    {
        const CallerLimits bounds = this->limits();
        Parser parser;
        parser.header_limit(bounds.maxHeaderBytes);
        parser.body_limit(bounds.maxBodyBytes);
        boost::system::error_code error;
        // Time for the first byte, then for the rest of the header, then for the body.
        this->stream.expires_after(bounds.idleTimeout);
        if (this->buffer.size() == 0) {
            this->isIdle = true;
            co_await this->stream.socket().async_wait(tcp::socket::wait_read,
                                                      asio::redirect_error(asio::use_awaitable, error));
            this->isIdle = false;
            if (error)
                co_return false;
        }
        this->stream.expires_after(bounds.headerTimeout);
        co_await http::async_read_header(this->stream, this->buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, error));
        const TimePoint arrived = steadyNow();
        if (!error) {
            this->stream.expires_after(bounds.idleTimeout);
            co_await http::async_read(this->stream, this->buffer, parser,
                                      asio::redirect_error(asio::use_awaitable, error));
        }
        ResponseWriter link(this->stream, !error && parser.keep_alive(), this->gateway.isDraining);
        if (error) {
            co_await this->refuseUnreadable(link, error);
            co_return false;
        }
        this->stream.expires_never();
        ++this->gateway.openRequests;
        co_await this->serve(link, parser.release(), arrived);
        --this->gateway.openRequests;
        co_return link.isKeptAlive() && this->stream.socket().is_open();
    }

    static asio::awaitable<void> refuseUnreadable(ResponseWriter &link,
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
            co_await link.send(makeResponse(status, R"({"error":"unreadable request"})"));
    }

    asio::awaitable<void> serve(ResponseWriter &link, HttpRequest request, TimePoint arrived)
    {
        RequestContext context;
        context.caller = this->gateway.format.decodeRequest(request);
        // A gateway that has just started learns the configuration within an election of the coordinators.
        const TimePoint latest = arrived + StartPatience;
        while (!this->gateway.isServing() && steadyNow() < latest)
            co_await this->gateway.waitForCapacity(latest - steadyNow());
        context.table = this->gateway.routes();
        context.arrived = arrived;
        const auto host = request[http::field::host];
        const auto target = request.target();
        if (!context.table)
            co_return co_await this->refuse(link, context, 503, "no-configuration");
        context.route = context.table->match({host.data(), host.size()}, {target.data(), target.size()});
        if (context.route == nullptr)
            co_return co_await this->refuse(link, context, 404, "no-route");
        if (context.table->config().hasAccounts && !context.route->isPublic) {
            const ClientAccount *account = context.table->accountOfKey(context.caller.apiKey);
            if (account == nullptr)
                co_return co_await this->refuse(link, context, 401, "unknown-key");
            context.account = account->name;
            context.accountPriority = account->priority;
        }
        const bool isCutByShutdown =
                this->gateway.endsAt && context.caller.size && !context.route->isIdempotent() &&
                !fitsBeforeShutdown(*context.caller.size, *this->gateway.endsAt - arrived);
        if (isCutByShutdown)
            co_return co_await this->refuse(link, context, 503, "shutting-down");
        context.service = RouteTable::chooseService(*context.route, this->gateway.random.uniform());
        context.deadline = arrived + std::min(context.caller.maxWait.value_or(context.route->timeout),
                                              context.route->timeout);
        context.request = std::move(request);
        const bool isStream = context.route->kind == RouteKind::Streaming;
        std::shared_ptr<RequestSession> session;
        if (isStream)
            session = std::make_shared<StreamSession>(this->gateway, link, std::move(context));
        else
            session = std::make_shared<CallSession>(this->gateway, link, std::move(context));
        this->watchCaller(session);
        co_await session->run();
        this->watched.reset();
    }

    /// Ends the session when the caller closes its connection.
    void watchCaller(const std::shared_ptr<RequestSession> &session)
    {
        this->watched = session;
        asio::co_spawn(
                this->gateway.io,
                [self = this->shared_from_this(),
                 observed = std::weak_ptr<RequestSession>(session)]() -> asio::awaitable<void> {
                    boost::system::error_code error;
                    co_await self->stream.socket().async_wait(
                            tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
                    const auto running = observed.lock();
                    if (!running || self->watched.lock() != running)
                        co_return;
                    char byte = 0;
                    const auto received = error ? 0
                                                : ::recv(self->stream.socket().native_handle(), &byte,
                                                         sizeof byte, MSG_PEEK | MSG_DONTWAIT);
                    const bool isGone =
                            received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
                    if (isGone)
                        running->abandon();
                },
                asio::detached);
    }

    asio::awaitable<void> refuse(ResponseWriter &link, const RequestContext &context, unsigned status,
                                 std::string_view cause)
    {
        logInfo("request-refused",
                {{"request", context.caller.id},
                 {"status", std::to_string(status)},
                 {"cause", std::string(cause)},
                 {"config", context.table ? std::to_string(context.table->version()) : "none"}});
        HttpResponse response = makeResponse(status, R"({"error":")" + std::string(cause) + "\"}");
        // Another gateway can take what this one would cut.
        if (status == 503)
            response.set(http::field::retry_after, this->gateway.isDraining ? "0" : "0.5");
        co_await link.send(std::move(response));
    }

    GatewayState &gateway;
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::weak_ptr<RequestSession> watched;
    bool isIdle = false;
};

class GatewayProcess
{
public:
    GatewayProcess(asio::io_context &context, const NodeSettings &nodeSettings, const WireFormat &format,
                   const SettingsLoader &reload)
        : io(context)
        , settings(nodeSettings)
        , state(context, nodeSettings, format)
        , link(this->state, reload)
        , reloadSettings(reload)
        , acceptor(context)
        , readiness(context,
                    [this](HttpRequest request) { return this->answerReadiness(std::move(request)); })
        , signals(context, SIGTERM, SIGINT)
        , reloadSignal(context, SIGHUP)
        , drainTimer(context)
        , drain(DrainSettings{AcceptWindow, nodeSettings.gracePeriod - GraceReserve})
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
        asio::co_spawn(this->io, this->accept(), asio::detached);
        this->link.start();
        this->signals.async_wait([this](const boost::system::error_code &error, int) {
            if (!error)
                this->terminate();
        });
        this->waitForReload();
        logInfo("gateway-started",
                {{"callers", this->settings.callerListen->toString()}, {"domain", this->settings.domain}});
        this->io.run();
        logInfo("gateway-stopped");
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
            std::erase_if(this->sessions, [](const auto &known) { return known.expired(); });
            this->sessions.push_back(session);
            asio::co_spawn(this->io, session->run(), asio::detached);
        }
    }

    asio::awaitable<HttpResponse> answerReadiness(HttpRequest request)
    {
        if (request.target() == "/metrics") {
            this->state.metrics.openRequests.Set(static_cast<double>(this->state.openRequests));
            co_return makeResponse(200, this->state.metrics.text(), "text/plain; version=0.0.4");
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
            const auto fresh = this->reloadSettings();
            if (const auto *problem = std::get_if<SettingsError>(&fresh)) {
                logError("settings-reload-failed", {{"cause", describe(*problem)}});
            } else {
                this->link.useSeeds(std::get<NodeSettings>(fresh).seeds);
                logInfo("settings-reload", {{"changed", "seeds"}});
            }
            this->waitForReload();
        });
    }

    void terminate()
    {
        logInfo("terminating", {{"open_requests", std::to_string(this->state.openRequests)}});
        this->state.isDraining = true;
        this->state.endsAt = steadyNow() + this->settings.gracePeriod - GraceReserve;
        this->follow(this->drain.terminate(steadyNow()));
        this->continueDrain();
    }

    void continueDrain()
    {
        this->follow(this->drain.update(this->state.openRequests, steadyNow()));
        this->drainTimer.expires_after(DrainCheckInterval);
        this->drainTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error)
                this->continueDrain();
        });
    }

    void follow(const std::vector<DrainAction> &actions)
    {
        boost::system::error_code ignored;
        for (const DrainAction action : actions) {
            if (action == DrainAction::CloseListener) {
                this->acceptor.close(ignored);
                for (const auto &known : this->sessions) {
                    if (const auto session = known.lock())
                        session->closeIfIdle();
                }
            }
            if (action == DrainAction::AbortRemaining)
                logWarning("requests-cut-at-shutdown", {{"count", std::to_string(this->state.openRequests)}});
            if (action == DrainAction::AbortRemaining || action == DrainAction::Exit)
                this->io.stop();
        }
    }

    asio::io_context &io;
    const NodeSettings &settings;
    GatewayState state;
    CoordinatorClient link;
    SettingsLoader reloadSettings;
    tcp::acceptor acceptor;
    HttpService readiness;
    asio::signal_set signals;
    asio::signal_set reloadSignal;
    asio::steady_timer drainTimer;
    DrainState drain;
    std::list<std::weak_ptr<CallerSession>> sessions;
};

} // namespace

int runGateway(const NodeSettings &settings, const WireFormat &format, const SettingsLoader &reload)
{
    asio::io_context io{1};
    GatewayProcess process(io, settings, format, reload);
    const int code = process.run();
    return code;
}

} // namespace eelgrasslift
