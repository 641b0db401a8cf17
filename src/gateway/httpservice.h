#pragma once

#include "eelgrasslift/httpclient.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace eelgrasslift {

/// Small HTTP server for operators, control members and the balancer's readiness check: whole requests and
/// whole answers. Runs on one thread.
class HttpService
{
public:
    using Handler = std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

    HttpService(boost::asio::io_context &io, Handler handler)
        : io(io)
        , acceptor(io)
        , handler(std::move(handler))
    {}

    /// Returns false if the address cannot be bound.
    bool listen(const Endpoint &endpoint);
    void stop();

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context &io;
    boost::asio::ip::tcp::acceptor acceptor;
    Handler handler;
};

HttpResponse makeResponse(unsigned status, std::string body = {},
                          std::string_view contentType = "application/json");

/// Binds with address reuse and listens; false on failure.
bool openAcceptor(boost::asio::ip::tcp::acceptor &acceptor, const Endpoint &endpoint);

} // namespace eelgrasslift
