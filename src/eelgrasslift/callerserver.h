#pragma once

#include "eelgrasslift/entrycontext.h"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <memory>

namespace eelgrasslift {

/// Accepts callers' connections and serves their requests one after the other.
class CallerServer
{
public:
    CallerServer(EntryContext &context, uint32_t maxConnections);

    /// Listens; returns the address with the real port, or nothing if it cannot listen.
    std::optional<Endpoint> start(const Endpoint &listen);

    /// Accepts no new connections; open ones go on.
    void stopAccepting();

    size_t connectionCount() const { return this->connections; }

private:
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<bool> serveRequest(CallerConnection &connection, CallerRequest request);
    boost::asio::awaitable<bool> refuse(CallerConnection &connection, const CallerError &error,
                                        const std::string &requestId, bool keepAlive);

    EntryContext &context;
    uint32_t maxConnections;
    boost::asio::ip::tcp::acceptor acceptor;
    std::atomic<size_t> connections{0};
};

} // namespace eelgrasslift
