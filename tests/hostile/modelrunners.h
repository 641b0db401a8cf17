#pragma once

#include "modelrequest.h"

#include <deque>

namespace eelgrasslift {

/// Runners of each service with the same numbers, each number at an address of its own. Their streams have 60
/// events.
class ModelRunners
{
public:
    using Respond = std::function<boost::asio::awaitable<void>(boost::asio::ip::tcp::socket &connection,
                                                               ModelRequest request)>;

    enum class Framing { None, Chunks };

    static constexpr int EventCount = 60;
    static constexpr auto EventInterval = std::chrono::milliseconds{20};
    static constexpr auto Notice = std::chrono::milliseconds{2000};
    static constexpr const char *RequestId = "id-1";
    static std::string allEvents() { return eventsBetween(1, EventCount); }

    /// The runners confirm that a copy was released; respondTo gets all other requests.
    explicit ModelRunners(Respond respondTo, int runnerCount = 3);

    ScriptedRunner &at(int number);

    /// Returns what the caller gets, after the end of the session.
    CallerView call(const std::string &path);

    /// Lets the gateway know that the runner is leaving, for all services.
    void announceStop(int number);

    /// Health checks say whether the runner is leaving.
    void suspectStop(int number, bool seemsLeaving);

    boost::asio::awaitable<void> sendHead(boost::asio::ip::tcp::socket &connection) const;

    boost::asio::awaitable<void> sendPart(boost::asio::ip::tcp::socket &connection, std::string bytes) const;

    /// Sends the events one by one, until the condition holds. Returns the id of the next one.
    boost::asio::awaitable<int> sendEvents(boost::asio::ip::tcp::socket &connection, int first, int last,
                                           const bool &isStopped) const;

    /// A stream from this event to the last one.
    boost::asio::awaitable<void> sendRest(boost::asio::ip::tcp::socket &connection, int first) const;

    /// The end of a stream that is complete.
    boost::asio::awaitable<void> finish(boost::asio::ip::tcp::socket &connection) const;

    Framing framing = Framing::None;

private:
    ScriptedRunner::Script script(int number);
    boost::asio::awaitable<void> handle(boost::asio::ip::tcp::socket &connection, int number,
                                        std::string message);

    Respond respond;

public:
    GatewayFixture fixture;

private:
    /// From number 2 on.
    std::deque<ScriptedRunner> others;
};

} // namespace eelgrasslift
