#pragma once

#include "eelgrasslift/endpoint.h"
#include "libcore/core.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <string_view>

namespace eelgrasslift {

/// Why exchange() failed. NotConnected: no byte of the request was sent. Broken: the connection was lost or
/// the response was malformed or too large. TimedOut: there was no complete response in time. After Broken
/// and TimedOut the server may have received the request.
enum class HttpFailure { NotConnected, Broken, TimedOut };

/// Capacity of the buffer in front of an HTTP parser. It holds what the parser cannot consume yet, such as an
/// incomplete header, chunk extension or trailer; a peer that sends one without end gets an error.
constexpr size_t MaxParseBufferBytes = size_t{128} << 10;

/// Name of the failure in logs.
std::string_view toString(HttpFailure failure);

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Creates an HTTP/1.1 request with the headers Host and User-Agent, and Content-Type application/json if the
/// body is not empty. target is the path and query.
HttpRequest makeRequest(std::string_view method, const Endpoint &endpoint, std::string_view target,
                        std::string body = {});

/// Connects the stream to the endpoint. Returns false if that fails or takes longer than timeout. The expiry
/// time remains set on the stream.
boost::asio::awaitable<bool> connectTo(boost::beast::tcp_stream &stream, const Endpoint &endpoint,
                                       Duration timeout);

/// Sends a request on a new connection and returns the response, whatever its status. timeout limits the
/// whole exchange, including the connection; maxBytes limits the size of the response body.
boost::asio::awaitable<Result<HttpResponse, HttpFailure>>
exchange(const Endpoint &endpoint, HttpRequest request, Duration timeout, size_t maxBytes = 4UL << 20);

} // namespace eelgrasslift
