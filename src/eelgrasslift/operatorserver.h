#pragma once

#include "eelgrasslift/endpoint.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace eelgrasslift {

/// A received HTTP request of the operator port.
struct OperatorRequest
{
    std::string method;
    std::string path;
    /// Query parameters, percent-decoded.
    std::map<std::string, std::string, std::less<>> query;
    std::string body;
    /// Key of the header "Authorization: Bearer <key>", empty if there is none.
    std::string bearerKey;
    /// Value of the header "X-Author", empty if there is none.
    std::string author;
};

/// An HTTP response of the operator port.
struct OperatorReply
{
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
    /// Sent as the header "Location" if not empty.
    std::string location;
};

/// Answers the requests to one path prefix. Called on the threads of the OperatorServer, also concurrently.
using OperatorHandler = std::function<OperatorReply(const OperatorRequest &)>;

/// HTTP server of the operator port, which provides health, metrics, state dump and admin API on its own
/// threads.
class OperatorServer
{
public:
    OperatorServer();
    ~OperatorServer();

    /// Registers a handler for all paths that start with prefix; of several, the longest prefix applies. Must
    /// be called before start().
    void addHandler(std::string prefix, OperatorHandler handler);

    /// Starts listening; requests are served until stop(). Returns the bound address, with the assigned port
    /// if that of listen is 0.
    Endpoint start(const Endpoint &listen);

    /// Stops listening and ends the server's thread. Has no effect if the server is not running.
    void stop();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

/// The error reply {"error":{"type","message"}} of the operator port.
OperatorReply operatorError(unsigned status, std::string_view type, std::string_view message);

} // namespace eelgrasslift
