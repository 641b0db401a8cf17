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

/// HTTP request of a test client.
struct ClientRequest
{
    std::string address; // ip:port
    std::string method = "GET";
    std::string path = "/";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::chrono::milliseconds timeout{30'000};
};

/// HTTP response as a test client received it.
struct ClientResponse
{
    int status = 0;                                    // 0: no response, see error
    nlohmann::json headers = nlohmann::json::object(); // names in lower case
    std::string body;
    std::string error;
};

/// Sends one request and waits for the complete response, at most for request.timeout. A failure is reported
/// in ClientResponse::error, a timeout as "timeout".
ClientResponse sendRequest(const ClientRequest &request);

/// One server-sent event.
struct StreamEvent
{
    std::string id;
    std::string type; // empty for a plain data event
    std::string data;
    int64_t receivedAt = 0; // see monotonicMilliseconds()
};

/// Sends a request and records the server-sent events of the response on a thread of its own.
class EventStream
{
public:
    /// Starts the thread; ClientRequest::timeout is not used.
    explicit EventStream(ClientRequest request);
    ~EventStream();
    EventStream(const EventStream &) = delete;
    EventStream &operator=(const EventStream &) = delete;

    /// What has arrived so far: status (0 before the header), headers, error, and the body if it is not an
    /// event stream.
    ClientResponse response();

    /// Number of events recorded so far.
    size_t eventCount();

    /// Recorded events from this position on.
    std::vector<StreamEvent> events(size_t from);

    /// Whether the response is complete or has failed.
    bool isEnded() const { return this->ended; }

    /// Closes the connection, as a client that disconnects.
    void close();

private:
    void run();
    void read();
    void handleLine(std::string_view line);
    void handleBody(std::string_view bytes);

    ClientRequest request;
    std::mutex
            mutex; // guards partialResponse, recordedEvents and descriptor, which the reading thread changes
    ClientResponse partialResponse;
    std::vector<StreamEvent> recordedEvents;
    StreamEvent currentEvent;
    std::string partialLine;
    int descriptor = -1;
    std::atomic<bool> ended = false;
    std::thread thread;
};

/// Milliseconds on the scenario runner's monotonic clock.
int64_t monotonicMilliseconds();

} // namespace eelgrasslift::scenario
