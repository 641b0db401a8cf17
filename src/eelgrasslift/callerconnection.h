#pragma once

#include "eelgrasslift/callererror.h"

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

using CallerRequest = boost::beast::http::request<boost::beast::http::string_body>;

using HeaderField = std::pair<std::string_view, std::string>;

/// Why no further request can be read from a connection.
enum class ConnectionEnd { Closed };

/// One HTTP/1.1 connection from a caller. All functions run on the connection's strand.
class CallerConnection
{
public:
    static constexpr size_t MaxHeaderBytes = size_t{16} * 1024;
    static constexpr size_t MaxBodyBytes = size_t{1024} * 1024;
    static constexpr Duration IdleTimeout = std::chrono::seconds{75};
    static constexpr Duration HeaderTimeout = std::chrono::seconds{10};
    static constexpr Duration BodyTimeout = std::chrono::seconds{30};
    /// A caller that accepts no byte for this long is treated as gone.
    static constexpr Duration WriteTimeout = std::chrono::seconds{60};

    explicit CallerConnection(boost::asio::ip::tcp::socket socket);

    /// The next request, an error to answer before the connection is closed, or the end.
    boost::asio::awaitable<std::variant<CallerRequest, CallerError, ConnectionEnd>> readRequest();

    /// Sends a whole answer. Returns false if the caller has gone.
    boost::asio::awaitable<bool> sendAnswer(unsigned status, std::string_view contentType, std::string body,
                                            std::vector<HeaderField> fields, bool keepAlive);

    /// Starts an answer of unknown length in chunks.
    boost::asio::awaitable<bool> startStream(std::string_view contentType, std::vector<HeaderField> fields,
                                             bool keepAlive);
    boost::asio::awaitable<bool> sendChunk(std::string_view bytes);
    boost::asio::awaitable<bool> endStream();

    /// Waits until the caller closes its connection, or until cancelWatch(). Data that arrives is kept for the next
    /// request.
    boost::asio::awaitable<bool> watchForClose();
    void cancelWatch();

    void close();

    boost::asio::any_io_executor executor() { return this->stream.get_executor(); }

private:
    boost::asio::awaitable<bool> waitForFirstByte();

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    bool isWatchCancelled = false;
};

} // namespace eelgrasslift
