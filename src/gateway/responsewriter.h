#pragma once

#include "eelgrasslift/httpclient.h"
#include "gateway/wireformat.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <functional>

namespace eelgrasslift {

/// The caller's side of one request: answers on its connection and notices when the caller leaves.
class ResponseWriter
{
public:
    /// While isDraining is set, answers announce the end of the connection.
    ResponseWriter(boost::beast::tcp_stream &stream, bool isKeptAlive, const bool &isDraining)
        : stream(stream)
        , isDraining(isDraining)
        , isKept(isKeptAlive)
    {}

    /// Sends a whole answer.
    boost::asio::awaitable<bool> send(HttpResponse response);

    /// Begins an answer of unknown length.
    boost::asio::awaitable<bool> beginStream(ResponseHeader header);
    boost::asio::awaitable<bool> sendPart(std::string_view bytes);
    boost::asio::awaitable<bool> endStream();

    /// Ends the connection without a complete answer.
    void abort();

    bool isKeptAlive() const { return this->isKept && !this->isDraining; }
    bool hasBegun() const { return this->begun; }

private:
    boost::beast::tcp_stream &stream;
    const bool &isDraining;
    bool isKept;
    bool begun = false;
};

} // namespace eelgrasslift
