#include "gateway/connectionpool.h"

#include "gateway/clock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

namespace eelgrasslift {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr size_t MaxIdlePerAddress = 4;

// Runners that announce no idle timeout keep idle connections open for at least this long.
constexpr Duration DefaultIdleTime = std::chrono::milliseconds{900};

// A request must arrive before the runner closes the connection; this covers the one-way delay over a busy
// link.
constexpr Duration IdleMargin = std::chrono::milliseconds{400};
constexpr Duration MaxIdleTime = std::chrono::seconds{10};

// The kernel closes a connection with bytes unacknowledged for this long, so that a broken network path is
// detected.
constexpr unsigned TcpUserTimeoutMs = 3000;

} // namespace

asio::awaitable<RunnerConnectionPointer> ConnectionPool::connect(std::string address, Duration timeout)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        co_return nullptr;
    auto connection = std::make_shared<RunnerConnection>(this->executor);
    connection->address = std::move(address);
    const bool isConnected = co_await connectTo(connection->stream, *endpoint, timeout);
    if (!isConnected)
        co_return nullptr;
    setsockopt(connection->stream.socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &TcpUserTimeoutMs,
               sizeof TcpUserTimeoutMs);
    co_return connection;
}

asio::awaitable<RunnerConnectionPointer> ConnectionPool::acquire(std::string address, Duration timeout)
{
    if (RunnerConnectionPointer connection = this->takeIdle(address))
        co_return connection;
    RunnerConnectionPointer connection = co_await this->connect(std::move(address), timeout);
    co_return connection;
}

RunnerConnectionPointer ConnectionPool::takeIdle(std::string_view address)
{
    const auto found = this->idleConnections.find(address);
    if (found == this->idleConnections.end())
        return nullptr;
    while (!found->second.empty()) {
        RunnerConnectionPointer connection = std::move(found->second.back());
        found->second.pop_back();
        if (steadyNow() < connection->idleUntil && isReusable(*connection)) {
            connection->isReused = true;
            return connection;
        }
    }
    return nullptr;
}

bool ConnectionPool::isReusable(RunnerConnection &connection)
{
    char byte = 0;
    const auto received =
            ::recv(connection.stream.socket().native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void ConnectionPool::release(const RunnerConnectionPointer &connection, const ResponseMetadata &metadata)
{
    if (metadata.isClosing || connection->buffer.size() > 0 || !isReusable(*connection))
        return;
    const Duration idleTime =
            metadata.keepAlive ? std::min<Duration>(*metadata.keepAlive, MaxIdleTime) : DefaultIdleTime;
    if (idleTime <= IdleMargin)
        return;
    connection->idleUntil = steadyNow() + idleTime - IdleMargin;
    connection->stream.expires_never();
    auto &connections = this->idleConnections[connection->address];
    connections.push_back(connection);
    if (connections.size() > MaxIdlePerAddress)
        connections.pop_front();
}

void ConnectionPool::dropIdle(std::string_view address)
{
    if (const auto found = this->idleConnections.find(address); found != this->idleConnections.end())
        this->idleConnections.erase(found);
}

asio::awaitable<Result<HttpResponse, HttpFailure>> ConnectionPool::call(std::string address,
                                                                        OutgoingCall call, Duration timeout,
                                                                        size_t maxResponseBytes,
                                                                        CallConnection use)
{
    const TimePoint deadline = steadyNow() + timeout;
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        co_return HttpFailure::NotConnected;
    for (;;) {
        RunnerConnectionPointer connection = std::exchange(use.opened, nullptr);
        if (connection && isReusable(*connection))
            connection->stream.expires_after(std::max(deadline - steadyNow(), Duration{1}));
        else if (use.isNew)
            connection = co_await this->connect(address, deadline - steadyNow());
        else
            connection = co_await this->acquire(address, deadline - steadyNow());
        if (!connection)
            co_return HttpFailure::NotConnected;
        const HttpRequest request = makeRequest(call.method, *endpoint, call.target, call.body);
        connection->stream.expires_after(std::max(deadline - steadyNow(), Duration{1}));
        Result<HttpResponse, HttpFailure> result = HttpFailure::Broken;
        if (co_await writeRequest(*connection, request))
            result = co_await this->receive(connection, maxResponseBytes, use);
        const auto *failure = std::get_if<HttpFailure>(&result);
        const bool isRepeated = failure != nullptr && *failure == HttpFailure::Broken &&
                                connection->isReused && call.method == "GET" && steadyNow() < deadline;
        if (!isRepeated)
            co_return result;
    }
}

asio::awaitable<Result<HttpResponse, HttpFailure>> ConnectionPool::receive(RunnerConnectionPointer connection,
                                                                           size_t maxResponseBytes,
                                                                           const CallConnection &use)
{
    for (int skipped = 0; skipped <= MaxInterimResponses + MaxStrayResponses; ++skipped) {
        http::response_parser<http::string_body> parser;
        parser.body_limit(maxResponseBytes);
        boost::system::error_code error;
        co_await http::async_read(connection->stream, connection->buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
        if (error == beast::error::timeout)
            co_return HttpFailure::TimedOut;
        if (error || statusClass(parser.get().result_int()) == StatusClass::Invalid)
            co_return HttpFailure::Broken;
        if (isInterim(parser.get()) || (use.isStray && use.isStray(parser.get())))
            continue;
        ResponseMetadata metadata;
        metadata.isClosing = use.isLastUse || !parser.keep_alive();
        this->release(connection, metadata);
        co_return parser.release();
    }
    co_return HttpFailure::Broken;
}

} // namespace eelgrasslift
