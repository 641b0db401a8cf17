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

/// Why an HTTP exchange failed. NotConnected is certain: no byte of the request has left.
enum class HttpFailure { NotConnected, Broken, TimedOut };

std::string_view toString(HttpFailure failure);

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// A request with the usual headers; target is path and query.
HttpRequest makeRequest(std::string_view method, const Endpoint &endpoint, std::string_view target,
                        std::string body = {});

/// Connects within timeout. Returns false if that fails.
boost::asio::awaitable<bool> connectTo(boost::beast::tcp_stream &stream, const Endpoint &endpoint,
                                       Duration timeout);

/// One request on a connection of its own, with an answer of at most maxBytes.
boost::asio::awaitable<Result<HttpResponse, HttpFailure>> exchange(const Endpoint &endpoint, HttpRequest request,
                                                                   Duration timeout, size_t maxBytes = 4UL << 20);

} // namespace eelgrasslift
