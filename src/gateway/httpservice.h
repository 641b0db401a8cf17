#pragma once

#include "eelgrasslift/httpclient.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace eelgrasslift {

/// Small HTTP server for the calls of operators and gateways and for the load balancer's readiness check:
/// whole requests and whole responses. All functions run on the thread of the io_context.
class HttpService
{
public:
    using Handler = std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

    HttpService(boost::asio::io_context &io, Handler handler)
        : io(io)
        , acceptor(io)
        , handler(std::move(handler))
    {}

    /// Starts to accept connections. Returns false if the address cannot be bound.
    bool listen(const Endpoint &endpoint);
    /// Stops accepting connections; open ones are served on.
    void stop();

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context &io;
    boost::asio::ip::tcp::acceptor acceptor;
    Handler handler;
};

/// Response with status, body and the matching Content-Length.
HttpResponse makeResponse(unsigned status, std::string body = {},
                          std::string_view contentType = "application/json");

/// Binds the acceptor with address reuse and listens. Logs and returns false on failure.
bool openAcceptor(boost::asio::ip::tcp::acceptor &acceptor, const Endpoint &endpoint);

} // namespace eelgrasslift
