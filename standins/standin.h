#pragma once

#include "httpserver.h"

#include <boost/asio/signal_set.hpp>

#include <fstream>
#include <functional>
#include <string>

namespace eelgrasslift::standins {

/// Parses `ip:port`; prints an error and exits with code 2 if the text has another form.
boost::asio::ip::tcp::endpoint parseEndpoint(const std::string &text);

/// Prints `listening <ip:port>` on standard output and flushes it; tests and scripts read the address there.
void printListening(const boost::asio::ip::tcp::endpoint &endpoint);

/// Appends events to a file as one JSON object per line. The file shows what a stand-in ran after its process
/// was killed. An empty path disables the journal.
class Journal
{
public:
    explicit Journal(const std::string &path);

    /// Adds the current time as `at_ms` (Unix milliseconds), appends the entry and flushes the file.
    void write(nlohmann::json entry);

private:
    std::ofstream file;
};

/// Milliseconds since the Unix epoch.
int64_t unixMilliseconds();

/// Body of a request as a JSON object; nullopt if it is not one.
std::optional<nlohmann::json> jsonBody(const HttpRequest &request);

/// Value of a request header; empty if the request does not have it.
std::string headerValue(const HttpRequest &request, std::string_view name);

/// Calls the handler on the first SIGTERM.
class TermSignal
{
public:
    TermSignal(boost::asio::io_context &context, std::function<void()> handler);

private:
    boost::asio::signal_set signals;
};

/// Wraps a request handler so that an exception becomes a 400 response with its text, which makes malformed
/// test requests visible.
HttpSession::Handler withErrorReplies(HttpSession::Handler handler);

} // namespace eelgrasslift::standins
