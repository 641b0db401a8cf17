#pragma once

#include <netinet/in.h>

#include <chrono>
#include <condition_variable>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

// What the scripts of the third review share: a record, a small HTTP server and client, the processes of a
// small deployment, the platform's list and model runners. Every connection has a thread of its own.

namespace review {

/// Seconds since the start of the program.
double now();
void sleepFor(double seconds);

/// Lines of record.txt, with the time of each.
class Record
{
public:
    explicit Record(const std::string &path);
    void note(const std::string &line);

private:
    std::mutex mutex;
    std::ofstream file;
};

struct Address
{
    std::string ip;
    uint16_t port = 0;
    std::string text() const { return this->ip + ":" + std::to_string(this->port); }
};

/// A loopback address of this program alone.
std::string loopback(int number);
/// The first of PortCount ports in a row that are free at all the addresses.
constexpr int PortCount = 24;
uint16_t freePorts(const std::vector<std::string> &ips);

/// A TCP connection; reads and writes block. Functions return false or fewer bytes once it has ended.
class Connection
{
public:
    explicit Connection(int socket)
        : descriptor(socket)
    {}
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static std::unique_ptr<Connection> open(const Address &address, double timeout);
    void setReadTimeout(double seconds) const;
    bool write(const std::string &bytes) const;
    /// Reads a line without its end; nothing at the end of the connection.
    std::optional<std::string> readLine();
    std::string readBytes(size_t count);
    std::string readToEnd();
    /// Ends the connection for its reader and its writer, which may be in other threads.
    void end() const;
    /// Whether the last read failed in another way than by the regular end of the connection.
    bool hasFailed() const { return this->failed; }

private:
    bool fill();

    int descriptor;
    std::string buffer;
    bool failed = false;
};

/// A request or a response. Names of fields are in lower case.
struct Message
{
    std::string start;
    std::map<std::string, std::string> fields;
    std::string body;
    /// Whether the body has arrived whole.
    bool isWhole = false;

    std::string field(const std::string &name) const;
    /// Of a request.
    std::string method() const { return this->start.substr(0, this->start.find(' ')); }
    std::string target() const;
    /// Of a response; 0 if there is none.
    int status() const;
};

std::optional<Message> readHead(Connection &connection);
/// Reads the body, which has a length, chunks, or ends with the connection.
void readBody(Connection &connection, Message &message, bool mayEndWithConnection);
/// Sends a request on a connection of its own and reads the response.
Message call(const Address &address, const std::string &method, const std::string &target,
             const std::map<std::string, std::string> &fields = {}, const std::string &body = {},
             double timeout = 10);
std::string response(int status, const std::map<std::string, std::string> &fields, const std::string &body);

/// Serves an address. The handler returns whether the connection stays open.
class Server
{
public:
    using Handler = std::function<bool(Connection &, const Message &)>;
    Server(const std::string &ip, Handler handler);
    const Address &address() const { return this->served; }
    /// Ends all connections, in the order in which they were accepted, and refuses new ones for the time, as
    /// a process does that has ended. beforeReturn is called before it accepts connections again.
    void goDown(double seconds, std::function<void()> beforeReturn);

private:
    struct State
    {
        Handler handler;
        std::mutex mutex;
        int listener = -1;
        std::vector<std::weak_ptr<Connection>> connections;
    };
    void listen();

    Address served;
    std::shared_ptr<State> state;
};

/// Processes of a small deployment: three coordinators and some gateways, each at a loopback address.
class Deployment
{
public:
    Deployment(Record &record, std::string program, int gatewayCount, const Address &list);
    /// Ends all processes.
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// Sends the configuration until a coordinator acknowledges it; returns false after 20 s without.
    bool configure(const std::string &body);
    /// Waits until all gateways are ready; returns false after 20 s.
    bool waitUntilReady();
    const Address &gateway(size_t index) const { return this->gateways.at(index).service; }
    bool isGatewayRunning(size_t index);
    /// Resident memory of the gateway's process, in MB; 0 if there is none.
    double gatewayMemory(size_t index) const;
    /// Ends the gateway's process, as the platform does with one that uses too much memory.
    void killGateway(size_t index);

private:
    struct Process
    {
        std::string name;
        Address service;
        Address readiness;
        pid_t pid = -1;
    };
    void start(Process &process, const std::string &role, const std::string &settings);

    Record &record;
    std::string program;
    std::string folder;
    std::vector<Process> coordinators;
    std::vector<Process> gateways;
};

/// Stand-in for a model runner. It runs `slots` requests at once and queues others; a queued one has not
/// begun.
class ModelRunner
{
public:
    struct Run
    {
        std::string request;
        double begin = 0;
        double end = 0;
        /// When the last silence of the runner during the run was over; begin if there was none.
        double lastSilence = 0;
        bool isComplete = false;
    };

    struct Traits
    {
        std::string id;
        std::string service;
        std::string zone;
        int number = 0;
        int slots = 64;
        /// Whether it drops a request when its connection closes.
        bool dropsClosed = true;
        /// Part of a prompt under which the runner ends as it begins to write an answer; none if empty.
        std::string crashingPart = {};
        double downSeconds = 2.5;
        double eventSeconds = 0.028;
    };

    ModelRunner(Record &record, Traits runnerTraits);
    std::string listEntry();
    const std::string &id() const { return this->traits.id; }
    std::vector<Run> runs();
    /// Neither reads nor sends anything for the time; its runs stand still.
    void fallSilent(double seconds);
    /// Turns requests away from now on, and asks for a pause of that many seconds; 0: takes them again.
    void turnAway(int retryAfterSeconds);
    /// Loses the answer to a request that it runs: ends the connection and goes on with the run.
    void loseAnswer(const std::string &requestId);
    /// Times at which the runner has ended under a request.
    std::vector<double> crashes();

private:
    bool handle(Connection &connection, const Message &request);
    bool generate(Connection &connection, const Message &request);
    void crash(const std::string &requestId);
    void waitWhileSilent();
    int askedPause();
    bool hasLostAnswer(const std::string &requestId);
    bool move(Connection &connection, const Message &request);
    std::string report();
    bool answer(Connection &connection, int status, const std::string &requestId, const std::string &body,
                bool isNotRun = false);

    Record &record;
    Traits traits;
    int64_t bornMs;
    std::mutex mutex;
    std::condition_variable slotFreed;
    int running = 0;
    int queued = 0;
    int handles = 0;
    /// Counts the starts of the runner; what an earlier one has begun is gone.
    int incarnation = 0;
    std::vector<Run> allRuns;
    std::vector<double> crashTimes;
    double silentUntil = 0;
    int retryAfter = 0;
    std::set<std::string> lostAnswers;
    /// Requests that are being run, and whether a call has ended the run.
    std::map<std::string, bool> active;
    std::unique_ptr<Server> server;
};

/// The platform's list of runners.
std::string listResponse(const std::vector<std::string> &entries);

/// Value of a text field, or digits of a number, of a flat JSON object; empty if it has none.
std::string jsonField(const std::string &json, const std::string &name);

} // namespace review
