#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace eelgrasslift::standins {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Complete HTTP response with a body of known length.
struct HttpReply
{
    unsigned status = 200;
    std::string body;
    HttpHeaders headers;
};

/// Reply with a JSON body and its Content-Type; invalid UTF-8 is replaced.
HttpReply jsonReply(unsigned status, const nlohmann::json &body, HttpHeaders headers = {});

/// Request target of HTTP: percent-decoded path and query parameters.
struct HttpTarget
{
    std::string path;
    std::map<std::string, std::string> query;
};

/// Splits and decodes a request target; parameters without a value are empty.
HttpTarget parseTarget(std::string_view target);

/// Part of a streamed response body. Pending: nothing to send yet. End: the body is complete. Abort: close
/// the connection without completing the response.
struct StreamChunk
{
    enum class Kind { Data, Pending, End, Abort };
    Kind kind = Kind::Pending;
    std::string bytes;
};

/// Server side of one HTTP connection. Its requests are handled one after the other.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    using Handler = std::function<void(const std::shared_ptr<HttpSession> &)>;
    using StreamSource = std::function<StreamChunk()>;

    HttpSession(boost::asio::ip::tcp::socket socket, Handler handler);

    /// Reads requests and passes each one to the handler.
    void start();

    /// The request that is being handled.
    const HttpRequest &request() const { return this->currentRequest; }

    /// Sends the reply to the current request; does nothing if the connection is closed.
    void respond(HttpReply reply);

    /// Sends the reply after the delay, or at once if the delay is not positive.
    void respondAfter(std::chrono::milliseconds delay, HttpReply reply);

    /// Sends the bytes as they are in place of a response, then closes or resets the connection.
    void sendRaw(std::string bytes, bool isReset);

    /// Starts a chunked response. The source is called for the next chunk as soon as the previous one is
    /// written; after it has returned Pending, wake() calls it again.
    void stream(unsigned status, const HttpHeaders &headers, StreamSource source);

    /// Continues a streamed response whose source returned Pending.
    void wake();

    /// Closes the connection at once, without completing the response.
    void abort();
    bool isOpen() const { return this->socket.is_open(); }

private:
    void readRequest();
    void finishResponse();
    void watchForClose();
    void writeChunk();

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer delayTimer;
    Handler handler;
    boost::beast::flat_buffer buffer;
    HttpRequest currentRequest;
    StreamSource source;
    std::string outgoing;
    bool isWriting = false;
    bool isWatching = false;
};

/// Accepts HTTP connections on one address. Handlers run on the given io_context, which must have one thread.
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &endpoint,
               HttpSession::Handler handler);
    /// Accepts on an acceptor that listens already.
    HttpServer(boost::asio::ip::tcp::acceptor acceptor, HttpSession::Handler handler);

    boost::asio::ip::tcp::endpoint localEndpoint() const { return this->acceptor.local_endpoint(); }

    /// Stops accepting connections; open ones stay.
    void close();

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor;
    HttpSession::Handler handler;
};

} // namespace eelgrasslift::standins
