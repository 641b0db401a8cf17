#pragma once

#include "eelgrasslift/httpclient.h"
#include "gateway/wireformat.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <deque>
#include <map>
#include <memory>

namespace eelgrasslift {

/// One connection to a runner; it carries one request at a time.
struct RunnerConnection
{
    explicit RunnerConnection(const boost::asio::any_io_executor &executor)
        : stream(executor)
    {}

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::string address;
    bool isReused = false;
    TimePoint idleUntil{};
};

using RunnerConnectionPointer = std::shared_ptr<RunnerConnection>;

/// Idle connections to runners. A connection is handed out again only while it is certainly open and silent:
/// bytes after a complete answer belong to no request, and a request that crosses the runner's close is lost.
class ConnectionPool
{
public:
    explicit ConnectionPool(boost::asio::any_io_executor executor)
        : executor(std::move(executor))
    {}

    /// An idle connection or a new one; nullptr if the runner cannot be reached within timeout.
    boost::asio::awaitable<RunnerConnectionPointer> acquire(std::string address, Duration timeout);
    boost::asio::awaitable<RunnerConnectionPointer> connect(std::string address, Duration timeout);

    /// Keeps the connection for reuse if the answer allows it.
    void release(const RunnerConnectionPointer &connection, const ResponseMetadata &answer);

    /// Drops the idle connections to an address that went silent.
    void dropIdle(std::string_view address);

    /// One short call with a JSON answer over a kept connection.
    boost::asio::awaitable<Result<HttpResponse, HttpFailure>> call(std::string address, OutgoingCall call,
                                                                   Duration timeout);

private:
    RunnerConnectionPointer takeIdle(std::string_view address);
    static bool isSilent(RunnerConnection &connection);

    boost::asio::any_io_executor executor;
    std::map<std::string, std::deque<RunnerConnectionPointer>, std::less<>> idle;
};

} // namespace eelgrasslift
