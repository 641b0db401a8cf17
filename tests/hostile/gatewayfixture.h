#pragma once

#include "gateway/requestcontext.h"
#include "platform/platform.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <limits>

namespace eelgrasslift {

/// A runner on loopback that sends what a test tells it.
class ScriptedRunner
{
public:
    /// Sends the response to one request on the connection. requestCount counts all requests, from 1 on; head
    /// is the request line and header, followed by the body.
    using Script = std::function<boost::asio::awaitable<void>(boost::asio::ip::tcp::socket &connection,
                                                              int requestCount, std::string head)>;

    ScriptedRunner(boost::asio::io_context &io, Script script);

    /// Ends the runner: from now on it refuses connections. Its script closes the open ones.
    void end();
    /// Accepts connections again after end(), at the same address.
    void resume();

    /// ip:port
    std::string address() const { return this->listenAddress; }
    int requestCount() const { return this->requests; }
    /// Connections that were closed by either side.
    int closedCount() const { return this->closed; }

    /// Whether it resets new connections.
    bool resetsConnections = false;

    /// Bytes of a request's body that it reads before its script begins; the rest stays unread.
    size_t maxBodyBytes = std::numeric_limits<size_t>::max();

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket connection);

    boost::asio::io_context &io;
    boost::asio::ip::tcp::acceptor acceptor;
    std::string listenAddress;
    Script script;
    int requests = 0;
    int closed = 0;
};

/// What the caller of a request has seen.
struct CallerView
{
    /// 0 if there was no response.
    unsigned status = 0;
    /// Of the protocol, ten times the number.
    unsigned version = 0;
    boost::beast::http::fields header;
    std::string body;
    /// Value of Retry-After in seconds; 0 if there is none.
    double retryAfter = 0;
    /// The response has the end that its header announces.
    bool isComplete = false;
};

/// Stands in for coordinators that cannot be reached; a placement learns so after a delay.
class UnreachableScheduler : public FleetScheduler
{
public:
    boost::asio::awaitable<std::optional<PlacementResult>> place(FleetPlacementRequest request) override;
    boost::asio::awaitable<std::optional<TransferPermit>> requestTransfer(TransferRequest request) override;
    void finishTransfer(uint64_t) override {}

    Duration placementDelay{};
    int placementCount = 0;
};

/// Sessions of a gateway with one scripted runner, which it knows under two ids for each service, without a
/// coordinator. Requests go to the paths /safe/, /unsafe/, /stream/ and /resumable/, which are resumable, and
/// /generation/ and /backed/, which are not. The last three are generations: their model engine copies KV
/// caches, the last one also keeps backups. All have a timeout of 3 s.
class GatewayFixture
{
public:
    explicit GatewayFixture(ScriptedRunner::Script script);

    /// Sends a request through a session and returns what its caller gets. Fails the test if the session has
    /// not ended after 20 s.
    CallerView call(const std::string &path, const std::string &requestId);

    /// Starts a request and calls ended with what its caller got, after the session has ended.
    void start(const std::string &path, const std::string &requestId,
               std::function<void(const CallerView &)> ended);

    /// The session of the request that was started last; nullptr after its end.
    std::shared_ptr<RequestSession> lastSession() const { return this->session.lock(); }

    /// Lets the gateway know that the runner with a request in flight stops after the given time at the
    /// latest. Fails the test if there is none.
    void announceStop(Duration timeUntilStop);

    /// Lets the gateway know that health checks say that the runner with a request in flight is leaving,
    /// though neither it nor the list says so. Fails the test if there is none.
    void suspectStop();

    /// Runs the connections until the condition holds; fails the test if it does not within 20 s.
    void runUntil(const std::function<bool()> &condition);

    boost::asio::io_context io{1};
    NodeSettings settings;
    platform::PlatformFormat format;
    GatewayState gateway;
    ScriptedRunner runner;
    UnreachableScheduler scheduler;
    std::vector<RunnerEntry> runners;
    /// Callers do not read until this is set. Their connections hold a few kilobytes then.
    bool areCallersReading = true;
    /// Parts of the prompts of the next requests as the platform writes them; none if empty.
    std::string prompt;
    /// Body of the next requests. One with a body is a POST, others are a GET.
    std::string body;

private:
    boost::asio::awaitable<void> runSession(boost::beast::tcp_stream caller, RequestContext context,
                                            std::function<void()> ended);

    std::weak_ptr<RequestSession> session;
};

/// Size of a request's body of which the buffers of both sockets hold only a part.
constexpr size_t LargeBodyBytes = size_t{32} << 20;

/// The configuration of GatewayFixture, as an operator sends it. Its version is 1.
const std::string &fixtureConfig();

/// Writes the bytes; returns false if the peer has closed the connection.
boost::asio::awaitable<bool> sendBytes(boost::asio::ip::tcp::socket &connection, std::string bytes);
/// Closes the connection with a reset, so that the peer loses what it has not received.
void resetConnection(boost::asio::ip::tcp::socket &connection);
/// Writes the bytes again and again until the peer closes the connection. Returns how many were written.
boost::asio::awaitable<uint64_t> sendEndlessly(boost::asio::ip::tcp::socket &connection, std::string bytes);

} // namespace eelgrasslift
