#pragma once

#include "httpcall.h"
#include "nodes.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace eelgrasslift::soak {

/// Sends requests of all kinds one after the other. Keeps its connection open, and stays with its gateway
/// until the gateway refuses connections.
class Caller
{
public:
    Caller(boost::asio::io_context &io, size_t callerNumber, uint64_t seed, Nodes &allNodes,
           Ledger &runLedger);

    /// Lets the caller send the same request again and again, with the content, each time with another id,
    /// over a new connection and to any gateway.
    void repeat(std::string content) { this->repeatedContent = std::move(content); }
    /// Lets the caller send streams that have the part in their prompts and nothing else in common, over new
    /// connections and to any gateway.
    void usePromptPart(std::string part) { this->promptPart = std::move(part); }

    /// Ends after stop(), when its current request has ended.
    boost::asio::awaitable<void> run();
    void stop() { this->isStopping = true; }
    bool hasEnded() const { return this->ended; }

private:
    /// A request of the caller and what is known of its response.
    struct Call
    {
        std::string id;
        RequestKind kind = RequestKind::Safe;
        /// Number of events of a stream.
        uint64_t events = 0;
        /// Body, and last part of the path of a call; differs from the id only if the request is repeated.
        std::string content;
        /// Parts of the prompt, as the platform writes them.
        std::string prompt;
        /// The request ends its runners.
        bool isCrashing = false;
    };

    Call nextCall();
    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<Outcome> send(const Call &call);
    static Request makeRequest(const Call &call);
    static Outcome judge(const Call &call, const Response &response);
    void disconnect();
    /// Drops a connection that the gateway has closed meanwhile.
    void checkConnection();

    size_t number;
    Random random;
    Nodes &nodes;
    Ledger &ledger;
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    size_t gateway;
    /// Of the process at the other end of the connection.
    std::shared_ptr<const ProcessLife> life;
    uint64_t requestCount = 0;
    /// Empty unless the caller repeats one request.
    std::string repeatedContent;
    /// Empty unless the caller sends requests with a part that ends their runners.
    std::string promptPart;
    bool isStopping = false;
    bool ended = false;
};

} // namespace eelgrasslift::soak
