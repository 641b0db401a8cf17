#pragma once

#include "eelgrasslift/callererror.h"
#include "eelgrasslift/httpclient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace eelgrasslift {

/// An HTTP request of a caller with its complete body.
using CallerRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// Name and value of an HTTP header.
using HeaderField = std::pair<std::string_view, std::string>;

/// Result of CallerConnection::readRequest() when the connection has ended. Closed: the caller closed it,
/// sent no request within the idle timeout, or the connection broke.
enum class ConnectionEnd { Closed };

/// One HTTP/1.1 connection from a caller: reads requests and writes complete or chunked responses. All
/// functions must be called on the connection's strand.
class CallerConnection
{
public:
    /// A larger header is refused with status 431.
    static constexpr size_t MaxHeaderBytes = size_t{16} * 1024;
    /// A larger body is refused with status 413.
    static constexpr size_t MaxBodyBytes = size_t{1024} * 1024;
    /// Maximum time from one request to the first byte of the next.
    static constexpr Duration IdleTimeout = std::chrono::seconds{75};
    /// Maximum time from the first byte of a request to the end of its header.
    static constexpr Duration HeaderTimeout = std::chrono::seconds{10};
    /// Maximum time to read the body after the header.
    static constexpr Duration BodyTimeout = std::chrono::seconds{30};
    /// Maximum time of one write. A caller that reads more slowly is treated as disconnected.
    static constexpr Duration WriteTimeout = std::chrono::seconds{60};

    explicit CallerConnection(boost::asio::ip::tcp::socket socket);

    /// Reads the next request. Returns ConnectionEnd if there is none, or a CallerError, after which the
    /// connection must be closed: status 400 if the request is malformed, 413 or 431 if it is too large, 408
    /// if it is too slow; in that case the timeout has already closed the connection.
    boost::asio::awaitable<std::variant<CallerRequest, CallerError, ConnectionEnd>> readRequest();

    /// Sends a complete response with the further headers `fields`. Returns false if the caller has
    /// disconnected.
    boost::asio::awaitable<bool> sendResponse(unsigned status, std::string_view contentType, std::string body,
                                              std::vector<HeaderField> fields, bool keepAlive);

    /// Sends the header of a chunked response with status 200 and the further headers `fields`. Returns false
    /// if the caller has disconnected.
    boost::asio::awaitable<bool> startStream(std::string_view contentType, std::vector<HeaderField> fields,
                                             bool keepAlive);
    /// Sends one chunk of the response body. Returns false if the caller has disconnected.
    boost::asio::awaitable<bool> sendChunk(std::string_view bytes);
    /// Ends a chunked response. Returns false if the caller has disconnected.
    boost::asio::awaitable<bool> endStream();

    /// Waits until the caller closes the connection, and returns true, or until cancelWatch() is called, and
    /// returns false. Data that arrives meanwhile is buffered for the next request; returns true once that
    /// reaches MaxBodyBytes.
    boost::asio::awaitable<bool> watchForClose();
    /// Ends watchForClose(). Also cancels a write in progress.
    void cancelWatch();

    /// Closes the connection. Does not wait until the caller has received all data.
    void close();

    /// The strand of the connection.
    boost::asio::any_io_executor executor() { return this->stream.get_executor(); }

private:
    boost::asio::awaitable<bool> waitForFirstByte();

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer{MaxParseBufferBytes};
    bool isWatchCancelled = false;
};

} // namespace eelgrasslift
