#pragma once

#include "eelgrasslift/httpclient.h"
#include "gateway/wireformat.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <functional>

namespace eelgrasslift {

/// The caller's side of one request: answers on its connection and notices when the caller leaves.
class CallerLink
{
public:
    CallerLink(boost::beast::tcp_stream &stream, bool isKeptAlive)
        : stream(stream)
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

    /// The next answer announces the end of the connection.
    void closeAfterAnswer() { this->isKept = false; }
    bool isKeptAlive() const { return this->isKept; }
    bool hasBegun() const { return this->begun; }

private:
    boost::beast::tcp_stream &stream;
    bool isKept;
    bool begun = false;
};

} // namespace eelgrasslift
