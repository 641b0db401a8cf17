#pragma once

// Parts of the scripts of this review: the project's processes, and small stand-ins for clients, runners, the
// platform's list and the operator, which speak what the users' pages say. Plain sockets, a thread per
// connection.

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitNotRun = 2;

void sleepFor(Milliseconds duration);
int64_t unixMilliseconds();
/// Whether the script plays the disruption: TROUBLE is not 0.
bool hasTrouble();

/// What was sent, answered and run, with the milliseconds since the start. Can be used by any thread.
class Record
{
public:
    explicit Record(const std::string &path)
        : file(path)
    {}
    void add(const std::string &text);
    int64_t millisecondsOf(Time time) const;

private:
    std::mutex mutex;
    std::ofstream file;
    Time start = Clock::now();
};

/// Loopback addresses of a run; the pid selects the block.
class Addresses
{
public:
    Addresses();
    std::string coordinator(int index) const { return this->host(1 + index); }
    std::string gateway(int index) const { return this->host(21 + index); }
    std::string list() const { return this->host(41); }
    std::string runner(int index) const { return this->host(61 + index); }

private:
    std::string host(int number) const { return this->prefix + std::to_string(number); }
    std::string prefix;
};

/// A request or response.
struct Message
{
    /// Request line or status line.
    std::string firstLine;
    /// Names in lower case.
    std::map<std::string, std::string> fields;
    std::string body;
    /// The body has arrived to its end.
    bool isComplete = false;

    std::string method() const { return this->firstLine.substr(0, this->firstLine.find(' ')); }
    std::string target() const;
    int status() const;
    std::string field(const std::string &name) const;
    bool has(const std::string &name) const { return this->fields.contains(name); }
};

/// A TCP connection that is closed with the object.
class Connection
{
public:
    explicit Connection(int socketDescriptor)
        : descriptor(socketDescriptor)
    {}
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static std::shared_ptr<Connection> connect(const std::string &ip, uint16_t port, Milliseconds timeout);

    bool send(std::string_view bytes);
    /// Reads a message with its body. isResponse: one without length and chunks ends with its connection.
    /// onBody gets the parts of the body as they arrive.
    std::optional<Message> receive(bool isResponse, Milliseconds timeout,
                                   const std::function<void(std::string_view)> &onBody = {});
    /// Whether the peer has closed or reset the connection, and all bytes were read.
    bool isClosedByPeer() const;
    /// Closes the connection with a reset.
    void reset();
    void shutdownSend();

private:
    bool fill(Time limit);
    std::optional<std::string> readLine(Time limit);
    bool readBytes(size_t count, Time limit, std::string &body,
                   const std::function<void(std::string_view)> &onBody);

    std::atomic<int> descriptor;
    std::string buffer;
};

using ConnectionPointer = std::shared_ptr<Connection>;

/// Accepts connections, each of which gets a thread.
class Server
{
public:
    using Handler = std::function<void(const ConnectionPointer &)>;
    /// Ends the script with ExitNotRun if the address cannot be used.
    Server(const std::string &ip, uint16_t port, Handler connectionHandler);
    /// Connections that are accepted while the function returns true are reset.
    void resetWhile(std::function<bool()> condition) { this->isResetting = std::move(condition); }

private:
    void accept();

    int listener = -1;
    Handler handler;
    std::function<bool()> isResetting;
};

std::string response(int status, const std::string &fields, const std::string &body,
                     const std::string &type = "application/json");

constexpr uint16_t CallerPort = 8740;
constexpr uint16_t ReadinessPort = 8749;
constexpr uint16_t OperatorPort = 8748;
constexpr uint16_t ListPort = 8742;
constexpr uint16_t RunnerPort = 9000;

/// A coordinator or a gateway.
struct Node
{
    std::string name;
    std::string role;
    std::string ip;
    pid_t pid = -1;
};

/// The project's processes and the folder with their settings, data and logs.
class Deployment
{
public:
    Deployment(const Addresses &addressPlan, int coordinatorCount, int gatewayCount, Record &runRecord);
    ~Deployment();

    void start();
    void launch(Node &node, bool isFirstStart);
    void signal(Node &node, int number);
    /// Waits for the end; returns the exit status, or nothing after the timeout.
    std::optional<int> waitForEnd(Node &node, Milliseconds timeout);
    /// Sends the configuration until it is acknowledged, following redirects.
    bool configure(const std::string &body, Milliseconds timeout);
    /// One attempt at one coordinator; follows redirects. 0: no response.
    int put(const std::string &body, Node &coordinator);
    bool waitUntilReady(Milliseconds timeout);
    bool isReady(const Node &gateway) const;
    /// Processes that have ended by themselves.
    std::vector<std::string> endedByThemselves();

    std::vector<Node> coordinators;
    std::vector<Node> gateways;

private:
    std::string settings(const Node &node, bool isFirstStart) const;

    const Addresses &addresses;
    Record &record;
    std::string folder;
};

} // namespace review
