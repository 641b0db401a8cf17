#pragma once

#include "httpserver.h"
#include "standin.h"

#include <chrono>
#include <map>
#include <string>

namespace eelgrasslift::standins {

struct ServiceSettings
{
    std::string listen = "127.0.0.1:0";
    std::string journal;
    std::chrono::milliseconds workTime{5};
};

/// Stock or lane booking application. It does not deduplicate: each accepted request runs, so that the
/// counts show how often the system sent it. Faults, each set with {"fault":<name>,"count":k}:
/// run-then-close  runs the request and closes the connection without an answer
/// close           closes the connection without running the request
/// refuse          answers 503 with X-Not-Run: 1 and does not run
/// delay           answers after "ms" milliseconds; the request runs at once
/// fail            runs the request and answers 500
/// none            ends all faults
class ServiceServer
{
public:
    ServiceServer(boost::asio::io_context &context, ServiceSettings settings);

    boost::asio::ip::tcp::endpoint localEndpoint() const { return this->server.localEndpoint(); }

    /// Refuses new requests, finishes the accepted ones and then stops the io_context.
    void drain();

private:
    using SessionPtr = std::shared_ptr<HttpSession>;

    void handle(const SessionPtr &session);
    void handleWork(const SessionPtr &session, const HttpTarget &target);
    void setFault(const SessionPtr &session);
    bool takeFault(const std::string &name);
    HttpReply run(const HttpRequest &request, const HttpTarget &target);
    void finishLater(const SessionPtr &session, std::chrono::milliseconds delay, HttpReply reply);
    void stopWhenQuiet();
    nlohmann::json counts() const;

    boost::asio::io_context &context;
    ServiceSettings settings;
    Journal journal;
    std::string faultName;
    uint64_t faultCount = 0;
    std::chrono::milliseconds faultDelay{0};
    std::map<std::string, uint64_t> runsPerRequestId;
    std::map<std::string, uint64_t> runsPerBody;
    std::map<std::string, uint64_t> runsPerKey;
    uint64_t runCount = 0;
    uint64_t reservationCount = 0;
    size_t inFlight = 0;
    bool isDraining = false;
    std::chrono::steady_clock::time_point refusedAt;
    HttpServer server;
};

} // namespace eelgrasslift::standins
