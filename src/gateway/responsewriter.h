#pragma once

#include "eelgrasslift/httpclient.h"
#include "gateway/wireformat.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <functional>

namespace eelgrasslift {

/// Writes the response to one request to the caller's connection, whole or as a stream of chunks. Each send
/// returns false if the connection broke or the caller accepted no bytes for 10 seconds.
class ResponseWriter
{
public:
    /// stream and isDraining must outlive the writer. While isDraining is set, responses announce that the
    /// connection will be closed.
    ResponseWriter(boost::beast::tcp_stream &stream, bool isKeptAlive, const bool &isDraining)
        : stream(stream)
        , isDraining(isDraining)
        , isPersistent(isKeptAlive)
    {}

    /// Sends a whole response.
    boost::asio::awaitable<bool> send(HttpResponse response);

    /// Sends the header of a response of unknown length, whose body follows in chunks.
    boost::asio::awaitable<bool> beginStream(ResponseHeader header);
    /// Sends a part of the body.
    boost::asio::awaitable<bool> sendChunk(std::string_view bytes);
    /// Completes the body.
    boost::asio::awaitable<bool> endStream();

    /// Closes the connection without a complete response.
    void abort();

    /// Whether the connection may carry another request.
    bool isKeptAlive() const { return this->isPersistent && !this->isDraining; }
    /// Whether bytes of the response may have been sent, so that no other response is possible.
    bool isResponseStarted() const { return this->responseStarted; }

private:
    boost::beast::tcp_stream &stream;
    const bool &isDraining;
    bool isPersistent;
    bool responseStarted = false;
};

} // namespace eelgrasslift
