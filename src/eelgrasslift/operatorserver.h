#pragma once

#include "eelgrasslift/endpoint.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace eelgrasslift {

struct OperatorRequest
{
    std::string method;
    std::string path;
    /// Query parameters, decoded.
    std::map<std::string, std::string, std::less<>> query;
    std::string body;
    /// Key of the header "Authorization: Bearer <key>", empty if there is none.
    std::string bearerKey;
    /// Value of the header "X-Author", empty if there is none.
    std::string author;
};

struct OperatorReply
{
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
    /// Sent as the header "Location" if not empty.
    std::string location;
};

using OperatorHandler = std::function<OperatorReply(const OperatorRequest &)>;

/// HTTP server of the operator port: health, metrics, state dump and admin API. Handlers run on its own
/// threads.
class OperatorServer
{
public:
    OperatorServer();
    ~OperatorServer();

    /// Registers a handler for all paths that start with prefix; the longest prefix wins. Before start()
    /// only.
    void addHandler(std::string prefix, OperatorHandler handler);

    /// Listens and serves until stop(). Returns the address with the real port.
    Endpoint start(const Endpoint &listen);

    void stop();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

/// The error reply {"error":{"type","message"}} of the operator port.
OperatorReply operatorError(unsigned status, std::string_view type, std::string_view message);

} // namespace eelgrasslift
