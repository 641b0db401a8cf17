#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace eelgrasslift::scenario {

struct ClientRequest
{
    std::string address;
    std::string method = "GET";
    std::string path = "/";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::chrono::milliseconds timeout{30'000};
};

struct ClientAnswer
{
    int status = 0;                                    // 0: no answer, see error
    nlohmann::json headers = nlohmann::json::object(); // names in lower case
    std::string body;
    std::string error;
};

/// Sends one request and waits for the whole answer.
ClientAnswer sendRequest(const ClientRequest &request);

struct StreamEvent
{
    std::string id;
    std::string type; // empty for a plain data event
    std::string data;
    int64_t receivedAt = 0; // milliseconds on the runner's monotonic clock
};

/// A caller that reads server-sent events on its own thread and records each one.
class EventStream
{
public:
    explicit EventStream(ClientRequest request);
    ~EventStream();
    EventStream(const EventStream &) = delete;
    EventStream &operator=(const EventStream &) = delete;

    /// Status, headers, error and body without events; status 0 until the header has arrived.
    ClientAnswer answer();
    size_t eventCount();
    std::vector<StreamEvent> events(size_t from);
    bool isEnded() const { return this->ended; }

    /// Closes the connection as a caller that goes away.
    void close();

private:
    void run();
    void read();
    void handleLine(std::string_view line);
    void feed(std::string_view bytes);

    ClientRequest request;
    std::mutex mutex; // guards answerParts, recorded and the socket, shared with the reading thread
    ClientAnswer answerParts;
    std::vector<StreamEvent> recorded;
    StreamEvent current;
    std::string line;
    int descriptor = -1;
    std::atomic<bool> ended = false;
    std::thread thread;
};

int64_t monotonicMilliseconds();

} // namespace eelgrasslift::scenario
