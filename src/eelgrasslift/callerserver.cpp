#include "eelgrasslift/callerserver.h"

#include "eelgrasslift/asyncbridge.h"
#include "eelgrasslift/completionsession.h"
#include "eelgrasslift/logging.h"
#include "eelgrasslift/servicesession.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

namespace eelgrasslift {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view CompletionsPath = "/v1/completions";
constexpr std::string_view ServicesPrefix = "/services/";
constexpr std::string_view BearerPrefix = "Bearer ";

/// Returns the account that the request's bearer key belongs to, or nullptr if there is none.
const AccountRule *authenticate(const CallerRequest &request, const RuleSet &rules)
{
    const auto field = request[http::field::authorization];
    const std::string_view value(field.data(), field.size());
    if (!value.starts_with(BearerPrefix))
        return nullptr;
    return rules.accountByKey(toHex(sha256(value.substr(BearerPrefix.size()))));
}

CallerError drainingError()
{
    return {503,
            "overload",
            "draining",
            "this entry is shutting down",
            Outcome::NotRun,
            std::chrono::seconds{1}};
}

CallerError noRulesError()
{
    return {503,
            "overload",
            "no-rules",
            "this entry has no accepted rules yet",
            Outcome::NotRun,
            std::chrono::seconds{1}};
}

CallerError unauthenticatedError()
{
    return {401, "authentication", "bad-key", "the bearer key belongs to no account", Outcome::NotRun, {}};
}

CallerError unknownPathError(std::string_view path)
{
    return {404, "invalid-request", "unknown-path", "no such path: " + std::string(path), Outcome::NotRun,
            {}};
}

} // namespace

asio::awaitable<bool> sendError(CallerConnection &connection, const CallerError &error,
                                const std::string &requestId, bool keepAlive)
{
    std::vector<HeaderField> fields{{"Eelgrasslift-Outcome", std::string(toString(error.outcome))},
                                    {"Eelgrasslift-Request-Id", requestId}};
    if (error.retryAfter)
        fields.emplace_back("Retry-After",
                            std::to_string(std::max<int64_t>(
                                    1, std::chrono::ceil<std::chrono::seconds>(*error.retryAfter).count())));
    if (error.status == 401)
        fields.emplace_back("WWW-Authenticate", "Bearer");
    co_return co_await connection.sendResponse(error.status, "application/json", toJson(error) + "\n",
                                               std::move(fields), keepAlive);
}

CallerServer::CallerServer(EntryContext &entryContext, uint32_t connectionLimit)
    : context(entryContext)
    , maxConnections(connectionLimit)
    , acceptor(asio::make_strand(entryContext.traffic))
{}

std::optional<Endpoint> CallerServer::start(const Endpoint &listen)
{
    boost::system::error_code error;
    const asio::ip::tcp::endpoint address(asio::ip::make_address(listen.address), listen.port);
    this->acceptor.open(address.protocol(), error);
    this->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    this->acceptor.bind(address, error);
    if (!error)
        this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return std::nullopt;
    asio::co_spawn(this->acceptor.get_executor(), this->acceptLoop(), asio::detached);
    return Endpoint{listen.address, this->acceptor.local_endpoint().port()};
}

void CallerServer::stopAccepting()
{
    asio::post(this->acceptor.get_executor(), [this] {
        boost::system::error_code ignored;
        this->acceptor.close(ignored);
    });
}

asio::awaitable<void> CallerServer::acceptLoop()
{
    while (this->acceptor.is_open()) {
        boost::system::error_code error;
        asio::ip::tcp::socket socket(asio::make_strand(this->context.traffic));
        co_await this->acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor)
            co_return;
        if (error) {
            // Probably out of file descriptors: wait for connections to close instead of spinning.
            asio::steady_timer pause(co_await asio::this_coro::executor, std::chrono::milliseconds{50});
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        if (this->connections >= this->maxConnections)
            continue;
        ++this->connections;
        socket.set_option(asio::ip::tcp::no_delay(true), error);
        const auto executor = socket.get_executor();
        asio::co_spawn(executor, this->serve(std::move(socket)), [this](const std::exception_ptr &failure) {
            --this->connections;
            this->context.metrics.openConnections.Set(static_cast<double>(this->connections));
            if (failure)
                logError("connection-failed", {});
        });
    }
}

asio::awaitable<void> CallerServer::serve(asio::ip::tcp::socket socket)
{
    this->context.metrics.openConnections.Set(static_cast<double>(this->connections));
    CallerConnection connection(std::move(socket));
    bool keepAlive = true;
    while (keepAlive) {
        auto read = co_await connection.readRequest();
        if (std::holds_alternative<ConnectionEnd>(read))
            break;
        if (const auto *error = std::get_if<CallerError>(&read)) {
            co_await this->refuse(connection, *error, "", false);
            break;
        }
        keepAlive = co_await this->serveRequest(connection, std::get<CallerRequest>(std::move(read)));
    }
    connection.close();
}

asio::awaitable<bool> CallerServer::refuse(CallerConnection &connection, const CallerError &error,
                                           const std::string &requestId, bool keepAlive)
{
    this->context.metrics.countRequest("refused", std::string(toString(error.outcome)), error.code);
    logInfo("request-refused", {{"request", requestId}, {"code", error.code}});
    co_return co_await sendError(connection, error, requestId, keepAlive) && keepAlive;
}

asio::awaitable<bool> CallerServer::serveRequest(CallerConnection &connection, CallerRequest request)
{
    EntryState &state = this->context.state;
    // While the entry is draining, connections are closed so that their callers move to another entry.
    const bool keepAlive = request.keep_alive() && state.isHealthy();
    const auto makeRequestId = [&state] { return makeUuidV7(wallNow(), state.randomGenerator()); };
    const std::string requestId = co_await runOnControlThread(this->context.control, makeRequestId);
    if (!state.acceptsRequests())
        co_return co_await this->refuse(connection, drainingError(), requestId, false);
    const RulesSnapshot rules = state.rules();
    if (!rules)
        co_return co_await this->refuse(connection, noRulesError(), requestId, keepAlive);
    const AccountRule *account = authenticate(request, rules->rules);
    if (account == nullptr)
        co_return co_await this->refuse(connection, unauthenticatedError(), requestId, keepAlive);

    const std::string target(request.target());
    const bool isCompletion = target == CompletionsPath && request.method() == http::verb::post;
    if (!isCompletion && !target.starts_with(ServicesPrefix))
        co_return co_await this->refuse(connection, unknownPathError(target), requestId, keepAlive);
    this->context.control.post([&state] { state.requestStarted(); });
    AuthenticatedRequest call{connection, std::move(request), rules, *account, requestId, keepAlive};
    bool isOpen = false;
    if (isCompletion)
        isOpen = co_await std::make_shared<CompletionSession>(this->context, std::move(call))->run();
    else
        isOpen = co_await serveService(this->context, call);
    this->context.control.post([&state] { state.requestFinished(); });
    co_return isOpen;
}

} // namespace eelgrasslift
