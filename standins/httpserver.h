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

struct HttpReply
{
    unsigned status = 200;
    std::string body;
    HttpHeaders headers;
};

HttpReply jsonReply(unsigned status, const nlohmann::json &body, HttpHeaders headers = {});

/// Path and decoded query parameters of a request target.
struct HttpTarget
{
    std::string path;
    std::map<std::string, std::string> query;
};

HttpTarget parseTarget(std::string_view target);

/// One piece of a streamed body.
struct StreamPiece
{
    enum class Kind { Data, Nothing, End, Abort };
    Kind kind = Kind::Nothing;
    std::string bytes;
};

/// One caller connection. Requests on it are handled one after the other.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    using Handler = std::function<void(const std::shared_ptr<HttpSession> &)>;
    using StreamSource = std::function<StreamPiece()>;

    HttpSession(boost::asio::ip::tcp::socket socket, Handler handler);

    void start();
    const HttpRequest &request() const { return this->currentRequest; }

    void respond(HttpReply reply);

    /// Sends the reply after the delay, or at once if it is zero.
    void respondAfter(std::chrono::milliseconds delay, HttpReply reply);

    /// Starts a chunked response with status 200. The source is asked for pieces as fast as the caller
    /// reads them; after it returned Nothing, it is asked again on wake().
    void stream(const HttpHeaders &headers, StreamSource source);
    void wake();

    /// Closes the connection at once, without completing the response.
    void abort();
    bool isOpen() const { return this->socket.is_open(); }

private:
    void readRequest();
    void finishResponse();
    void watchForClose();
    void writePiece();

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

/// Accepts connections on one address; all work runs on the given io_context, which one thread runs.
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &endpoint,
               HttpSession::Handler handler);

    boost::asio::ip::tcp::endpoint localEndpoint() const { return this->acceptor.local_endpoint(); }
    void close();

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor;
    HttpSession::Handler handler;
};

} // namespace eelgrasslift::standins
