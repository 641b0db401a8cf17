#pragma once

#include "httpserver.h"

#include <boost/asio/signal_set.hpp>

#include <fstream>
#include <functional>
#include <string>

namespace eelgrasslift::standins {

/// Parses `ip:port`; ends the program with exit code 2 if it is not one.
boost::asio::ip::tcp::endpoint parseEndpoint(const std::string &text);

/// Prints `listening <ip:port>` on standard output at once.
void printListening(const boost::asio::ip::tcp::endpoint &endpoint);

/// Appends one JSON document per line to a file, so that what ran is still known after the process was
/// killed. Without a path it does nothing.
class Journal
{
public:
    explicit Journal(const std::string &path);
    void write(const nlohmann::json &entry);

private:
    std::ofstream file;
};

/// Milliseconds since the Unix epoch.
int64_t unixMilliseconds();

/// Request body as a JSON object; nothing if it is not one.
std::optional<nlohmann::json> jsonBody(const HttpRequest &request);

std::string headerValue(const HttpRequest &request, std::string_view name);

/// Runs the handler once on the first SIGTERM.
class TermSignal
{
public:
    TermSignal(boost::asio::io_context &context, std::function<void()> handler);

private:
    boost::asio::signal_set signals;
};

/// Turns what a request handler throws into a 400 answer, so that a malformed test request is visible.
HttpSession::Handler withErrorReplies(HttpSession::Handler handler);

} // namespace eelgrasslift::standins
