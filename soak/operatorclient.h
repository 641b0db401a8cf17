#pragma once

#include "httpcall.h"
#include "nodes.h"

namespace eelgrasslift::soak {

/// Stand-in for the operator: sends new configurations, and reads back the newest one.
class OperatorClient
{
public:
    OperatorClient(uint64_t seed, Nodes &allNodes, Journal &runJournal);

    /// Sends one configuration after the other, and reads in between, until stop().
    boost::asio::awaitable<void> run();
    /// Ends run() after the current configuration was acknowledged.
    void stop() { this->isStopping = true; }
    bool hasEnded() const { return this->ended; }
    uint64_t acknowledgedVersion() const { return this->acknowledged; }
    /// Reads the configuration at any coordinator and compares it with what was acknowledged before. Returns
    /// false if no coordinator answered.
    boost::asio::awaitable<bool> read();

private:
    boost::asio::awaitable<bool> write(uint64_t version);
    /// Sends a call to one coordinator and follows two redirections.
    boost::asio::awaitable<std::optional<Response>> call(Request request);

    Random random;
    Nodes &nodes;
    Journal &journal;
    uint64_t acknowledged = 0;
    /// The newest version that was sent.
    uint64_t newest = 0;
    bool isStopping = false;
    bool ended = false;
};

} // namespace eelgrasslift::soak
