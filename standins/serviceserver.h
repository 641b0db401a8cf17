#pragma once

#include "httpserver.h"
#include "standin.h"

#include <chrono>
#include <map>
#include <string>

namespace eelgrasslift::standins {

/// Settings of the service stand-in; standin-service.cpp has the flags.
struct ServiceSettings
{
    std::string listen = "127.0.0.1:0";
    std::string journal;                   // path; empty: no journal
    std::chrono::milliseconds workTime{5}; // from the request to its response
};

/// Simulates the stock and lane booking applications. It does not deduplicate: each accepted request runs, so
/// that its counters show how often the system sent a request. Faults, each set with
/// {"fault":<name>,"count":k} for the next k requests:
/// run-then-close  runs the request and closes the connection without a response
/// close           closes the connection without running the request
/// refuse          responds 503 with X-Not-Run: 1 without running the request
/// delay           runs the request at once and responds after "ms" milliseconds
/// fail            runs the request and responds 500
/// status          runs the request and responds with "status", which may be invalid
/// status-open     like status, but the body never ends
/// raw             runs the request and sends "bytes" in place of a response, then closes the connection,
///                 with "reset":true by a reset
/// none            clears the fault
class ServiceServer
{
public:
    /// Listens on ServiceSettings::listen. Exits the process if the address is invalid.
    ServiceServer(boost::asio::io_context &context, ServiceSettings settings);

    boost::asio::ip::tcp::endpoint localEndpoint() const { return this->server.localEndpoint(); }

    /// Refuses new requests, finishes the accepted ones and stops the io_context once no request was refused
    /// for a quiet period. Called on SIGTERM.
    void drain();

private:
    using SessionPtr = std::shared_ptr<HttpSession>;

    void handle(const SessionPtr &session);
    void handleWork(const SessionPtr &session, const HttpTarget &target);
    void setFault(const SessionPtr &session);
    bool consumeFault(const std::string &name);
    HttpReply run(const HttpRequest &request, const HttpTarget &target);
    void respondLater(const SessionPtr &session, std::chrono::milliseconds delay, HttpReply reply);
    void stopWhenQuiet();
    nlohmann::json counts() const;

    boost::asio::io_context &context;
    ServiceSettings settings;
    Journal journal;
    std::string faultName;
    uint64_t faultCount = 0;
    std::chrono::milliseconds faultDelay{0};
    unsigned faultStatus = 0;
    std::string faultBytes;
    bool isFaultReset = false;
    std::map<std::string, uint64_t> runsPerRequestId;
    std::map<std::string, uint64_t> runsPerBody;
    std::map<std::string, uint64_t> runsPerKey;
    uint64_t runCount = 0;
    uint64_t reservationCount = 0;
    size_t inFlight = 0;
    bool isDraining = false;
    std::chrono::steady_clock::time_point lastRefusedAt;
    HttpServer server;
};

} // namespace eelgrasslift::standins
