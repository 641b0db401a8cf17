#pragma once

#include "eelgrasslift/endpoint.h"
#include "libcore/core.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string_view>

namespace eelgrasslift::soak {

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;

/// Suspends the calling coroutine.
boost::asio::awaitable<void> sleepFor(Duration duration);

/// Value of a header field; empty if there is none.
std::string_view fieldOf(const boost::beast::http::fields &fields, std::string_view name);

/// Sends a request over a new connection. Returns nothing if there is no complete response in time.
boost::asio::awaitable<std::optional<Response>> fetch(Endpoint endpoint, Request request, Duration timeout);

} // namespace eelgrasslift::soak
