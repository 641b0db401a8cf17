#pragma once

#include "eelgrasslift/httpclient.h"
#include "gateway/wireformat.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/write.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace eelgrasslift {

/// A TCP connection to a runner, coordinator or the platform. It carries one request at a time.
struct RunnerConnection
{
    explicit RunnerConnection(const boost::asio::any_io_executor &executor)
        : stream(executor)
    {}

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer{MaxParseBufferBytes};
    /// ip:port of the peer.
    std::string address;
    /// Whether an earlier request was sent on it.
    bool isReused = false;
    /// A request could not be written. The failure took the error of the socket, so that reads after it
    /// report the end of the connection even if the peer has reset it.
    bool hasWriteFailed = false;
    /// When the pool stops reusing the connection.
    TimePoint idleUntil{};

    bool hasUnreadBytes()
    {
        boost::system::error_code ignored;
        return this->stream.socket().is_open() && this->stream.socket().available(ignored) > 0;
    }

    /// Whether a response that was read to its end has ended there. One without length and chunks ends with
    /// its connection, which may have been reset if a write has failed.
    template <typename Parser>
    bool isEndReliable(const Parser &parser) const
    {
        return !this->hasWriteFailed || !parser.need_eof();
    }
};

using RunnerConnectionPointer = std::shared_ptr<RunnerConnection>;

/// Writes a request to the connection; returns false after a failure. A response that the peer has sent
/// before can still be read.
template <typename Request>
boost::asio::awaitable<bool> writeRequest(RunnerConnection &connection, const Request &request)
{
    boost::system::error_code error;
    co_await boost::beast::http::async_write(connection.stream, request,
                                             boost::asio::redirect_error(boost::asio::use_awaitable, error));
    connection.hasWriteFailed = error.failed();
    co_return !error;
}

/// Size limit of what coordinators and the platform return.
constexpr size_t MaxCallResponseBytes = size_t{4} << 20;
/// The same for what a runner says of itself and of its copies. A report takes some kilobytes; a coordinator
/// may receive those of hundreds of runners at the same time.
constexpr size_t MaxRunnerStatementBytes = size_t{64} << 10;

/// Which connection a call uses, and which responses on it belong to other requests.
struct CallConnection
{
    /// A late response to an earlier call on a reused connection may look like that to this one.
    bool isNew = false;
    /// The connection is closed after the response. For calls whose responses do not name them: a late copy
    /// of such a response would look like that to the next request on the connection.
    bool isLastUse = false;
    /// A new connection that is used instead of another one if it is still open; may be nullptr.
    RunnerConnectionPointer opened;
    /// Whether to skip a final response; none is skipped if empty.
    std::function<bool(const ResponseHeader &)> isStray;
};

/// Pool of persistent connections. An idle connection is reused only while it is open and has no unread
/// bytes: bytes after a complete response belong to no request. It is also discarded before the peer's idle
/// timeout, since a request that arrives after the peer has closed the connection is lost.
class ConnectionPool
{
public:
    explicit ConnectionPool(boost::asio::any_io_executor executor)
        : executor(std::move(executor))
    {}

    /// Returns an idle connection to ip:port or a new one; nullptr if the peer cannot be reached within the
    /// timeout.
    boost::asio::awaitable<RunnerConnectionPointer> acquire(std::string address, Duration timeout);
    /// Returns a new connection to ip:port; nullptr if the peer cannot be reached within the timeout.
    boost::asio::awaitable<RunnerConnectionPointer> connect(std::string address, Duration timeout);

    /// Returns the connection to the pool after a complete response. Drops it, which closes it once nothing
    /// else refers to it, if the response or unread bytes rule out its reuse.
    void release(const RunnerConnectionPointer &connection, const ResponseMetadata &metadata);

    /// Closes the idle connections to an address that no longer responds.
    void dropIdle(std::string_view address);

    /// Sends a request and receives the whole response over a pooled connection. A GET is sent again on
    /// another connection if a reused one breaks; other methods are not repeated. A response with a larger
    /// body than maxResponseBytes, or an invalid status, counts as Broken. Interim responses are skipped.
    boost::asio::awaitable<Result<HttpResponse, HttpFailure>>
    call(std::string address, OutgoingCall call, Duration timeout,
         size_t maxResponseBytes = MaxCallResponseBytes, CallConnection use = {});

    /// Whether the connection is open and has no unread bytes.
    static bool isReusable(RunnerConnection &connection);

private:
    RunnerConnectionPointer takeIdle(std::string_view address);
    /// Receives the response to a call that was sent on the connection.
    boost::asio::awaitable<Result<HttpResponse, HttpFailure>>
    receive(RunnerConnectionPointer connection, size_t maxResponseBytes, const CallConnection &use);

    boost::asio::any_io_executor executor;
    std::map<std::string, std::deque<RunnerConnectionPointer>, std::less<>> idleConnections;
};

} // namespace eelgrasslift
