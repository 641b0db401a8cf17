#pragma once

#include "eelgrasslift/entrycontext.h"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <memory>

namespace eelgrasslift {

/// Accepts connections from callers on the traffic threads and serves the requests of each connection one
/// after the other: reads and authenticates a request, and passes it to a CompletionSession or to
/// serveService().
class CallerServer
{
public:
    /// Connections beyond maxConnections are closed without a response.
    CallerServer(EntryContext &context, uint32_t maxConnections);

    /// Starts to accept connections. Returns the address with the bound port, or nothing if it cannot listen.
    std::optional<Endpoint> start(const Endpoint &listen);

    /// Closes the listening socket. Open connections continue. May be called on any thread.
    void stopAccepting();

    /// Number of open connections. May be called on any thread.
    size_t connectionCount() const { return this->connections; }

private:
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    /// Serves one request. Returns whether the connection may carry another one.
    boost::asio::awaitable<bool> serveRequest(CallerConnection &connection, CallerRequest request);
    /// Counts and sends an error response. Returns whether the connection may carry another request.
    boost::asio::awaitable<bool> refuse(CallerConnection &connection, const CallerError &error,
                                        const std::string &requestId, bool keepAlive);

    EntryContext &context;
    uint32_t maxConnections;
    boost::asio::ip::tcp::acceptor acceptor;
    std::atomic<size_t> connections{0};
};

} // namespace eelgrasslift
